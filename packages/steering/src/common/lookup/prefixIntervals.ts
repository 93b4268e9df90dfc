/**
 * Nested prefixes resolved into disjoint intervals, so that a longest-prefix
 * match is one binary search over interval starts.
 */
import type { PrefixList } from './prefixList.js'
import { STEPS_PER_SLICE } from './prefixList.js'

/** The group that stands for addresses of no prefix. */
export const NO_GROUP = 0
/** Open prefixes lie within each other, so no two have the same length: 0 to 128. */
const MAX_NESTING = 129
const MAX_WORD = 0xffff_ffff

/** The key of an address: its first 52 bits, which a double holds exactly. */
const KEY_FACTOR = 2 ** 20
const KEY_SHIFT = 12
const KEYS_PER_TOP = 64

function computeKey (words: Uint32Array, at: number): number {
  return (words[at] as number) * KEY_FACTOR + ((words[at + 1] as number) >>> KEY_SHIFT)
}

/** IPv4 searches begin within the intervals that start with the same 16 bits. */
const HIGH_VALUES = 0x1_0000
const HIGH_SHIFT = 16

/** For each value of the high half of an IPv4 address, how many intervals start below it. */
function buildHighIndex (starts: Uint32Array): Uint32Array {
  const below = new Uint32Array(HIGH_VALUES + 1)
  let at = 0
  for (let high = 0; high < HIGH_VALUES; high++) {
    while (at < starts.length && ((starts[at] as number) >>> HIGH_SHIFT) < high) at++
    below[high] = at
  }
  below[HIGH_VALUES] = starts.length
  return below
}

/** Disjoint intervals of one address family. */
export class PrefixIntervals {
  /** For IPv6: comparing keys decides nearly every step of a search with one load. */
  private readonly keys: Float64Array
  /** Every 64th key: small enough to stay in the processor's nearest cache. */
  private readonly topKeys: Float64Array
  private readonly highIndex: Uint32Array

  constructor (
    private readonly width: number,
    /** `width` words for each start, the most significant first. */
    private readonly starts: Uint32Array,
    private readonly groups: Uint32Array
  ) {
    this.keys = new Float64Array(width > 1 ? groups.length : 0)
    for (let index = 0; index < this.keys.length; index++) this.keys[index] = computeKey(starts, index * width)
    this.topKeys = this.keys.filter((_, index) => index % KEYS_PER_TOP === 0)
    this.highIndex = buildHighIndex(width === 1 ? starts : new Uint32Array(0))
  }

  /**
   * @param value an IPv4 address
   * @returns its group
   */
  findNumber (value: number): number {
    const { starts, groups, highIndex } = this
    const half = value >>> HIGH_SHIFT
    let low = highIndex[half] as number
    let high = highIndex[half + 1] as number
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((starts[middle] as number) <= value) low = middle + 1
      else high = middle
    }
    return low === 0 ? NO_GROUP : groups[low - 1] as number
  }

  /**
   * @param words an IPv6 address
   * @returns its group
   */
  findWords (words: Uint32Array): number {
    const { keys, groups, topKeys } = this
    const key = computeKey(words, 0)
    const below = this.countTopKeysBelow(key)
    let upTo = below
    // Intervals of equal keys, longer prefixes than a key tells apart, may begin anywhere among these.
    while (upTo < topKeys.length && topKeys[upTo] === key) upTo++
    let low = Math.max(0, (below - 1) * KEYS_PER_TOP)
    let high = Math.min(groups.length, upTo * KEYS_PER_TOP)
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
    const { width, starts } = this
    for (let word = 0; word < width; word++) {
      const difference = (starts[interval * width + word] as number) - (words[word] as number)
      if (difference !== 0) return difference
    }
    return 0
  }
}

/** Collects interval starts; an interval of the same group as the one before is not begun. */
class IntervalWriter {
  private readonly starts: Uint32Array
  private readonly groups: Uint32Array
  private count = 0

  constructor (private readonly width: number, capacity: number) {
    this.starts = new Uint32Array(capacity * width)
    this.groups = new Uint32Array(capacity)
  }

  add (words: Uint32Array, group: number): void {
    if (this.count > 0 && this.isLastStart(words)) this.count--
    const previous = this.count > 0 ? this.groups[this.count - 1] : NO_GROUP
    if (previous === group) return
    for (let word = 0; word < this.width; word++) this.starts[this.count * this.width + word] = words[word] as number
    this.groups[this.count++] = group
  }

  finish (): PrefixIntervals {
    return new PrefixIntervals(this.width, this.starts.slice(0, this.count * this.width), this.groups.slice(0, this.count))
  }

  private isLastStart (words: Uint32Array): boolean {
    const at = (this.count - 1) * this.width
    for (let word = 0; word < this.width; word++) {
      if (this.starts[at + word] !== words[word]) return false
    }
    return true
  }
}

/** Adds one; returns false behind the last address of the space. */
function addOne (words: Uint32Array, width: number): boolean {
  for (let word = width - 1; word >= 0; word--) {
    if (words[word] !== MAX_WORD) {
      words[word] = (words[word] as number) + 1
      return true
    }
    words[word] = 0
  }
  return false
}

/** Sweeps over sorted prefixes with a stack of those still open, the longest on top. */
class IntervalSweep {
  private readonly writer: IntervalWriter
  private readonly open = new Int32Array(MAX_NESTING)
  private depth = 0
  private readonly first: Uint32Array
  private readonly last: Uint32Array

  constructor (private readonly list: PrefixList) {
    this.writer = new IntervalWriter(list.wordsPerPrefix, list.size * 2)
    this.first = new Uint32Array(list.wordsPerPrefix)
    this.last = new Uint32Array(list.wordsPerPrefix)
  }

  * run (): Generator<void, PrefixIntervals> {
    const { list } = this
    const width = list.wordsPerPrefix
    for (let index = 0; index < list.size; index++) {
      if (this.isSameAsNext(index)) continue
      for (let word = 0; word < width; word++) this.first[word] = list.words[index * width + word] as number
      this.closeBefore(index)
      this.writer.add(this.first, list.groups[index] as number)
      this.open[this.depth++] = index
      if (index % STEPS_PER_SLICE === STEPS_PER_SLICE - 1) yield
    }
    while (this.depth > 0) this.closeTop()
    return this.writer.finish()
  }

  /** Of equal prefixes the last counts; passing over the others also bounds the stack. */
  private isSameAsNext (index: number): boolean {
    const { list } = this
    const width = list.wordsPerPrefix
    if (index + 1 === list.size || list.lengths[index] !== list.lengths[index + 1]) return false
    for (let word = 0; word < width; word++) {
      if (list.words[index * width + word] !== list.words[(index + 1) * width + word]) return false
    }
    return true
  }

  private closeBefore (index: number): void {
    while (this.depth > 0 && this.isBehind(this.open[this.depth - 1] as number, index)) this.closeTop()
  }

  /** Whether a prefix begins behind the end of an open one. */
  private isBehind (open: number, index: number): boolean {
    const width = this.list.wordsPerPrefix
    this.list.readLast(open, this.last)
    for (let word = 0; word < width; word++) {
      const difference = (this.list.words[index * width + word] as number) - (this.last[word] as number)
      if (difference !== 0) return difference > 0
    }
    return false
  }

  private closeTop (): void {
    this.list.readLast(this.open[--this.depth] as number, this.last)
    if (!addOne(this.last, this.list.wordsPerPrefix)) return
    const parent = this.depth > 0 ? this.list.groups[this.open[this.depth - 1] as number] as number : NO_GROUP
    this.writer.add(this.last, parent)
  }
}

/**
 * @param sorted prefixes by first address and length; of equal ones the last counts
 * @returns the intervals
 */
export function buildIntervals (sorted: PrefixList): Generator<void, PrefixIntervals> {
  return new IntervalSweep(sorted).run()
}
