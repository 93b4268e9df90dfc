/**
 * Longest-prefix match of client addresses, on typed arrays. Nested prefixes are
 * resolved into disjoint intervals when the table is built, so that a look-up is
 * one binary search over interval starts.
 */
import ipaddr from 'ipaddr.js'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { ClientPrefix } from './clientPrefix.js'
import { AddressFamily, parseClientPrefix } from './clientPrefix.js'

/** A prefix and the group of clients (in umberspar the region) that it belongs to. */
export interface ClientBlock {
  /** CIDR, IPv4 or IPv6. */
  readonly prefix: string
  readonly group: string
}

/** The index that stands for addresses of no block. */
const NO_GROUP = 0
const WORDS_PER_IPV6 = 4
const MAPPED_START = '::ffff:'
/** The first number behind the address space. */
const IPV4_END = 2 ** 32
const IPV6_END = 1n << 128n
const ZERO = 48
const DOT = 46

/** A prefix as an interval; `after` is the first address behind it. */
interface Span<T extends number | bigint> {
  readonly first: T
  readonly after: T
  readonly length: number
  readonly group: number
}

/** Starts of disjoint intervals with the group of each, both in ascending order. */
interface Boundaries<T extends number | bigint> {
  readonly starts: T[]
  readonly groups: number[]
}

function compareSpans<T extends number | bigint> (left: Span<T>, right: Span<T>): number {
  if (left.first !== right.first) return left.first < right.first ? -1 : 1
  return left.length - right.length
}

function addBoundary<T extends number | bigint> (boundaries: Boundaries<T>, start: T, group: number): void {
  const { starts, groups } = boundaries
  if (starts.length > 0 && starts[starts.length - 1] === start) {
    starts.pop()
    groups.pop()
  }
  const previous = groups.length > 0 ? groups[groups.length - 1] : NO_GROUP
  if (previous === group) return
  starts.push(start)
  groups.push(group)
}

/** Sweeps over nested spans with a stack of those still open, the longest prefix on top. */
function buildBoundaries<T extends number | bigint> (spans: Array<Span<T>>, end: T): Boundaries<T> {
  const boundaries: Boundaries<T> = { starts: [], groups: [] }
  const open: Array<Span<T>> = []
  const closeBefore = (address: T | undefined): void => {
    for (let top = open.at(-1); top !== undefined; top = open.at(-1)) {
      if (address !== undefined && top.after > address) return
      open.pop()
      if (top.after < end) addBoundary(boundaries, top.after, open.at(-1)?.group ?? NO_GROUP)
    }
  }
  for (const span of spans.sort(compareSpans)) {
    closeBefore(span.first)
    addBoundary(boundaries, span.first, span.group)
    open.push(span)
  }
  closeBefore(undefined)
  return boundaries
}

function toIPv4Span (prefix: ClientPrefix, group: number): Span<number> {
  const first = prefix.bytes.reduce((value, byte) => value * 256 + byte, 0)
  return { first, after: first + 2 ** (32 - prefix.length), length: prefix.length, group }
}

function toIPv6Span (prefix: ClientPrefix, group: number): Span<bigint> {
  const first = prefix.bytes.reduce((value, byte) => (value << 8n) | BigInt(byte), 0n)
  return { first, after: first + (1n << BigInt(128 - prefix.length)), length: prefix.length, group }
}

/**
 * Reads four decimal numbers without allocating.
 * @returns the address as an unsigned 32-bit number, or -1 if the text is none
 */
function parseIPv4 (text: string, from: number): number {
  let value = 0
  let part = 0
  let digits = 0
  let dots = 0
  for (let index = from; index < text.length; index++) {
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
    if (digit < 0 || digit > 9 || digits === 3) return -1
    part = part * 10 + digit
    digits++
  }
  if (dots !== 3 || digits === 0 || part > 255) return -1
  return value * 256 + part
}

/** An immutable table from client addresses to groups. */
export class ClientBlockTable {
  private constructor (
    /** Number of prefixes the table was built from. */
    readonly size: number,
    private readonly groups: ReadonlyArray<string | undefined>,
    private readonly ipv4Starts: Uint32Array,
    private readonly ipv4Groups: Uint32Array,
    /** Four words for each start, the most significant first. */
    private readonly ipv6Starts: Uint32Array,
    private readonly ipv6Groups: Uint32Array
  ) {}

  /**
   * @param blocks prefixes in any order; of two equal ones the later counts
   * @returns the table
   * @throws StepError (Invalid) for a prefix that is not CIDR; a validated configuration has none
   */
  static build (blocks: Iterable<ClientBlock>): ClientBlockTable {
    const groups: Array<string | undefined> = [undefined]
    const indexByGroup = new Map<string, number>()
    const ipv4: Array<Span<number>> = []
    const ipv6: Array<Span<bigint>> = []
    for (const block of blocks) {
      const prefix = parseClientPrefix(block.prefix)
      if (prefix === undefined) throw createPrefixError(block.prefix)
      let group = indexByGroup.get(block.group)
      if (group === undefined) {
        group = groups.push(block.group) - 1
        indexByGroup.set(block.group, group)
      }
      if (prefix.family === AddressFamily.IPv4) ipv4.push(toIPv4Span(prefix, group))
      else ipv6.push(toIPv6Span(prefix, group))
    }
    const size = ipv4.length + ipv6.length
    const low = buildBoundaries(ipv4, IPV4_END)
    const high = buildBoundaries(ipv6, IPV6_END)
    return new ClientBlockTable(
      size, groups,
      Uint32Array.from(low.starts), Uint32Array.from(low.groups),
      splitWords(high.starts), Uint32Array.from(high.groups)
    )
  }

  /**
   * @param address an IPv4 or IPv6 address, also IPv4-mapped
   * @returns the group of the longest prefix that holds the address, or undefined
   */
  find (address: string): string | undefined {
    const from = address.startsWith(MAPPED_START) ? MAPPED_START.length : 0
    const value = parseIPv4(address, from)
    if (value >= 0) return this.findIPv4(value)
    if (!address.includes(':') || !ipaddr.IPv6.isValid(address)) return undefined
    const parsed = ipaddr.IPv6.parse(address)
    if (parsed.isIPv4MappedAddress()) return this.findIPv4(toWord(parsed.parts, 6))
    return this.findIPv6(parsed.parts)
  }

  private findIPv4 (value: number): string | undefined {
    let low = 0
    let high = this.ipv4Starts.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.ipv4Starts[middle] as number) <= value) low = middle + 1
      else high = middle
    }
    return low === 0 ? undefined : this.groups[this.ipv4Groups[low - 1] as number]
  }

  private findIPv6 (parts: readonly number[]): string | undefined {
    const words = [toWord(parts, 0), toWord(parts, 2), toWord(parts, 4), toWord(parts, 6)]
    let low = 0
    let high = this.ipv6Groups.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.compareIPv6(middle, words) <= 0) low = middle + 1
      else high = middle
    }
    return low === 0 ? undefined : this.groups[this.ipv6Groups[low - 1] as number]
  }

  private compareIPv6 (interval: number, words: readonly number[]): number {
    for (let word = 0; word < WORDS_PER_IPV6; word++) {
      const difference = (this.ipv6Starts[interval * WORDS_PER_IPV6 + word] as number) - (words[word] as number)
      if (difference !== 0) return difference
    }
    return 0
  }
}

function toWord (parts: readonly number[], index: number): number {
  return (parts[index] as number) * 0x1_0000 + (parts[index + 1] as number)
}

function splitWords (starts: readonly bigint[]): Uint32Array {
  const words = new Uint32Array(starts.length * WORDS_PER_IPV6)
  starts.forEach((start, index) => {
    for (let word = 0; word < WORDS_PER_IPV6; word++) {
      words[index * WORDS_PER_IPV6 + word] = Number((start >> BigInt(32 * (WORDS_PER_IPV6 - 1 - word))) & 0xffff_ffffn)
    }
  })
  return words
}

function createPrefixError (prefix: string): StepError {
  return new StepError({
    code: ErrorCode.Invalid,
    step: 'build-client-blocks',
    peer: 'local',
    message: `expected a CIDR prefix, got '${prefix}'`
  })
}
