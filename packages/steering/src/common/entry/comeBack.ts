/**
 * When a caller that was refused is asked to come back.
 *
 * The load pattern: many callers are refused within a moment. Were all told the
 * same time, they would come back together and find the same queue.
 */
import type { IRandomSource } from '@umberspar/base/common/random'
import type { Choice } from './chooseUpstream.js'

/** The least and the most that a refused caller is asked to wait, in milliseconds. */
const MIN_RETRY_DELAY_MS = 100
/** Callers honour up to a third of the time that they have left: 0.7 to 1 s with the shortest deadlines. */
const MAX_RETRY_DELAY_MS = 1_000
/** The part of the expected wait after which to come back: by then others have been refused or served, and half of the queue is gone. */
const WAIT_RATIO = 0.5
/** Times are spread up to this part beyond. */
const JITTER_RATIO = 0.5

/**
 * @param choice what was best for the request; undefined if no worker could get it
 * @param random spreads the callers
 * @returns the time to wait, in milliseconds
 */
export function computeRetry (choice: Choice | undefined, random: IRandomSource): number {
  return addSpread((choice?.waitMs ?? 0) * WAIT_RATIO, random)
}

/**
 * @param waitMs after which there is likely to be room, in milliseconds
 * @param random spreads the callers
 * @returns the time to wait, in milliseconds
 */
export function addSpread (waitMs: number, random: IRandomSource): number {
  return Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, waitMs)) * (1 + random.next() * JITTER_RATIO)
}
