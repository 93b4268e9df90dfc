/**
 * Prefixes of one address family on typed arrays, and their sorting. The long
 * work is done by generators that yield every few thousand steps, so that a
 * caller on an event loop can let other work in between.
 */
import { computeWordMask } from './clientPrefix.js'

/** Steps of about 0.1 µs each between two yields. */
export const STEPS_PER_SLICE = 4096
const DIGIT_BITS = 16
const DIGIT_VALUES = 1 << DIGIT_BITS
const DIGIT_MASK = DIGIT_VALUES - 1

/** Prefixes with the group of each. */
export class PrefixList {
  readonly words: Uint32Array
  readonly lengths: Uint8Array
  readonly groups: Uint32Array
  size = 0

  /**
   * @param wordsPerPrefix 1 for IPv4, 4 for IPv6
   * @param capacity how many prefixes it can hold
   */
  constructor (readonly wordsPerPrefix: number, readonly capacity: number) {
    this.words = new Uint32Array(capacity * wordsPerPrefix)
    this.lengths = new Uint8Array(capacity)
    this.groups = new Uint32Array(capacity)
  }

  /** Appends one prefix whose address stands at the beginning of `words`. */
  add (words: Uint32Array, length: number, group: number): void {
    const at = this.size++
    for (let word = 0; word < this.wordsPerPrefix; word++) this.words[at * this.wordsPerPrefix + word] = words[word] as number
    this.lengths[at] = length
    this.groups[at] = group
  }

  /** Appends one prefix of another list of the same family. */
  addFrom (other: PrefixList, index: number): void {
    const width = this.wordsPerPrefix
    const at = this.size++
    for (let word = 0; word < width; word++) this.words[at * width + word] = other.words[index * width + word] as number
    this.lengths[at] = other.lengths[index] as number
    this.groups[at] = other.groups[index] as number
  }

  /** Writes the last address of a prefix to the beginning of `words`. */
  readLast (index: number, words: Uint32Array): void {
    const width = this.wordsPerPrefix
    const length = this.lengths[index] as number
    for (let word = 0; word < width; word++) {
      words[word] = ((this.words[index * width + word] as number) | ~computeWordMask(word, length)) >>> 0
    }
  }
}

/** Orders by first address, then length, then group; the groups' numbers follow the order of the groups. */
function comparePrefixes (left: PrefixList, leftIndex: number, right: PrefixList, rightIndex: number): number {
  const width = left.wordsPerPrefix
  for (let word = 0; word < width; word++) {
    const difference = (left.words[leftIndex * width + word] as number) - (right.words[rightIndex * width + word] as number)
    if (difference !== 0) return difference
  }
  const difference = (left.lengths[leftIndex] as number) - (right.lengths[rightIndex] as number)
  return difference !== 0 ? difference : (left.groups[leftIndex] as number) - (right.groups[rightIndex] as number)
}

/** Digits of 16 bits, the least significant first: the length, then the words from the last to the first. */
function readDigit (list: PrefixList, index: number, pass: number): number {
  if (pass === 0) return list.lengths[index] as number
  const digit = pass - 1
  const word = list.wordsPerPrefix - 1 - (digit >> 1)
  return ((list.words[index * list.wordsPerPrefix + word] as number) >>> ((digit & 1) * DIGIT_BITS)) & DIGIT_MASK
}

/**
 * Sorts by first address and length; equal prefixes keep their order. A radix
 * sort, since it can stop after any step.
 * @param list the prefixes
 * @returns a sorted copy
 */
export function * sortInSlices (list: PrefixList): Generator<void, PrefixList> {
  let order = new Uint32Array(list.size)
  for (let at = 0; at < list.size; at++) order[at] = at
  let next = new Uint32Array(list.size)
  const ends = new Uint32Array(DIGIT_VALUES)
  for (let pass = 0; pass <= list.wordsPerPrefix * 2; pass++) {
    ends.fill(0)
    for (let at = 0; at < list.size; at++) {
      const digit = readDigit(list, at, pass)
      ends[digit] = (ends[digit] as number) + 1
      if (at % STEPS_PER_SLICE === STEPS_PER_SLICE - 1) yield
    }
    // All prefixes have the same digit, as in the low half of most IPv6 prefixes.
    if (list.size === 0 || ends[readDigit(list, 0, pass)] === list.size) continue
    for (let digit = 1; digit < DIGIT_VALUES; digit++) ends[digit] = (ends[digit] as number) + (ends[digit - 1] as number)
    for (let at = list.size - 1; at >= 0; at--) {
      const digit = readDigit(list, order[at] as number, pass)
      const end = (ends[digit] as number) - 1
      ends[digit] = end
      next[end] = order[at] as number
      if (at % STEPS_PER_SLICE === 0) yield
    }
    [order, next] = [next, order]
  }
  const sorted = new PrefixList(list.wordsPerPrefix, list.size)
  for (let at = 0; at < list.size; at++) {
    sorted.addFrom(list, order[at] as number)
    if (at % STEPS_PER_SLICE === STEPS_PER_SLICE - 1) yield
  }
  return sorted
}

/**
 * Replaces the prefixes of some groups in a sorted list.
 * @param sorted the list
 * @param replaced the groups whose prefixes are left out
 * @param added the sorted prefixes that take their place
 * @returns a new sorted list
 */
export function * mergeInSlices (sorted: PrefixList, replaced: ReadonlySet<number>, added: PrefixList): Generator<void, PrefixList> {
  const merged = new PrefixList(sorted.wordsPerPrefix, sorted.size + added.size)
  let taken = 0
  for (let at = 0; at < sorted.size; at++) {
    if (at % STEPS_PER_SLICE === STEPS_PER_SLICE - 1) yield
    if (replaced.has(sorted.groups[at] as number)) continue
    while (taken < added.size && comparePrefixes(added, taken, sorted, at) < 0) merged.addFrom(added, taken++)
    merged.addFrom(sorted, at)
  }
  while (taken < added.size) merged.addFrom(added, taken++)
  return merged
}
