/**
 * Rendezvous hashing (highest random weight): every node ranks the same ids in
 * the same order, and removing an id doesn't change the order of the others.
 */
import { computeHash32 } from '../hash/xxHash.js'

/** Number of possible hashes of a pair: they are integers from 0 to this, exclusive. */
export const PAIR_HASH_RANGE = 0x1_0000_0000
/** Separates key and id, so that different pairs don't hash the same text. */
const SEPARATOR = '\u0000'

/**
 * @param key the key to rank ids for
 * @param id one of the ids
 * @returns the pair's hash, an unsigned 32-bit number
 */
export function computePairHash (key: string, id: string): number {
  return computeHash32(`${key}${SEPARATOR}${id}`)
}

interface RankedId {
  readonly id: string
  readonly hash: number
}

function compareRanked (left: RankedId, right: RankedId): number {
  if (left.hash !== right.hash) return right.hash - left.hash
  return left.id < right.id ? -1 : 1
}

/**
 * Ranks ids for a key by xxHash32; equal hashes are ordered by id.
 * @param key the key to rank ids for
 * @param ids the ids, in any order and without duplicates
 * @returns the ids, the highest rank first
 */
export function rankByRendezvous (key: string, ids: readonly string[]): string[] {
  const ranked = ids.map((id) => ({ id, hash: computePairHash(key, id) }))
  return ranked.sort(compareRanked).map((entry) => entry.id)
}
