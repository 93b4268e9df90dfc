/**
 * The chance that a worker has an object at hand, learned from how soon answers came.
 *
 * The load pattern: objects asked for through several entry VMs. Each VM remembers
 * its own requests only; what it does not remember is at hand all the same if
 * another VM's request went there. How often that is so depends on how many VMs
 * share the objects and on how many objects a worker keeps, neither of which a VM
 * is told; so it is counted, apart for what is remembered and for each of the first
 * places of the ranking.
 */

/** What is known of an object at a worker before it is asked. */
export enum HandState {
  /** This VM's own request for it went there lately. */
  Remembered = 'remembered',
  /** Not remembered, at the first worker of the object's ranking. */
  FirstRank = 'first-rank',
  /** Not remembered, at the second. */
  SecondRank = 'second-rank',
  /** Not remembered, further down. */
  LaterRank = 'later-rank'
}

/** How much the newest answer counts: some twenty answers make the estimate. */
const SMOOTHING_FACTOR = 0.05
/**
 * Before any answer. The first two places begin in the middle, so that they are
 * tried: a place that is never tried is never learned of.
 */
const INITIAL_PROBABILITIES: Readonly<Record<HandState, number>> = {
  [HandState.Remembered]: 0.95,
  [HandState.FirstRank]: 0.5,
  [HandState.SecondRank]: 0.4,
  [HandState.LaterRank]: 0.1
}

/**
 * @param isRecentlyUsed whether this VM's own request went there lately
 * @param rank the worker's place in the object's ranking, 0 the first
 * @returns what is known of the object there
 */
export function classifyCacheState (isRecentlyUsed: boolean, rank: number): HandState {
  if (isRecentlyUsed) return HandState.Remembered
  if (rank === 0) return HandState.FirstRank
  return rank === 1 ? HandState.SecondRank : HandState.LaterRank
}

/** The chances of one service. */
export class CacheHitEstimator {
  private readonly probabilities = new Map<HandState, number>(Object.entries(INITIAL_PROBABILITIES) as Array<[HandState, number]>)

  /** @returns the chance, 0 to 1 */
  getProbability (state: HandState): number {
    return this.probabilities.get(state)!
  }

  /**
   * @param state what was known before
   * @param wasCacheHit what the answer's time shows
   */
  observe (state: HandState, wasCacheHit: boolean): void {
    const known = this.getProbability(state)
    this.probabilities.set(state, known + SMOOTHING_FACTOR * (Number(wasCacheHit) - known))
  }
}
