/** Updates an entry VM's estimates from a worker's answer: service times, the worker's speed and its cache. */
import type { Instant } from '@umberspar/base/common/clock'
import type { UpstreamChoice } from './chooseUpstream.js'
import type { WorkerPool } from './workerPool.js'
import type { ServiceTimeEstimate } from './serviceTimeEstimate.js'
import { getBoundedPace, type LoadReport } from './workerLoad.js'

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
  /** The load that the worker reported with the answer; undefined if it reports none. */
  readonly report?: LoadReport
  /** When the answer was complete. */
  readonly now: Instant
}

/**
 * A queue at the end of a request that is longer than this part of the slots was hardly empty when the request
 * arrived. The bound is not zero because long requests meet a queue at their end more often than
 * short ones: too few misses would count.
 */
const MAX_WAITING_RATIO = 0.25

/** @returns whether a request most likely started at once: a free slot was foreseen, and the queue is short at its end */
function hasStartedAtOnce ({ waitMs }: UpstreamChoice, { waiting, slots }: LoadReport): boolean {
  return waitMs === 0 && waiting <= MAX_WAITING_RATIO * slots
}

/**
 * Updates the estimates of a service and a route from an answer.
 *
 * Time spent waiting would pass for a cache miss. Where workers report their load, only answers to
 * requests that started at once teach anything about caches and service times. Confirming hits by the
 * other answers would bias the hit ratio, as their misses can't be told from waits.
 * @param answer the answer
 * @param pool the workers of the service
 * @param serviceTimes service times of the request's route at that service
 */
export function observeResponse ({ choice, key, tookMs, bytes, report, now }: ResponseObservation, pool: WorkerPool, serviceTimes: ServiceTimeEstimate): void {
  const { tracker, cacheState, roundTripMs } = choice.candidate
  if (key !== undefined) pool.cacheAffinity.record(key, tracker.registration.id, now)
  // The first answers teach in any case: a service that is busy from the start needs estimates, too.
  if (report !== undefined && serviceTimes.hasEnoughSamples && !hasStartedAtOnce(choice, report)) {
    serviceTimes.observeLength(bytes)
    return
  }
  const delayBeforeServiceMs = choice.waitMs + roundTripMs
  const runMs = tookMs - delayBeforeServiceMs
  const serviceMs = runMs / getBoundedPace(report)
  const wasCacheHit = key !== undefined && serviceTimes.isCacheHit(serviceMs)
  // Compared with the time for a hit or a miss respectively: a cache miss doesn't make a worker slow.
  tracker.recordLatencyRatio((tookMs - (runMs - serviceMs)) / Math.max(1, delayBeforeServiceMs + serviceTimes.getServiceTimeMs(wasCacheHit)), now)
  serviceTimes.observe(wasCacheHit, serviceMs, bytes)
  if (key !== undefined) pool.cacheHits.observe(cacheState, wasCacheHit)
}
