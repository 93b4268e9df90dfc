/**
 * Converts nested prefixes into disjoint address intervals, so that a longest-prefix
 * match is one binary search over interval starts.
 */
import type { PrefixList } from './prefixList.js'
import { OPERATIONS_PER_SLICE } from './prefixList.js'

/** The group of addresses that match no prefix. */
export const NO_GROUP = 0
/** Open prefixes are nested, so that no two have the same length, which ranges from 0 to 128. */
const MAX_NESTING = 129
const MAX_WORD = 0xffff_ffff

/** The key of an address is its first 52 bits, which a double represents exactly. */
const KEY_FACTOR = 2 ** 20
const KEY_SHIFT = 12
const KEYS_PER_TOP_KEY = 64

function computeAddressKey (words: Uint32Array, offset: number): number {
  return (words[offset] as number) * KEY_FACTOR + ((words[offset + 1] as number) >>> KEY_SHIFT)
}

/** A search for an IPv4 address is limited to intervals whose start has the same high 16 bits. */
const HIGH_HALF_VALUES = 0x1_0000
const HIGH_HALF_SHIFT = 16

/** For each value of the high half of an IPv4 address, counts the intervals whose start has a smaller high half. */
function buildHighHalfIndex (starts: Uint32Array): Uint32Array {
  const countsBelow = new Uint32Array(HIGH_HALF_VALUES + 1)
  let startIndex = 0
  for (let highHalf = 0; highHalf < HIGH_HALF_VALUES; highHalf++) {
    while (startIndex < starts.length && ((starts[startIndex] as number) >>> HIGH_HALF_SHIFT) < highHalf) startIndex++
    countsBelow[highHalf] = startIndex
  }
  countsBelow[HIGH_HALF_VALUES] = starts.length
  return countsBelow
}

/** Disjoint intervals of one address family. */
export class PrefixIntervals {
  /** For IPv6: the key of each start. Nearly every comparison of a search needs only the key, one memory access. */
  private readonly keys: Float64Array
  /** Every 64th key, so that the first part of a search stays in the processor's L1 cache. */
  private readonly topKeys: Float64Array
  private readonly highHalfIndex: Uint32Array

  constructor (
    private readonly wordsPerAddress: number,
    /** `wordsPerAddress` words for each start, the most significant first. */
    private readonly starts: Uint32Array,
    private readonly groups: Uint32Array
  ) {
    this.keys = new Float64Array(wordsPerAddress > 1 ? groups.length : 0)
    for (let index = 0; index < this.keys.length; index++) this.keys[index] = computeAddressKey(starts, index * wordsPerAddress)
    this.topKeys = this.keys.filter((_, index) => index % KEYS_PER_TOP_KEY === 0)
    this.highHalfIndex = buildHighHalfIndex(wordsPerAddress === 1 ? starts : new Uint32Array(0))
  }

  /**
   * @param value an IPv4 address
   * @returns its group, {@link NO_GROUP} without a matching prefix
   */
  findIPv4 (value: number): number {
    const { starts, groups, highHalfIndex } = this
    const highHalf = value >>> HIGH_HALF_SHIFT
    let low = highHalfIndex[highHalf] as number
    let high = highHalfIndex[highHalf + 1] as number
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((starts[middle] as number) <= value) low = middle + 1
      else high = middle
    }
    return low === 0 ? NO_GROUP : groups[low - 1] as number
  }

  /**
   * @param words an IPv6 address
   * @returns its group, {@link NO_GROUP} without a matching prefix
   */
  findIPv6 (words: Uint32Array): number {
    const { keys, groups, topKeys } = this
    const key = computeAddressKey(words, 0)
    const countBelow = this.countTopKeysBelow(key)
    let countUpTo = countBelow
    // Prefixes longer than 52 bits can have equal keys; their intervals can start anywhere among equal top keys.
    while (countUpTo < topKeys.length && topKeys[countUpTo] === key) countUpTo++
    let low = Math.max(0, (countBelow - 1) * KEYS_PER_TOP_KEY)
    let high = Math.min(groups.length, countUpTo * KEYS_PER_TOP_KEY)
    while (low < high) {
      const middle = (low + high) >>> 1
      const difference = (keys[middle] as number) - key
      if (difference < 0 || (difference === 0 && this.compareStart(middle, words) <= 0)) low = middle + 1
      else high = middle
    }
    return low === 0 ? NO_GROUP : groups[low - 1] as number
  }

  private countTopKeysBelow (key: number): number {
    const { topKeys } = this
    let low = 0
    let high = topKeys.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((topKeys[middle] as number) < key) low = middle + 1
      else high = middle
    }
    return low
  }

  private compareStart (interval: number, words: Uint32Array): number {
    const { wordsPerAddress, starts } = this
    for (let wordIndex = 0; wordIndex < wordsPerAddress; wordIndex++) {
      const difference = (starts[interval * wordsPerAddress + wordIndex] as number) - (words[wordIndex] as number)
      if (difference !== 0) return difference
    }
    return 0
  }
}

/** Collects interval starts; an interval with the same group as the previous one is merged into it. */
class IntervalWriter {
  private readonly starts: Uint32Array
  private readonly groups: Uint32Array
  private count = 0

  constructor (private readonly wordsPerAddress: number, capacity: number) {
    this.starts = new Uint32Array(capacity * wordsPerAddress)
    this.groups = new Uint32Array(capacity)
  }

  add (words: Uint32Array, group: number): void {
    if (this.count > 0 && this.isLastStart(words)) this.count--
    const previous = this.count > 0 ? this.groups[this.count - 1] : NO_GROUP
    if (previous === group) return
    for (let wordIndex = 0; wordIndex < this.wordsPerAddress; wordIndex++) this.starts[this.count * this.wordsPerAddress + wordIndex] = words[wordIndex] as number
    this.groups[this.count++] = group
  }

  finish (): PrefixIntervals {
    return new PrefixIntervals(this.wordsPerAddress, this.starts.slice(0, this.count * this.wordsPerAddress), this.groups.slice(0, this.count))
  }

  private isLastStart (words: Uint32Array): boolean {
    const offset = (this.count - 1) * this.wordsPerAddress
    for (let wordIndex = 0; wordIndex < this.wordsPerAddress; wordIndex++) {
      if (this.starts[offset + wordIndex] !== words[wordIndex]) return false
    }
    return true
  }
}

/** Increments an address; returns false if it was the last of the address space. */
function addOne (words: Uint32Array, wordsPerAddress: number): boolean {
  for (let wordIndex = wordsPerAddress - 1; wordIndex >= 0; wordIndex--) {
    if (words[wordIndex] !== MAX_WORD) {
      words[wordIndex] = (words[wordIndex] as number) + 1
      return true
    }
    words[wordIndex] = 0
  }
  return false
}

/** Iterates over sorted prefixes with a stack of the open ones: those that contain the current address, the longest on top. */
class IntervalSweep {
  private readonly writer: IntervalWriter
  private readonly openPrefixes = new Int32Array(MAX_NESTING)
  private openCount = 0
  private readonly firstAddress: Uint32Array
  private readonly lastAddress: Uint32Array

  constructor (private readonly list: PrefixList) {
    this.writer = new IntervalWriter(list.wordsPerPrefix, list.size * 2)
    this.firstAddress = new Uint32Array(list.wordsPerPrefix)
    this.lastAddress = new Uint32Array(list.wordsPerPrefix)
  }

  * run (): Generator<void, PrefixIntervals> {
    const { list } = this
    const wordsPerAddress = list.wordsPerPrefix
    for (let index = 0; index < list.size; index++) {
      if (this.isSameAsNext(index)) continue
      for (let wordIndex = 0; wordIndex < wordsPerAddress; wordIndex++) this.firstAddress[wordIndex] = list.words[index * wordsPerAddress + wordIndex] as number
      this.closeEndedBefore(index)
      this.writer.add(this.firstAddress, list.groups[index] as number)
      this.openPrefixes[this.openCount++] = index
      if (index % OPERATIONS_PER_SLICE === OPERATIONS_PER_SLICE - 1) yield
    }
    while (this.openCount > 0) this.closeInnermost()
    return this.writer.finish()
  }

  /** Of equal prefixes only the last counts; skipping the others also limits the size of the stack. */
  private isSameAsNext (index: number): boolean {
    const { list } = this
    const wordsPerAddress = list.wordsPerPrefix
    if (index + 1 === list.size || list.lengths[index] !== list.lengths[index + 1]) return false
    for (let wordIndex = 0; wordIndex < wordsPerAddress; wordIndex++) {
      if (list.words[index * wordsPerAddress + wordIndex] !== list.words[(index + 1) * wordsPerAddress + wordIndex]) return false
    }
    return true
  }

  private closeEndedBefore (index: number): void {
    while (this.openCount > 0 && this.isAfter(this.openPrefixes[this.openCount - 1] as number, index)) this.closeInnermost()
  }

  /** @returns whether a prefix starts after the end of an open one */
  private isAfter (openIndex: number, index: number): boolean {
    const wordsPerAddress = this.list.wordsPerPrefix
    this.list.readLastAddress(openIndex, this.lastAddress)
    for (let wordIndex = 0; wordIndex < wordsPerAddress; wordIndex++) {
      const difference = (this.list.words[index * wordsPerAddress + wordIndex] as number) - (this.lastAddress[wordIndex] as number)
      if (difference !== 0) return difference > 0
    }
    return false
  }

  private closeInnermost (): void {
    this.list.readLastAddress(this.openPrefixes[--this.openCount] as number, this.lastAddress)
    if (!addOne(this.lastAddress, this.list.wordsPerPrefix)) return
    const parentGroup = this.openCount > 0 ? this.list.groups[this.openPrefixes[this.openCount - 1] as number] as number : NO_GROUP
    this.writer.add(this.lastAddress, parentGroup)
  }
}

/**
 * @param sorted prefixes sorted by first address and length; of equal ones the last counts
 * @returns a generator that yields after every few thousand operations and returns the intervals
 */
export function buildIntervals (sorted: PrefixList): Generator<void, PrefixIntervals> {
  return new IntervalSweep(sorted).run()
}
