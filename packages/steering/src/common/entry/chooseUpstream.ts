/**
 * The choice of a worker for one request, in one place: what the request is
 * expected to be worth at each candidate (its way, its wait, its work with or
 * without the object at hand, against the route's goal and time limit; the chance
 * that the worker fails it), less what its bytes cost on the way.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { Proximity } from './proximity.js'
import { HandState } from './handChance.js'
import type { UpstreamTracker } from './upstreamTracker.js'

/** What bytes cost, in parts of the worth of one request answered in time, for each kilobyte. */
export interface ByteCosts {
  /** To a worker in another failure domain of the same region. */
  readonly otherDomain: number
  /** To a worker in another region. */
  readonly otherRegion: number
}

/** One worker that may get the request. */
export interface Candidate {
  readonly tracker: UpstreamTracker
  readonly proximity: Proximity
  /** There and back, in milliseconds. */
  readonly roundTripMs: number
  /** What is known of the request's object at the worker. */
  readonly hand: HandState
  /** The chance that the worker has it at hand, 0 to 1. */
  readonly handChance: number
  /** Work on an object that is not at hand, the worker's own speed aside, in milliseconds. */
  readonly missServiceTimeMs: number
  /** Work on an object that is at hand, in milliseconds. */
  readonly hitServiceTimeMs: number
  /** Mean work of the service's requests, for those that wait before this one, in milliseconds. */
  readonly meanServiceTimeMs: number
  /** Its place in the ranking for the request's object, 0 the first. */
  readonly rank: number
}

/** What the request needs. */
export interface Need {
  readonly now: Instant
  /** Until when an answer is worth most. */
  readonly goalAt: Deadline
  /** After that an answer is worth nothing. */
  readonly latestAt: Deadline
  /** Of request and answer together. */
  readonly bytes: number
  /** How busy the service is: 0 with slots to spare, 1 with none. */
  readonly busyness: number
}

/** The candidate chosen, with what spoke for it. */
export interface Choice {
  readonly candidate: Candidate
  /** Expected time until the answer, in milliseconds. */
  readonly expectedMs: number
  /** Expected wait for a slot, in milliseconds. */
  readonly waitMs: number
  /** Expected worth less cost; the higher the better. */
  readonly value: number
  /** The chance of an answer in time if the worker had the object at hand: what its queue alone leaves. */
  readonly onTimeProbabilityOnHit: number
}

/**
 * What a late answer is worth beside one in time. The operators' sheets give a
 * fifth; the order of candidates hardly depends on it.
 */
const LATE_VALUE_RATIO = 0.2
/** Answers spread around their expectation by about this part of their work. */
const SERVICE_TIME_SPREAD_RATIO = 0.12
/** The same for the wait, of which a VM sees only its own requests and what workers last told. */
const WAIT_SPREAD_RATIO = 0.35
/** Worth lost for each millisecond in time: of two that answer in time the quicker leaves more room for others. */
const LATENCY_COST_PER_MS = 0.0002
/**
 * Worth lost for each place in the ranking. Above what the bytes of a usual answer
 * cost between regions: else all objects of a region with few workers would go to
 * these, more than they can keep at hand, and each would be worked on anew each time.
 */
const COST_PER_RANK = 0.08
/**
 * Worth lost by handing an object to a worker that does not have it at hand while
 * another would: the work takes three times as long and pushes out another object.
 * With free slots this hurts nobody; without any it takes the place of three requests.
 */
const IDLE_MISS_COST = 0.1
const SATURATED_MISS_COST = 0.6
/**
 * Worth added for a worker that this VM has sent nothing yet, if it is the first in
 * the ranking: it keeps no objects, so by their expected time all requests would
 * stay where their objects are, and a worker added for more room would give none.
 */
const UNUSED_WORKER_BONUS = 1
/** How much longer a cold worker takes. */
const COLD_WORKER_SLOWDOWN_RATIO = 2
const BYTES_PER_KB = 1_000

const BYTE_COST_PER_KB: Readonly<Record<Proximity, (costs: ByteCosts) => number>> = {
  [Proximity.SameDomain]: () => 0,
  [Proximity.SameRegion]: ({ otherDomain }) => otherDomain,
  [Proximity.OtherRegion]: ({ otherRegion }) => otherRegion
}

/** One way in which a request may go. */
interface LatencyEstimate {
  readonly waitMs: number
  readonly expectedMs: number
}

/** The chance that an answer expected at one instant comes before another, by a logistic curve. */
function estimateOnTimeProbability ({ waitMs, expectedMs }: LatencyEstimate, limitMs: number): number {
  const spreadMs = 1 + SERVICE_TIME_SPREAD_RATIO * (expectedMs - waitMs) + WAIT_SPREAD_RATIO * waitMs
  return 1 / (1 + Math.exp((expectedMs - limitMs) / spreadMs))
}

function computeMissCost ({ rank, hand: cacheState, handChance: cacheHitProbability }: Candidate, saturation: number): number {
  if (cacheState === HandState.Remembered || rank === 0) return 0
  return (1 - cacheHitProbability) * (IDLE_MISS_COST + (SATURATED_MISS_COST - IDLE_MISS_COST) * saturation)
}

function estimateWaitMs ({ tracker, meanServiceTimeMs }: Candidate, slowdown: number, now: Instant): number {
  const queuedCount = tracker.countHeld(now) + 1 - tracker.entry.slots
  return Math.max(0, queuedCount) * meanServiceTimeMs * slowdown / tracker.entry.slots
}

/**
 * @param candidate a worker
 * @param context the request
 * @param costs what bytes cost
 * @returns what the request is expected to be worth there
 */
export function estimateChoice (candidate: Candidate, context: Need, costs: ByteCosts): Choice {
  const { tracker, proximity } = candidate
  const { now } = context
  const slowdown = tracker.getSlowness(now) * (tracker.isCold(now) ? COLD_WORKER_SLOWDOWN_RATIO : 1)
  const waitMs = estimateWaitMs(candidate, slowdown, now)
  const delayBeforeServiceMs = candidate.roundTripMs + waitMs
  const hit: LatencyEstimate = { waitMs, expectedMs: delayBeforeServiceMs + candidate.hitServiceTimeMs * slowdown }
  const miss: LatencyEstimate = { waitMs, expectedMs: delayBeforeServiceMs + candidate.missServiceTimeMs * slowdown }
  const { handChance: cacheHitProbability } = candidate
  const expectedMs = cacheHitProbability * hit.expectedMs + (1 - cacheHitProbability) * miss.expectedMs
  const onTimeOnHit = estimateOnTimeProbability(hit, context.goalAt - now)
  const onTime = cacheHitProbability * onTimeOnHit + (1 - cacheHitProbability) * estimateOnTimeProbability(miss, context.goalAt - now)
  const beforeDeadline = cacheHitProbability * estimateOnTimeProbability(hit, context.latestAt - now) + (1 - cacheHitProbability) * estimateOnTimeProbability(miss, context.latestAt - now)
  const expectedValue = (onTime + LATE_VALUE_RATIO * Math.max(0, beforeDeadline - onTime)) * (1 - tracker.getFailure(now))
  const transferCost = BYTE_COST_PER_KB[proximity](costs) * context.bytes / BYTES_PER_KB
  const bonus = candidate.rank === 0 && tracker.sentCount === 0 ? UNUSED_WORKER_BONUS : 0
  const affinityCost = COST_PER_RANK * candidate.rank + computeMissCost(candidate, context.busyness)
  const score = expectedValue + bonus - transferCost - LATENCY_COST_PER_MS * expectedMs - affinityCost
  return { candidate, expectedMs, waitMs, value: score, onTimeProbabilityOnHit: onTimeOnHit }
}

/**
 * @param candidates the workers that may get the request
 * @param context the request
 * @param costs what bytes cost
 * @returns the best of them, or undefined if there is none
 */
export function chooseUpstream (candidates: readonly Candidate[], context: Need, costs: ByteCosts): Choice | undefined {
  let best: Choice | undefined
  for (const candidate of candidates) {
    const choice = estimateChoice(candidate, context, costs)
    if (best === undefined || choice.value > best.value) best = choice
  }
  return best
}
