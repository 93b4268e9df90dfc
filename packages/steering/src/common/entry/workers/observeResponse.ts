/** Updates an entry VM's estimates from a worker's answer: service times, the worker's speed and its cache. */
import type { Instant } from '@umberspar/base/common/clock'
import type { UpstreamChoice } from './chooseUpstream.js'
import type { WorkerPool } from './workerPool.js'
import type { ServiceTimeEstimate } from './serviceTimeEstimate.js'

/** One answer of a worker. */
export interface ResponseObservation {
  readonly choice: UpstreamChoice
  /** Key of the request's object; undefined if workers cache nothing for the route. */
  readonly key: string | undefined
  /**
   * Time from sending the request to the end of the answer, in milliseconds. It excludes time
   * that the request was queued at the entry VM.
   */
  readonly tookMs: number
  /** Length of the answer. */
  readonly bytes: number
  /** When the answer was complete. */
  readonly now: Instant
}

/**
 * Updates the estimates of a service and a route from an answer.
 * @param answer the answer
 * @param pool the workers of the service
 * @param serviceTimes service times of the request's route at that service
 */
export function observeResponse ({ choice, key, tookMs, bytes, now }: ResponseObservation, pool: WorkerPool, serviceTimes: ServiceTimeEstimate): void {
  const { tracker, cacheState, roundTripMs } = choice.candidate
  const delayBeforeServiceMs = choice.waitMs + roundTripMs
  const wasCacheHit = key !== undefined && serviceTimes.isCacheHit(tookMs - delayBeforeServiceMs)
  // Compared with the time for a hit or a miss respectively: a cache miss doesn't make a worker slow.
  tracker.recordLatencyRatio(tookMs / Math.max(1, delayBeforeServiceMs + serviceTimes.getServiceTimeMs(wasCacheHit)), now)
  serviceTimes.observe(wasCacheHit, tookMs - delayBeforeServiceMs, bytes)
  if (key === undefined) return
  pool.cacheHits.observe(cacheState, wasCacheHit)
  pool.cacheAffinity.record(key, tracker.registration.id, now)
}
