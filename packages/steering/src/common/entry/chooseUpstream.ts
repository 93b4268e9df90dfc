/**
 * The choice of a worker for one request, in one place: what the request is
 * expected to be worth at each candidate (its way, its wait, its work with or
 * without the object at hand, against the route's goal and time limit; the chance
 * that the worker fails it), less what its bytes cost on the way.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { Nearness } from './nearness.js'
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
  readonly nearness: Nearness
  /** There and back, in milliseconds. */
  readonly roundTripMs: number
  /** What is known of the request's object at the worker. */
  readonly hand: HandState
  /** The chance that the worker has it at hand, 0 to 1. */
  readonly handChance: number
  /** Work on an object that is not at hand, the worker's own speed aside, in milliseconds. */
  readonly coldWorkMs: number
  /** Work on an object that is at hand, in milliseconds. */
  readonly warmWorkMs: number
  /** Mean work of the service's requests, for those that wait before this one, in milliseconds. */
  readonly meanWorkMs: number
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
  readonly promptness: number
}

/**
 * What a late answer is worth beside one in time. The operators' sheets give a
 * fifth; the order of candidates hardly depends on it.
 */
const LATE_WORTH = 0.2
/** Answers spread around their expectation by about this part of their work. */
const WORK_SPREAD = 0.12
/** The same for the wait, of which a VM sees only its own requests and what workers last told. */
const WAIT_SPREAD = 0.35
/** Worth lost for each millisecond in time: of two that answer in time the quicker leaves more room for others. */
const COST_PER_MS = 0.0002
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
const IDLE_SPILL_COST = 0.1
const BUSY_SPILL_COST = 0.6
/**
 * Worth added for a worker that this VM has sent nothing yet, if it is the first in
 * the ranking: it keeps no objects, so by their expected time all requests would
 * stay where their objects are, and a worker added for more room would give none.
 */
const FIRST_REQUEST_BONUS = 1
/** How much longer a cold worker takes. */
const COLD_WORKER_FACTOR = 2
const BYTES_PER_KB = 1_000

const BYTE_COST: Readonly<Record<Nearness, (costs: ByteCosts) => number>> = {
  [Nearness.SameDomain]: () => 0,
  [Nearness.SameRegion]: ({ otherDomain }) => otherDomain,
  [Nearness.OtherRegion]: ({ otherRegion }) => otherRegion
}

/** One way in which a request may go. */
interface Course {
  readonly waitMs: number
  readonly expectedMs: number
}

/** The chance that an answer expected at one instant comes before another, by a logistic curve. */
function estimateInTime ({ waitMs, expectedMs }: Course, limitMs: number): number {
  const spreadMs = 1 + WORK_SPREAD * (expectedMs - waitMs) + WAIT_SPREAD * waitMs
  return 1 / (1 + Math.exp((expectedMs - limitMs) / spreadMs))
}

function computeSpillCost ({ rank, hand, handChance }: Candidate, busyness: number): number {
  if (hand === HandState.Remembered || rank === 0) return 0
  return (1 - handChance) * (IDLE_SPILL_COST + (BUSY_SPILL_COST - IDLE_SPILL_COST) * busyness)
}

function estimateWait ({ tracker, meanWorkMs }: Candidate, slowness: number, now: Instant): number {
  const ahead = tracker.countHeld(now) + 1 - tracker.entry.slots
  return Math.max(0, ahead) * meanWorkMs * slowness / tracker.entry.slots
}

/**
 * @param candidate a worker
 * @param need the request
 * @param costs what bytes cost
 * @returns what the request is expected to be worth there
 */
export function estimateChoice (candidate: Candidate, need: Need, costs: ByteCosts): Choice {
  const { tracker, nearness } = candidate
  const { now } = need
  const slowness = tracker.getSlowness(now) * (tracker.isCold(now) ? COLD_WORKER_FACTOR : 1)
  const waitMs = estimateWait(candidate, slowness, now)
  const beforeMs = candidate.roundTripMs + waitMs
  const warm: Course = { waitMs, expectedMs: beforeMs + candidate.warmWorkMs * slowness }
  const cold: Course = { waitMs, expectedMs: beforeMs + candidate.coldWorkMs * slowness }
  const { handChance } = candidate
  const expectedMs = handChance * warm.expectedMs + (1 - handChance) * cold.expectedMs
  const inTimeIfWarm = estimateInTime(warm, need.goalAt - now)
  const inTime = handChance * inTimeIfWarm + (1 - handChance) * estimateInTime(cold, need.goalAt - now)
  const atAll = handChance * estimateInTime(warm, need.latestAt - now) + (1 - handChance) * estimateInTime(cold, need.latestAt - now)
  const worth = (inTime + LATE_WORTH * Math.max(0, atAll - inTime)) * (1 - tracker.getFailure(now))
  const bytesCost = BYTE_COST[nearness](costs) * need.bytes / BYTES_PER_KB
  const bonus = candidate.rank === 0 && tracker.sent === 0 ? FIRST_REQUEST_BONUS : 0
  const spillCost = COST_PER_RANK * candidate.rank + computeSpillCost(candidate, need.busyness)
  const value = worth + bonus - bytesCost - COST_PER_MS * expectedMs - spillCost
  return { candidate, expectedMs, waitMs, value, promptness: inTimeIfWarm }
}

/**
 * @param candidates the workers that may get the request
 * @param need the request
 * @param costs what bytes cost
 * @returns the best of them, or undefined if there is none
 */
export function chooseUpstream (candidates: readonly Candidate[], need: Need, costs: ByteCosts): Choice | undefined {
  let best: Choice | undefined
  for (const candidate of candidates) {
    const choice = estimateChoice(candidate, need, costs)
    if (best === undefined || choice.value > best.value) best = choice
  }
  return best
}
