/**
 * Rendezvous hashing (highest random weight): every node ranks the same ids in
 * the same order, and the loss of one id leaves the order of the others as it is.
 */
import { computeHash32 } from '../hash/xxHash.js'

/** One more than the greatest hash of a pair. */
export const PAIR_HASH_RANGE = 0x1_0000_0000
/** Stands between key and id, so that no two pairs hash the same text. */
const SEPARATOR = '\u0000'

/**
 * @param key what ids compete for
 * @param id one of them
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
 * Ranks ids for a key by xxHash32; equal hashes go by id.
 * @param key what the ids compete for
 * @param ids the competitors, in any order, each once
 * @returns the ids, the highest rank first
 */
export function rankByRendezvous (key: string, ids: readonly string[]): string[] {
  const ranked = ids.map((id) => ({ id, hash: computePairHash(key, id) }))
  return ranked.sort(compareRanked).map((entry) => entry.id)
}
