/**
 * Stores prefixes of one address family in typed arrays, and sorts and merges them.
 * Long operations are generators that yield every few thousand operations, so that
 * the caller can let the event loop run other work in between.
 */
import { computeWordMask } from './clientPrefix.js'

/** Number of operations, of about 0.1 µs each, between two yields. */
export const OPERATIONS_PER_SLICE = 4096
const DIGIT_BITS = 16
const DIGIT_VALUES = 1 << DIGIT_BITS
const DIGIT_MASK = DIGIT_VALUES - 1

/** Prefixes and the number of each one's group. */
export class PrefixList {
  readonly words: Uint32Array
  readonly lengths: Uint8Array
  readonly groups: Uint32Array
  size = 0

  /**
   * @param wordsPerPrefix 1 for IPv4, 4 for IPv6
   * @param capacity the largest number of prefixes
   */
  constructor (readonly wordsPerPrefix: number, readonly capacity: number) {
    this.words = new Uint32Array(capacity * wordsPerPrefix)
    this.lengths = new Uint8Array(capacity)
    this.groups = new Uint32Array(capacity)
  }

  /** Appends one prefix whose address is at the start of `words`. */
  add (words: Uint32Array, length: number, group: number): void {
    const index = this.size++
    for (let wordIndex = 0; wordIndex < this.wordsPerPrefix; wordIndex++) this.words[index * this.wordsPerPrefix + wordIndex] = words[wordIndex] as number
    this.lengths[index] = length
    this.groups[index] = group
  }

  /** Appends one prefix of another list of the same family. */
  addFrom (other: PrefixList, otherIndex: number): void {
    const wordsPerPrefix = this.wordsPerPrefix
    const ownIndex = this.size++
    for (let wordIndex = 0; wordIndex < wordsPerPrefix; wordIndex++) this.words[ownIndex * wordsPerPrefix + wordIndex] = other.words[otherIndex * wordsPerPrefix + wordIndex] as number
    this.lengths[ownIndex] = other.lengths[otherIndex] as number
    this.groups[ownIndex] = other.groups[otherIndex] as number
  }

  /** Writes the last address of a prefix to the start of `words`. */
  readLastAddress (index: number, words: Uint32Array): void {
    const wordsPerPrefix = this.wordsPerPrefix
    const length = this.lengths[index] as number
    for (let wordIndex = 0; wordIndex < wordsPerPrefix; wordIndex++) {
      words[wordIndex] = ((this.words[index * wordsPerPrefix + wordIndex] as number) | ~computeWordMask(wordIndex, length)) >>> 0
    }
  }
}

/** Compares by first address, then length, then group; group numbers follow the order of the groups. */
function comparePrefixes (left: PrefixList, leftIndex: number, right: PrefixList, rightIndex: number): number {
  const wordsPerPrefix = left.wordsPerPrefix
  for (let wordIndex = 0; wordIndex < wordsPerPrefix; wordIndex++) {
    const difference = (left.words[leftIndex * wordsPerPrefix + wordIndex] as number) - (right.words[rightIndex * wordsPerPrefix + wordIndex] as number)
    if (difference !== 0) return difference
  }
  const difference = (left.lengths[leftIndex] as number) - (right.lengths[rightIndex] as number)
  return difference !== 0 ? difference : (left.groups[leftIndex] as number) - (right.groups[rightIndex] as number)
}

/** Reads a 16-bit digit of the radix sort, the least significant first: the length, then the words from the last to the first. */
function readDigit (list: PrefixList, index: number, pass: number): number {
  if (pass === 0) return list.lengths[index] as number
  const digitIndex = pass - 1
  const wordIndex = list.wordsPerPrefix - 1 - (digitIndex >> 1)
  return ((list.words[index * list.wordsPerPrefix + wordIndex] as number) >>> ((digitIndex & 1) * DIGIT_BITS)) & DIGIT_MASK
}

/**
 * Sorts by first address and length; equal prefixes keep their order. This is a radix
 * sort, because it can be interrupted after any operation.
 * @param list the prefixes
 * @returns a sorted copy
 */
export function * sortInSlices (list: PrefixList): Generator<void, PrefixList> {
  let order = new Uint32Array(list.size)
  for (let index = 0; index < list.size; index++) order[index] = index
  let next = new Uint32Array(list.size)
  const digitEnds = new Uint32Array(DIGIT_VALUES)
  for (let pass = 0; pass <= list.wordsPerPrefix * 2; pass++) {
    digitEnds.fill(0)
    for (let index = 0; index < list.size; index++) {
      const digit = readDigit(list, index, pass)
      digitEnds[digit] = (digitEnds[digit] as number) + 1
      if (index % OPERATIONS_PER_SLICE === OPERATIONS_PER_SLICE - 1) yield
    }
    // The pass is skipped if all prefixes have the same digit, which is common in the low half of IPv6 prefixes.
    if (list.size === 0 || digitEnds[readDigit(list, 0, pass)] === list.size) continue
    for (let digit = 1; digit < DIGIT_VALUES; digit++) digitEnds[digit] = (digitEnds[digit] as number) + (digitEnds[digit - 1] as number)
    for (let index = list.size - 1; index >= 0; index--) {
      const digit = readDigit(list, order[index] as number, pass)
      const end = (digitEnds[digit] as number) - 1
      digitEnds[digit] = end
      next[end] = order[index] as number
      if (index % OPERATIONS_PER_SLICE === 0) yield
    }
    [order, next] = [next, order]
  }
  const sorted = new PrefixList(list.wordsPerPrefix, list.size)
  for (let index = 0; index < list.size; index++) {
    sorted.addFrom(list, order[index] as number)
    if (index % OPERATIONS_PER_SLICE === OPERATIONS_PER_SLICE - 1) yield
  }
  return sorted
}

/**
 * Replaces the prefixes of some groups in a sorted list.
 * @param sorted the list
 * @param replacedGroups the groups whose prefixes are left out
 * @param added the sorted prefixes that take their place
 * @returns a new sorted list
 */
export function * mergeInSlices (sorted: PrefixList, replacedGroups: ReadonlySet<number>, added: PrefixList): Generator<void, PrefixList> {
  const merged = new PrefixList(sorted.wordsPerPrefix, sorted.size + added.size)
  let addedIndex = 0
  for (let index = 0; index < sorted.size; index++) {
    if (index % OPERATIONS_PER_SLICE === OPERATIONS_PER_SLICE - 1) yield
    if (replacedGroups.has(sorted.groups[index] as number)) continue
    while (addedIndex < added.size && comparePrefixes(added, addedIndex, sorted, index) < 0) merged.addFrom(added, addedIndex++)
    merged.addFrom(sorted, index)
  }
  while (addedIndex < added.size) merged.addFrom(added, addedIndex++)
  return merged
}
