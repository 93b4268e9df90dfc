/**
 * Chooses the upstream worker for one request.
 *
 * Each candidate gets a score: the expected value of its answer, less the costs of reaching
 * it. The expected value follows from the round trip, the wait for a slot and the service time
 * with and without a cached object, compared with the route's latency goal and the request's
 * deadline, and from the probability that the worker fails the request.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { Proximity } from '../placement/proximity.js'
import { CacheState } from './cacheHitEstimator.js'
import type { UpstreamTracker } from './upstreamTracker.js'

/** Cost of transferring one kilobyte, as a fraction of the value of one request answered on time. */
export interface ByteCosts {
  /** To or from a worker in another failure domain of the same region. */
  readonly otherDomain: number
  /** To or from a worker in another region. */
  readonly otherRegion: number
}

/** A worker that the request may be sent to. */
export interface Candidate {
  readonly tracker: UpstreamTracker
  readonly proximity: Proximity
  /** Network round trip to the worker, in milliseconds. */
  readonly roundTripMs: number
  /** What this VM knows about the worker's cache and the request's object. */
  readonly cacheState: CacheState
  /** Probability that the worker has the object cached, 0 to 1. */
  readonly cacheHitProbability: number
  /** The same probability for the key's first worker; 1 if that one can't get the request. */
  readonly firstHitProbability: number
  /** Whether the key's first worker has no free slot, so that balancing between the two may gain. */
  readonly isFirstBusy?: boolean
  /** Service time on a cache miss at a worker of normal speed, in milliseconds. */
  readonly missServiceTimeMs: number
  /** Service time on a cache hit at a worker of normal speed, in milliseconds. */
  readonly hitServiceTimeMs: number
  /** Service time assumed for each request queued ahead of this one, in milliseconds. */
  readonly meanServiceTimeMs: number
  /** Position in the key's worker ranking, 0 for the first. */
  readonly rank: number
}

/** The request and the state of its service, as far as the choice depends on them. */
export interface ChoiceContext {
  readonly now: Instant
  /** An answer before this instant has its full value. */
  readonly goalAt: Deadline
  /** An answer after this instant has no value. */
  readonly deadline: Deadline
  /** Size of the request and the expected answer together. */
  readonly bytes: number
  /** Saturation of the service, from 0 (free slots) to 1 (no free slots). */
  readonly saturation: number
}

/** A candidate with the estimates that its score is based on. */
export interface UpstreamChoice {
  readonly candidate: Candidate
  /** Expected time until the answer arrives, in milliseconds. */
  readonly expectedMs: number
  /** Expected wait for a slot, in milliseconds. */
  readonly waitMs: number
  /** Expected value less costs; the highest score wins. */
  readonly score: number
  /**
   * Probability of an answer before the goal if the worker has the object cached, so that only
   * the round trip, the queue and the worker's speed count.
   */
  readonly onTimeProbabilityOnHit: number
}

/**
 * Value of an answer after the goal but before the deadline, relative to one on time. The
 * operators' specification sets a fifth; the order of candidates hardly depends on it.
 */
const LATE_VALUE_RATIO = 0.2
/** Spread of service times around their mean. */
const SERVICE_TIME_SPREAD_RATIO = 0.12
/** Spread of queue waits around their estimate: a VM knows only its own requests and the load that workers reported last. */
const WAIT_SPREAD_RATIO = 0.35
/** Score lost per millisecond of latency. Between two answers on time, the faster one frees its slot sooner. */
const LATENCY_COST_PER_MS = 0.0002
/**
 * Score lost per position in the key's ranking. It must exceed the transfer cost of a typical
 * answer between regions. Otherwise a region with few workers would send them all of its
 * objects, more than they can cache, and each request would be a cache miss.
 */
const COST_PER_RANK = 0.08
/**
 * The same for the second worker of a key while its queue is known from other VMs: the expected
 * end decides between the two. An object cached by two workers is affordable, since a worker keeps more
 * objects than rank first there; a third worker would evict others'.
 */
const COST_OF_SECOND_RANK = 0.02
/**
 * Score lost by sending a request to a worker without the object cached while another one has
 * it: a miss takes three times as long and evicts another object. This does no harm while
 * slots are free; in a saturated service it takes the slot time of three requests.
 */
const IDLE_MISS_COST = 0.1
const SATURATED_MISS_COST = 0.6
/**
 * Score added for a worker that ranks first for the key but has never received a request from
 * this VM. Its cache is empty, so by latency alone all requests would stay with the workers
 * that have their objects cached, and a newly added worker would get no traffic.
 */
const UNUSED_WORKER_BONUS = 1
/** How many times longer a worker takes during its cold start. */
const COLD_WORKER_SLOWDOWN_RATIO = 2
const BYTES_PER_KB = 1_000

const BYTE_COST_PER_KB: Readonly<Record<Proximity, (costs: ByteCosts) => number>> = {
  [Proximity.SameDomain]: () => 0,
  [Proximity.SameRegion]: ({ otherDomain }) => otherDomain,
  [Proximity.OtherRegion]: ({ otherRegion }) => otherRegion
}

/** Expected latency for one outcome of the cache lookup, a hit or a miss. */
interface LatencyEstimate {
  readonly waitMs: number
  readonly expectedMs: number
}

/** Probability that an answer expected after `expectedMs` arrives within `limitMs`, by a logistic curve. */
function estimateOnTimeProbability ({ waitMs, expectedMs }: LatencyEstimate, limitMs: number): number {
  const spreadMs = 1 + SERVICE_TIME_SPREAD_RATIO * (expectedMs - waitMs) + WAIT_SPREAD_RATIO * waitMs
  return 1 / (1 + Math.exp((expectedMs - limitMs) / spreadMs))
}

function hasKnownQueue ({ rank, tracker, isFirstBusy = true }: Candidate, now: Instant): boolean {
  return rank === 1 && isFirstBusy && tracker.load.isShared(now)
}

function computeMissCost (candidate: Candidate, { saturation, now }: ChoiceContext): number {
  const { rank, cacheState, cacheHitProbability, firstHitProbability, tracker } = candidate
  if (cacheState === CacheState.RecentlyUsed || rank === 0) return 0
  const isQueueKnown = hasKnownQueue(candidate, now)
  // The first worker may miss as well; only the misses beyond that are a loss, and little of one in a free slot.
  const lostHits = (isQueueKnown ? Math.max(firstHitProbability, cacheHitProbability) : 1) - cacheHitProbability
  const missSaturation = isQueueKnown && tracker.countInFlight(now) < tracker.registration.slots ? 0 : saturation
  return lostHits * (IDLE_MISS_COST + (SATURATED_MISS_COST - IDLE_MISS_COST) * missSaturation)
}

function computeRankCost (candidate: Candidate, now: Instant): number {
  return hasKnownQueue(candidate, now) ? COST_OF_SECOND_RANK : COST_PER_RANK * candidate.rank
}

function estimateWaitMs ({ tracker, meanServiceTimeMs }: Candidate, slowdown: number, now: Instant): number {
  const queuedCount = tracker.countInFlight(now) + 1 - tracker.registration.slots
  return Math.max(0, queuedCount) * meanServiceTimeMs * slowdown / tracker.registration.slots
}

/**
 * @param candidate a worker
 * @param context the request and the state of its service
 * @param costs transfer costs
 * @returns the candidate with its score
 */
export function estimateChoice (candidate: Candidate, context: ChoiceContext, costs: ByteCosts): UpstreamChoice {
  const { tracker, proximity } = candidate
  const { now } = context
  const slowdown = tracker.getSlowdown(now) * (tracker.isCold(now) ? COLD_WORKER_SLOWDOWN_RATIO : 1) * tracker.load.getPace(now)
  const waitMs = estimateWaitMs(candidate, slowdown, now)
  const delayBeforeServiceMs = candidate.roundTripMs + waitMs
  const hit: LatencyEstimate = { waitMs, expectedMs: delayBeforeServiceMs + candidate.hitServiceTimeMs * slowdown }
  const miss: LatencyEstimate = { waitMs, expectedMs: delayBeforeServiceMs + candidate.missServiceTimeMs * slowdown }
  const { cacheHitProbability } = candidate
  const expectedMs = cacheHitProbability * hit.expectedMs + (1 - cacheHitProbability) * miss.expectedMs
  const onTimeOnHit = estimateOnTimeProbability(hit, context.goalAt - now)
  const onTime = cacheHitProbability * onTimeOnHit + (1 - cacheHitProbability) * estimateOnTimeProbability(miss, context.goalAt - now)
  const beforeDeadline = cacheHitProbability * estimateOnTimeProbability(hit, context.deadline - now) + (1 - cacheHitProbability) * estimateOnTimeProbability(miss, context.deadline - now)
  const expectedValue = (onTime + LATE_VALUE_RATIO * Math.max(0, beforeDeadline - onTime)) * (1 - tracker.getFailureRate(now))
  const transferCost = BYTE_COST_PER_KB[proximity](costs) * context.bytes / BYTES_PER_KB
  const bonus = candidate.rank === 0 && tracker.sentCount === 0 ? UNUSED_WORKER_BONUS : 0
  const affinityCost = computeRankCost(candidate, now) + computeMissCost(candidate, context)
  const score = expectedValue + bonus - transferCost - LATENCY_COST_PER_MS * expectedMs - affinityCost
  return { candidate, expectedMs, waitMs, score, onTimeProbabilityOnHit: onTimeOnHit }
}

/**
 * @param candidates the workers that the request may be sent to
 * @param context the request and the state of its service
 * @param costs transfer costs
 * @returns the candidate with the highest score, or undefined if there are none
 */
export function chooseUpstream (candidates: readonly Candidate[], context: ChoiceContext, costs: ByteCosts): UpstreamChoice | undefined {
  let best: UpstreamChoice | undefined
  for (const candidate of candidates) {
    const choice = estimateChoice(candidate, context, costs)
    if (best === undefined || choice.score > best.score) best = choice
  }
  return best
}
