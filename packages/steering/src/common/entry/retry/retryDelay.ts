/**
 * When a rejected caller should retry: bounds of the delay, and the room that a queue is expected
 * to have.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { UpstreamChoice } from '../workers/chooseUpstream.js'

/** Shortest delay that a rejected caller is asked to wait. */
export const MIN_RETRY_DELAY_MS = 100
/** Callers honour longer delays only up to this fraction of the time that they have left. */
export const MAX_RETRY_DELAY_RATIO = 1 / 3
/**
 * Longest delay. Callers accept up to a third of the time they have left, which is 0.7 to 1 s
 * for the shortest deadlines.
 */
const MAX_RETRY_DELAY_MS = 1_000
/** Fraction of the expected wait after which to retry. By then half of the queue has been served or rejected. */
const WAIT_RATIO = 0.5
/** Random jitter, as a fraction of the delay. */
const JITTER_RATIO = 0.5

/** The room that is expected at a worker. */
export interface ExpectedRoom {
  /** When room is expected at the earliest. */
  readonly roomAt: Instant
  /** Expected time from then to an answer, in milliseconds. */
  readonly expectedMs: number
}

/**
 * @param choice the best candidate for the request; undefined if no worker could get it
 * @param now the current time
 * @returns the room that is expected there
 */
export function estimateRoom (choice: UpstreamChoice | undefined, now: Instant): ExpectedRoom {
  if (choice === undefined) return { roomAt: now, expectedMs: 0 }
  const { waitMs, expectedMs } = choice
  return { roomAt: now + waitMs * WAIT_RATIO, expectedMs: expectedMs - waitMs * WAIT_RATIO }
}

/**
 * @param waitMs time until capacity is likely to be available, in milliseconds
 * @param random source of the jitter
 * @returns the delay before the retry, in milliseconds
 */
export function addRetryJitter (waitMs: number, random: IRandomSource): number {
  return Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, waitMs)) * (1 + random.next() * JITTER_RATIO)
}
