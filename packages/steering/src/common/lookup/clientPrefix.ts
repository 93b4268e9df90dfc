/** Parses CIDR prefixes of clients into a normalized form; IPv4-mapped IPv6 prefixes count as IPv4. */
import { AddressFamily, isIPv4Mapped, parseIPv4, parseIPv6, WORDS_PER_IPV6 } from './addressWords.js'

export { AddressFamily } from './addressWords.js'

const WORD_BITS = 32
const IPV4_BITS = WORD_BITS
const IPV6_BITS = WORD_BITS * WORDS_PER_IPV6
/** Number of bits before the IPv4 address in `::ffff:a.b.c.d`. */
const MAPPED_BITS = IPV6_BITS - IPV4_BITS
const ZERO_CODE = 48
const MAX_LENGTH_DIGITS = 3
const HEX_RADIX = 16
/** Rejects zones and hexadecimal numbers in an embedded IPv4 address, which tools interpret differently. */
const UNSUPPORTED_CHARACTERS = /[^0-9a-fA-F:./]/

/** A parsed prefix. */
export interface ClientPrefix {
  readonly family: AddressFamily
  /** Prefix length in bits, 0 to 32 or 128. */
  readonly length: number
}

/**
 * @param wordIndex index of a word in an address
 * @param length a prefix length in bits
 * @returns a mask of the bits of that word that belong to the prefix
 */
export function computeWordMask (wordIndex: number, length: number): number {
  const prefixBits = Math.min(WORD_BITS, Math.max(0, length - wordIndex * WORD_BITS))
  return prefixBits === 0 ? 0 : (-1 << (WORD_BITS - prefixBits)) >>> 0
}

function parseLength (text: string, from: number): number {
  const digits = text.length - from
  if (digits === 0 || digits > MAX_LENGTH_DIGITS) return -1
  let length = 0
  for (let index = from; index < text.length; index++) {
    const digit = text.charCodeAt(index) - ZERO_CODE
    if (digit < 0 || digit > 9) return -1
    length = length * 10 + digit
  }
  return length
}

function removeHostBits (words: Uint32Array, wordCount: number, length: number): void {
  for (let wordIndex = 0; wordIndex < wordCount; wordIndex++) words[wordIndex] = ((words[wordIndex] as number) & computeWordMask(wordIndex, length)) >>> 0
}

/** Parses the address before the slash. `length` counts bits of the address as written; for an IPv4-mapped prefix it includes the bits before the IPv4 address. */
function parseNetwork (text: string, slashIndex: number, length: number, words: Uint32Array): ClientPrefix | undefined {
  const value = parseIPv4(text, 0, slashIndex)
  if (value >= 0) {
    words[0] = value
    return length > IPV4_BITS ? undefined : { family: AddressFamily.IPv4, length }
  }
  if (length > IPV6_BITS || UNSUPPORTED_CHARACTERS.test(text) || !parseIPv6(text, 0, slashIndex, words)) return undefined
  if (length < MAPPED_BITS || !isIPv4Mapped(words)) return { family: AddressFamily.IPv6, length }
  words[0] = words[WORDS_PER_IPV6 - 1] as number
  return { family: AddressFamily.IPv4, length: length - MAPPED_BITS }
}

/**
 * Parses `address/length` and clears the bits beyond the length.
 * @param text a CIDR prefix
 * @param words receives the network address: one word for IPv4, four for IPv6
 * @returns family and length, or undefined if the text is not a prefix
 */
export function parseClientPrefix (text: string, words: Uint32Array): ClientPrefix | undefined {
  const slashIndex = text.indexOf('/')
  if (slashIndex === -1) return undefined
  const length = parseLength(text, slashIndex + 1)
  if (length === -1) return undefined
  const prefix = parseNetwork(text, slashIndex, length, words)
  if (prefix === undefined) return undefined
  removeHostBits(words, prefix.family === AddressFamily.IPv4 ? 1 : WORDS_PER_IPV6, prefix.length)
  return prefix
}

/**
 * @param prefix a parsed prefix
 * @param words its network address
 * @returns a key for comparisons: equal prefixes have equal keys
 */
export function formatPrefixKey (prefix: ClientPrefix, words: Uint32Array): string {
  const first = (words[0] as number).toString(HEX_RADIX)
  if (prefix.family === AddressFamily.IPv4) return `${first}/${prefix.length}`
  const rest = [words[1], words[2], words[3]].map((word) => (word as number).toString(HEX_RADIX))
  return `${first}:${rest.join(':')}/${prefix.length}`
}
