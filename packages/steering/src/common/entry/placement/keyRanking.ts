/**
 * Weighted rendezvous hashing: each object's key ranks the workers, in the same order on every
 * entry VM. A worker ranks first for a fraction of the keys that equals its share, and a
 * change of the worker list moves as few keys as possible.
 */
import { computePairHash, PAIR_HASH_RANGE } from '../../lookup/rendezvous.js'
import type { WorkerShares } from './workerShares.js'

/** Workers whose order is kept for a key; requests rarely need more, as most workers can get them. */
const HEAD_LENGTH = 8
/** Limit on cached keys, about 300 bytes each. Far fewer objects of a service are in use at an entry VM. */
const MAX_CACHED_KEYS = 20_000
/** Limit on the workers of all cached full rankings, about 8 bytes each. */
const MAX_CACHED_FULL_RANKS = 200_000

interface RankedWorker {
  readonly id: string
  readonly score: number
}

/** The rankings for requests that arrive in one failure domain. */
export class KeyRanking {
  private readonly headsByKey = new Map<string, readonly string[]>()
  /** Rankings of keys for which the first workers were not enough. */
  private readonly ranksByKey = new Map<string, readonly string[]>()

  /** @param shares each worker's share of the requests */
  constructor (private readonly shares: WorkerShares) {}

  /** The number of objects that were ranked, as far as cached. */
  get keyCount (): number {
    return this.headsByKey.size
  }

  /**
   * Lists all workers in the order of their ranks. The first few cost no sorting of the others.
   * @param key identifies the object
   * @returns worker ids, the first choice first
   */
  * listRanked (key: string): Iterable<string> {
    const head = this.getHead(key)
    yield * head
    if (head.length === this.shares.size) return
    const ranks = this.rank(key)
    for (let rank = head.length; rank < ranks.length; rank++) yield ranks[rank]!
  }

  /**
   * @param key identifies the object
   * @returns all worker ids, the first choice first
   */
  rank (key: string): readonly string[] {
    const cached = this.ranksByKey.get(key)
    if (cached !== undefined) return cached
    const ranked = [...this.shares].map(([id, share]) => computeScore(key, id, share)).sort(compareRanked)
    const ranks = ranked.map(({ id }) => id)
    if ((this.ranksByKey.size + 1) * ranks.length > MAX_CACHED_FULL_RANKS) this.ranksByKey.clear()
    this.ranksByKey.set(key, ranks)
    return ranks
  }

  private getHead (key: string): readonly string[] {
    const cached = this.headsByKey.get(key)
    if (cached !== undefined) return cached
    const head = this.chooseHead(key)
    if (this.headsByKey.size >= MAX_CACHED_KEYS) this.headsByKey.clear()
    this.headsByKey.set(key, head)
    return head
  }

  private chooseHead (key: string): string[] {
    const head: RankedWorker[] = []
    for (const [id, share] of this.shares) {
      const worker = computeScore(key, id, share)
      if (head.length === HEAD_LENGTH && compareRanked(worker, head.at(-1)!) > 0) continue
      if (head.length === HEAD_LENGTH) head.pop()
      const index = head.findIndex((other) => compareRanked(worker, other) < 0)
      head.splice(index === -1 ? head.length : index, 0, worker)
    }
    return head.map(({ id }) => id)
  }
}

function computeScore (key: string, id: string, share: number): RankedWorker {
  // Adding one half keeps the sample strictly between 0 and 1.
  const uniformSample = (computePairHash(key, id) + 0.5) / PAIR_HASH_RANGE
  return { id, score: -Math.log(uniformSample) / share }
}

function compareRanked (left: RankedWorker, right: RankedWorker): number {
  return left.score - right.score || (left.id < right.id ? -1 : 1)
}
