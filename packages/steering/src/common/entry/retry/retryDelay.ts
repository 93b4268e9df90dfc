/**
 * Computes the delay after which a rejected caller should retry.
 *
 * Guards against synchronized retries: if many callers were rejected at the same moment with
 * the same delay, they would return together and find the same queue.
 */
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
/** Longest delay for callers whose workers cool down: much longer ones are rarely exact. */
const MAX_COOL_DOWN_DELAY_MS = 60_000
/** Random jitter, as a fraction of the delay. */
const JITTER_RATIO = 0.5

/**
 * @param choice the best candidate for the request; undefined if no worker could get it
 * @param random source of the jitter
 * @returns the delay before the retry, in milliseconds
 */
export function computeRetryDelayMs (choice: UpstreamChoice | undefined, random: IRandomSource): number {
  return addRetryJitter((choice?.waitMs ?? 0) * WAIT_RATIO, random)
}

/**
 * @param waitMs time until capacity is likely to be available, in milliseconds
 * @param random source of the jitter
 * @returns the delay before the retry, in milliseconds
 */
export function addRetryJitter (waitMs: number, random: IRandomSource): number {
  return Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, waitMs)) * (1 + random.next() * JITTER_RATIO)
}

/**
 * Callers that were rejected during the same cool-down must not return together. The jitter
 * does not grow with the cool-down, as the workers are idle meanwhile.
 * @param waitMs time until the first worker's cool-down ends, in milliseconds
 * @param random source of the jitter
 * @returns the delay before the retry, in milliseconds; never less than `waitMs` unless that is very long
 */
export function computeCoolDownDelayMs (waitMs: number, random: IRandomSource): number {
  const delayMs = Math.min(MAX_COOL_DOWN_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, waitMs))
  return delayMs + Math.min(MAX_RETRY_DELAY_MS, delayMs) * random.next() * JITTER_RATIO
}
