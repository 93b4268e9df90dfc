/** The Retry-After header for refused requests. */

/** The load of a place that had no free slot. */
export interface QueueLoad {
  /** Number of requests that are waiting for a slot. */
  readonly waiting: number
  /** Number of slots that this entry VM has there. */
  readonly slots: number
  /** The service's median latency in milliseconds, if known. */
  readonly medianSpan: number | undefined
}

const MS_PER_SECOND = 1000
const MIN_RETRY_AFTER_SECONDS = 1
const MAX_RETRY_AFTER_SECONDS = 30
/** Used while the median latency is unknown. */
const DEFAULT_LATENCY_MS = 100

/**
 * Estimates when the requests that are waiting now will have been served. Up to
 * about half of that time is added at random, as refused callers that all retried
 * in the same second would be refused again.
 * @param load the load of the place that was full; undefined if no place could be tried
 * @param jitter a random number from 0 (inclusive) to 1 (exclusive)
 * @returns whole seconds from 1 to 30
 */
export function computeRetryAfter (load: QueueLoad | undefined, jitter: number): number {
  if (load === undefined || load.slots === 0) return MIN_RETRY_AFTER_SECONDS + Math.floor(2 * jitter)
  const rounds = (load.waiting + 1) / load.slots
  const waitSeconds = Math.ceil(rounds * (load.medianSpan ?? DEFAULT_LATENCY_MS) / MS_PER_SECOND)
  const baseSeconds = Math.max(MIN_RETRY_AFTER_SECONDS, waitSeconds)
  return Math.min(MAX_RETRY_AFTER_SECONDS, baseSeconds + Math.floor((baseSeconds / 2 + 1) * jitter))
}
