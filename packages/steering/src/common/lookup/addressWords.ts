/**
 * Reads addresses into 32-bit words without allocating: the parser of ipaddr.js
 * alone takes about 4 µs for an IPv6 address, twenty times the rest of a look-up.
 * Spellings beyond the usual ones (a dotted tail, a zone, octal) go to ipaddr.js,
 * which also is the reference in the tests.
 */
import ipaddr from 'ipaddr.js'

/** Address families. */
export enum AddressFamily {
  IPv4 = 4,
  IPv6 = 6
}

/** Words of an IPv6 address, the most significant first; an IPv4 address takes the first alone. */
export const WORDS_PER_IPV6 = 4

const MAPPED_START = '::ffff:'
const MAPPED_WORD = 0xffff
const GROUPS = 8
const MAX_GROUP_DIGITS = 4
const MAX_DECIMAL_DIGITS = 3
const NO_GAP = -1
const DOT = 46
const COLON = 58
const ZERO = 48
const LETTER_A = 97
const LOWER_CASE_BIT = 0x20

/** The eight groups of the address that is being read; all reading is synchronous. */
const groups = new Uint16Array(GROUPS)

/**
 * Reads four decimal numbers, each of one to three digits.
 * @param text holds the address
 * @param from where it begins
 * @param to where it ends
 * @returns an unsigned 32-bit number, or -1 if the text is none
 */
export function parseIPv4 (text: string, from: number, to: number): number {
  let value = 0
  let part = 0
  let digits = 0
  let dots = 0
  for (let index = from; index < to; index++) {
    const code = text.charCodeAt(index)
    if (code === DOT) {
      if (digits === 0 || part > 255) return -1
      value = value * 256 + part
      part = 0
      digits = 0
      dots++
      continue
    }
    const digit = code - ZERO
    if (digit < 0 || digit > 9 || digits === MAX_DECIMAL_DIGITS) return -1
    // A leading zero means octal to some tools and nothing to others.
    if (digits > 0 && part === 0) return -1
    part = part * 10 + digit
    digits++
  }
  if (dots !== 3 || digits === 0 || part > 255) return -1
  return value * 256 + part
}

function parseHexDigit (code: number): number {
  const digit = code - ZERO
  if (digit >= 0 && digit <= 9) return digit
  const letter = (code | LOWER_CASE_BIT) - LETTER_A
  return letter >= 0 && letter < 6 ? letter + 10 : -1
}

/** Reads hexadecimal groups with at most one `::`; returns whether the text is just that. */
function parseGroups (text: string, from: number, to: number): boolean {
  let index = from
  let count = 0
  let gap = NO_GAP
  if (text.charCodeAt(index) === COLON) {
    if (to - index < 2 || text.charCodeAt(index + 1) !== COLON) return false
    gap = 0
    index += 2
  }
  while (index < to) {
    if (count === GROUPS) return false
    let value = 0
    let digits = 0
    for (; index < to; index++, digits++) {
      const digit = parseHexDigit(text.charCodeAt(index))
      if (digit === -1) break
      value = value * 16 + digit
    }
    if (digits === 0 || digits > MAX_GROUP_DIGITS) return false
    groups[count++] = value
    if (index === to) break
    if (text.charCodeAt(index++) !== COLON || index === to) return false
    if (text.charCodeAt(index) !== COLON) continue
    if (gap !== NO_GAP) return false
    gap = count
    index++
  }
  return applyGap(count, gap)
}

function applyGap (count: number, gap: number): boolean {
  if (gap === NO_GAP) return count === GROUPS
  if (count === GROUPS) return false
  const behind = count - gap
  groups.copyWithin(GROUPS - behind, gap, count)
  groups.fill(0, gap, GROUPS - behind)
  return true
}

function writeWords (words: Uint32Array): void {
  for (let word = 0; word < WORDS_PER_IPV6; word++) {
    words[word] = (groups[word * 2] as number) * 0x1_0000 + (groups[word * 2 + 1] as number)
  }
}

/**
 * Reads an IPv6 address; IPv4-mapped ones are not treated apart.
 * @param text holds the address
 * @param from where it begins
 * @param to where it ends
 * @param words gets the address, four words
 * @returns whether the text is an address
 */
export function parseIPv6 (text: string, from: number, to: number, words: Uint32Array): boolean {
  if (!parseGroups(text, from, to)) {
    const address = text.slice(from, to)
    if (!address.includes(':') || !ipaddr.IPv6.isValid(address)) return false
    groups.set(ipaddr.IPv6.parse(address).parts)
  }
  writeWords(words)
  return true
}

/**
 * @param words four words of an IPv6 address
 * @returns whether it is `::ffff:a.b.c.d`, with the IPv4 address in the last word
 */
export function isMapped (words: Uint32Array): boolean {
  return words[0] === 0 && words[1] === 0 && words[2] === MAPPED_WORD
}

/**
 * Reads an address of either family; IPv4-mapped IPv6 counts as IPv4.
 * @param text the address
 * @param words gets the address: one word for IPv4, four for IPv6
 * @returns its family, or undefined if the text is no address
 */
export function parseAddress (text: string, words: Uint32Array): AddressFamily | undefined {
  const from = text.startsWith(MAPPED_START) ? MAPPED_START.length : 0
  const value = parseIPv4(text, from, text.length)
  if (value >= 0) {
    words[0] = value
    return AddressFamily.IPv4
  }
  if (!parseIPv6(text, 0, text.length, words)) return undefined
  if (!isMapped(words)) return AddressFamily.IPv6
  words[0] = words[WORDS_PER_IPV6 - 1] as number
  return AddressFamily.IPv4
}
