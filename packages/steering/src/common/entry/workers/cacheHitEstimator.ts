/**
 * Estimates the probability that a worker has an object cached, learned from how soon answers
 * came.
 *
 * Each entry VM knows only its own requests, but an object may also be cached because of a
 * request from another VM. How often depends on the number of VMs that share the objects and
 * on the workers' cache sizes, neither of which a VM knows. So hits are counted separately for
 * objects that this VM requested recently and for each of the first positions in the ranking.
 */

/** What is known about a worker's cache and an object before a request is sent. */
export enum CacheState {
  /** This VM recently sent a request for the object to the worker. */
  RecentlyUsed = 'remembered',
  /** No recent request from this VM; the worker ranks first for the key. */
  FirstRank = 'first-rank',
  /** No recent request from this VM; the worker ranks second. */
  SecondRank = 'second-rank',
  /** No recent request from this VM; the worker ranks third or lower. */
  LaterRank = 'later-rank'
}

/** Weight of the newest answer; about twenty answers determine the estimate. */
const SMOOTHING_FACTOR = 0.05
/**
 * Probabilities before the first answer. The first two positions start near the middle so that
 * they get requests: without any, their estimates would never be corrected.
 */
const INITIAL_PROBABILITIES: Readonly<Record<CacheState, number>> = {
  [CacheState.RecentlyUsed]: 0.95,
  [CacheState.FirstRank]: 0.5,
  [CacheState.SecondRank]: 0.4,
  [CacheState.LaterRank]: 0.1
}

/**
 * @param isRecentlyUsed whether this VM recently sent a request for the object to the worker
 * @param rank the worker's position in the key's ranking, 0 for the first
 * @returns what is known about the worker's cache
 */
export function classifyCacheState (isRecentlyUsed: boolean, rank: number): CacheState {
  if (isRecentlyUsed) return CacheState.RecentlyUsed
  if (rank === 0) return CacheState.FirstRank
  return rank === 1 ? CacheState.SecondRank : CacheState.LaterRank
}

/**
 * Workers have room for a second copy of each object while this fraction of the requests at the first
 * ranks hit. With less room, second copies evict others, and the fraction falls.
 */
const SPARE_CACHE_HIT_RATIO = 0.78
/** Below this fraction, second copies evict too much: each object is left to its first worker again. */
const FULL_CACHE_HIT_RATIO = 0.65

/** The cache hit probabilities of one service. */
export class CacheHitEstimator {
  private hasSpareCache = false
  private readonly probabilities = new Map<CacheState, number>(Object.entries(INITIAL_PROBABILITIES) as Array<[CacheState, number]>)

  /**
   * @param state what is known about the worker's cache
   * @param isSecondCopy whether the worker is the second one of its key and balances the load of the first one
   * @returns the probability of a cache hit, 0 to 1
   */
  getProbability (state: CacheState, isSecondCopy = false): number {
    return isSecondCopy ? this.estimateSecondCopyProbability(state) : this.probabilities.get(state)!
  }

  /**
   * The probability at the second worker of a key that all entry VMs of a region use beside the first one. It is
   * not what the rare requests show that go there now: used by all, the worker keeps the object as well.
   * @param state what is known about the second worker's cache
   * @returns the probability of a cache hit, 0 to 1
   */
  estimateSecondCopyProbability (state: CacheState): number {
    const first = this.getProbability(CacheState.FirstRank)
    this.hasSpareCache = first >= (this.hasSpareCache ? FULL_CACHE_HIT_RATIO : SPARE_CACHE_HIT_RATIO)
    return this.hasSpareCache ? Math.max(first, this.getProbability(state)) : this.getProbability(state)
  }

  /**
   * @param state what was known before the request
   * @param wasCacheHit whether the answer's latency indicates a cache hit
   */
  observe (state: CacheState, wasCacheHit: boolean): void {
    const known = this.getProbability(state)
    this.probabilities.set(state, known + SMOOTHING_FACTOR * (Number(wasCacheHit) - known))
  }
}
