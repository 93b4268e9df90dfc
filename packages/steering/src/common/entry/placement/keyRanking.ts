/**
 * Weighted rendezvous hashing: each object's key ranks the workers, in the same order on every
 * entry VM. A worker ranks first for a fraction of the keys that equals its share, and a
 * change of the worker list moves as few keys as possible.
 */
import { computePairHash, PAIR_HASH_RANGE } from '../../lookup/rendezvous.js'
import type { WorkerShares } from './workerShares.js'

/** Limit on cached rankings, about 200 bytes each. Far fewer objects of a service are in use at an entry VM. */
const MAX_CACHED_KEYS = 20_000

interface RankedWorker {
  readonly id: string
  readonly score: number
}

/** The rankings for requests that arrive in one failure domain. */
export class KeyRanking {
  private readonly ranksByKey = new Map<string, readonly string[]>()

  /** @param shares each worker's share of the requests */
  constructor (private readonly shares: WorkerShares) {}

  /** The number of objects that were ranked, as far as cached. */
  get keyCount (): number {
    return this.ranksByKey.size
  }

  /**
   * @param key identifies the object
   * @returns worker ids, the first choice first
   */
  rank (key: string): readonly string[] {
    const cached = this.ranksByKey.get(key)
    if (cached !== undefined) return cached
    const ranks = this.computeRanks(key)
    if (this.ranksByKey.size >= MAX_CACHED_KEYS) this.ranksByKey.clear()
    this.ranksByKey.set(key, ranks)
    return ranks
  }

  private computeRanks (key: string): string[] {
    const ranked: RankedWorker[] = []
    for (const [id, share] of this.shares) {
      // Adding one half keeps the sample strictly between 0 and 1.
      const uniformSample = (computePairHash(key, id) + 0.5) / PAIR_HASH_RANGE
      ranked.push({ id, score: -Math.log(uniformSample) / share })
    }
    ranked.sort((left, right) => left.score - right.score || (left.id < right.id ? -1 : 1))
    return ranked.map(({ id }) => id)
  }
}
