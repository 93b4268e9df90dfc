/** CIDR prefixes of clients, in one spelling: IPv4-mapped IPv6 prefixes count as IPv4. */
import { AddressFamily, isMapped, parseIPv4, parseIPv6, WORDS_PER_IPV6 } from './addressWords.js'

export { AddressFamily } from './addressWords.js'

const WORD_BITS = 32
const IPV4_BITS = WORD_BITS
const IPV6_BITS = WORD_BITS * WORDS_PER_IPV6
/** Bits before the IPv4 address in `::ffff:a.b.c.d`. */
const MAPPED_BITS = IPV6_BITS - IPV4_BITS
const ZERO = 48
const MAX_LENGTH_DIGITS = 3
const HEX = 16
/** Zones and octal or hexadecimal numbers in a dotted tail, which tools read differently. */
const UNUSUAL = /[^0-9a-fA-F:./]/

/** A parsed prefix. */
export interface ClientPrefix {
  readonly family: AddressFamily
  /** Prefix length in bits, 0 to 32 or 128. */
  readonly length: number
}

/**
 * @param word position of a word in an address
 * @param length a prefix length in bits
 * @returns the bits of that word that belong to the prefix
 */
export function computeWordMask (word: number, length: number): number {
  const kept = Math.min(WORD_BITS, Math.max(0, length - word * WORD_BITS))
  return kept === 0 ? 0 : (-1 << (WORD_BITS - kept)) >>> 0
}

function parseLength (text: string, from: number): number {
  const digits = text.length - from
  if (digits === 0 || digits > MAX_LENGTH_DIGITS) return -1
  let length = 0
  for (let index = from; index < text.length; index++) {
    const digit = text.charCodeAt(index) - ZERO
    if (digit < 0 || digit > 9) return -1
    length = length * 10 + digit
  }
  return length
}

function removeHostBits (words: Uint32Array, count: number, length: number): void {
  for (let word = 0; word < count; word++) words[word] = ((words[word] as number) & computeWordMask(word, length)) >>> 0
}

/** Reads the address before the slash; the length still counts the bits of the spelling used. */
function parseNetwork (text: string, slash: number, length: number, words: Uint32Array): ClientPrefix | undefined {
  const value = parseIPv4(text, 0, slash)
  if (value >= 0) {
    words[0] = value
    return length > IPV4_BITS ? undefined : { family: AddressFamily.IPv4, length }
  }
  if (length > IPV6_BITS || UNUSUAL.test(text) || !parseIPv6(text, 0, slash, words)) return undefined
  if (length < MAPPED_BITS || !isMapped(words)) return { family: AddressFamily.IPv6, length }
  words[0] = words[WORDS_PER_IPV6 - 1] as number
  return { family: AddressFamily.IPv4, length: length - MAPPED_BITS }
}

/**
 * Parses `address/length`; bits beyond the length are cleared.
 * @param text a CIDR prefix
 * @param words gets the network's address: one word for IPv4, four for IPv6
 * @returns family and length, or undefined if the text is no prefix
 */
export function parseClientPrefix (text: string, words: Uint32Array): ClientPrefix | undefined {
  const slash = text.indexOf('/')
  if (slash === -1) return undefined
  const length = parseLength(text, slash + 1)
  if (length === -1) return undefined
  const prefix = parseNetwork(text, slash, length, words)
  if (prefix === undefined) return undefined
  removeHostBits(words, prefix.family === AddressFamily.IPv4 ? 1 : WORDS_PER_IPV6, prefix.length)
  return prefix
}

/**
 * @param prefix a parsed prefix
 * @param words its network's address
 * @returns one spelling: equal prefixes have equal text; for comparing, not for reading
 */
export function formatPrefixKey (prefix: ClientPrefix, words: Uint32Array): string {
  const first = (words[0] as number).toString(HEX)
  if (prefix.family === AddressFamily.IPv4) return `${first}/${prefix.length}`
  const rest = [words[1], words[2], words[3]].map((word) => (word as number).toString(HEX))
  return `${first}:${rest.join(':')}/${prefix.length}`
}
