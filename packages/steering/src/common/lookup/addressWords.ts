/**
 * Parses addresses into 32-bit words without allocating: the parser of ipaddr.js
 * takes about 4 µs for an IPv6 address, twenty times as long as the rest of a lookup.
 * Unusual spellings (an embedded IPv4 address, a zone, octal numbers) are left to
 * ipaddr.js, which is also the reference in the tests.
 */
import ipaddr from 'ipaddr.js'

/** Address families. */
export enum AddressFamily {
  IPv4 = 4,
  IPv6 = 6
}

/** Number of words of an IPv6 address, stored the most significant first; an IPv4 address uses only the first word. */
export const WORDS_PER_IPV6 = 4

const MAPPED_PREFIX = '::ffff:'
const MAPPED_WORD = 0xffff
const GROUPS_PER_IPV6 = 8
const MAX_GROUP_DIGITS = 4
const MAX_DECIMAL_DIGITS = 3
const NO_GAP_INDEX = -1
const DOT_CODE = 46
const COLON_CODE = 58
const ZERO_CODE = 48
const LETTER_A_CODE = 97
const LOWER_CASE_BIT = 0x20

/** The eight groups of the address being parsed. They can be shared by all calls, because parsing is synchronous. */
const addressGroups = new Uint16Array(GROUPS_PER_IPV6)

/**
 * Parses four decimal numbers, each of one to three digits.
 * @param text contains the address
 * @param from index of its first character
 * @param to index after its last character
 * @returns the address as an unsigned 32-bit number, or -1 if the text is not an IPv4 address
 */
export function parseIPv4 (text: string, from: number, to: number): number {
  let value = 0
  let octet = 0
  let digits = 0
  let dots = 0
  for (let index = from; index < to; index++) {
    const code = text.charCodeAt(index)
    if (code === DOT_CODE) {
      if (digits === 0 || octet > 255) return -1
      value = value * 256 + octet
      octet = 0
      digits = 0
      dots++
      continue
    }
    const digit = code - ZERO_CODE
    if (digit < 0 || digit > 9 || digits === MAX_DECIMAL_DIGITS) return -1
    // A leading zero is rejected: some tools read the number as octal, others as decimal.
    if (digits > 0 && octet === 0) return -1
    octet = octet * 10 + digit
    digits++
  }
  if (dots !== 3 || digits === 0 || octet > 255) return -1
  return value * 256 + octet
}

function parseHexDigit (code: number): number {
  const digit = code - ZERO_CODE
  if (digit >= 0 && digit <= 9) return digit
  const letter = (code | LOWER_CASE_BIT) - LETTER_A_CODE
  return letter >= 0 && letter < 6 ? letter + 10 : -1
}

/** Parses hexadecimal groups with at most one `::` into {@link addressGroups}; returns whether the text is valid. */
function parseGroups (text: string, from: number, to: number): boolean {
  let index = from
  let count = 0
  let gapIndex = NO_GAP_INDEX
  if (text.charCodeAt(index) === COLON_CODE) {
    if (to - index < 2 || text.charCodeAt(index + 1) !== COLON_CODE) return false
    gapIndex = 0
    index += 2
  }
  while (index < to) {
    if (count === GROUPS_PER_IPV6) return false
    let value = 0
    let digits = 0
    for (; index < to; index++, digits++) {
      const digit = parseHexDigit(text.charCodeAt(index))
      if (digit === -1) break
      value = value * 16 + digit
    }
    if (digits === 0 || digits > MAX_GROUP_DIGITS) return false
    addressGroups[count++] = value
    if (index === to) break
    if (text.charCodeAt(index++) !== COLON_CODE || index === to) return false
    if (text.charCodeAt(index) !== COLON_CODE) continue
    if (gapIndex !== NO_GAP_INDEX) return false
    gapIndex = count
    index++
  }
  return applyGap(count, gapIndex)
}

/** Fills the groups that `::` stands for with zeros; returns whether the number of groups is valid. */
function applyGap (count: number, gapIndex: number): boolean {
  if (gapIndex === NO_GAP_INDEX) return count === GROUPS_PER_IPV6
  if (count === GROUPS_PER_IPV6) return false
  const countAfterGap = count - gapIndex
  addressGroups.copyWithin(GROUPS_PER_IPV6 - countAfterGap, gapIndex, count)
  addressGroups.fill(0, gapIndex, GROUPS_PER_IPV6 - countAfterGap)
  return true
}

function writeWords (words: Uint32Array): void {
  for (let wordIndex = 0; wordIndex < WORDS_PER_IPV6; wordIndex++) {
    words[wordIndex] = (addressGroups[wordIndex * 2] as number) * 0x1_0000 + (addressGroups[wordIndex * 2 + 1] as number)
  }
}

/**
 * Parses an IPv6 address; an IPv4-mapped address stays an IPv6 address.
 * @param text contains the address
 * @param from index of its first character
 * @param to index after its last character
 * @param words receives the address in four words
 * @returns whether the text is an IPv6 address
 */
export function parseIPv6 (text: string, from: number, to: number, words: Uint32Array): boolean {
  if (!parseGroups(text, from, to)) {
    const address = text.slice(from, to)
    if (!address.includes(':') || !ipaddr.IPv6.isValid(address)) return false
    addressGroups.set(ipaddr.IPv6.parse(address).parts)
  }
  writeWords(words)
  return true
}

/**
 * @param words four words of an IPv6 address
 * @returns whether it is `::ffff:a.b.c.d`, with the IPv4 address in the last word
 */
export function isIPv4Mapped (words: Uint32Array): boolean {
  return words[0] === 0 && words[1] === 0 && words[2] === MAPPED_WORD
}

/**
 * Parses an address of either family; an IPv4-mapped IPv6 address counts as IPv4.
 * @param text the address
 * @param words receives the address: one word for IPv4, four for IPv6
 * @returns the address family, or undefined if the text is not an address
 */
export function parseAddress (text: string, words: Uint32Array): AddressFamily | undefined {
  const from = text.startsWith(MAPPED_PREFIX) ? MAPPED_PREFIX.length : 0
  const value = parseIPv4(text, from, text.length)
  if (value >= 0) {
    words[0] = value
    return AddressFamily.IPv4
  }
  if (!parseIPv6(text, 0, text.length, words)) return undefined
  if (!isIPv4Mapped(words)) return AddressFamily.IPv6
  words[0] = words[WORDS_PER_IPV6 - 1] as number
  return AddressFamily.IPv4
}
