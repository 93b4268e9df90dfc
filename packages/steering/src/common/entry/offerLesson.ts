/** What an entry VM learns from a worker's answer: how long work takes, how fast the worker is, what it has at hand. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Choice } from './chooseUpstream.js'
import type { WorkerPool } from './workerPool.js'
import type { ServiceTimeEstimate } from './serviceTimeEstimate.js'

/** One answer. */
export interface AnswerObservation {
  readonly choice: Choice
  /** The request's object; undefined if workers handle all alike. */
  readonly key: string | undefined
  /** From sending to the whole answer, in milliseconds; time that a caller's request waited behind others is no part of it. */
  readonly tookMs: number
  /** The answer's length. */
  readonly bytes: number
  /** When the answer was whole. */
  readonly now: Instant
}

/**
 * Takes over what an answer shows.
 * @param lesson the answer
 * @param pool of the worker's service
 * @param serviceTimes of the request's route at that service
 */
export function observeAnswer ({ choice, key, tookMs, bytes, now }: AnswerObservation, pool: WorkerPool, serviceTimes: ServiceTimeEstimate): void {
  const { tracker, hand: cacheState, roundTripMs } = choice.candidate
  const delayBeforeServiceMs = choice.waitMs + roundTripMs
  const wasCacheHit = key !== undefined && serviceTimes.isCacheHit(tookMs - delayBeforeServiceMs)
  // Against what this kind of work takes: a worker is not slow for having worked on an object anew.
  tracker.recordLatencyRatio(tookMs / Math.max(1, delayBeforeServiceMs + serviceTimes.getServiceTimeMs(wasCacheHit)), now)
  serviceTimes.observe(wasCacheHit, tookMs - delayBeforeServiceMs, bytes)
  if (key === undefined) return
  pool.cacheHits.observe(cacheState, wasCacheHit)
  pool.cacheAffinity.record(key, tracker.entry.id, now)
}
