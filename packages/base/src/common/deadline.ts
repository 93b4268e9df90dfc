/**
 * Deadlines. Durations exist only on the wire and in configurations; they are converted to a
 * {@link Deadline} on arrival, so that no later step can restart the duration.
 */
import type { Instant } from './clock.js'

/** The instant by which an operation must have ended. */
export type Deadline = Instant

/** The longest delay of a Node.js timer; longer delays are set to one millisecond. */
export const MAX_TIMER_MS = 2_147_483_647

/**
 * @param now the current instant
 * @param durationMs the time from now to the deadline, in milliseconds
 * @returns the deadline
 */
export function createDeadline (now: Instant, durationMs: number): Deadline {
  return now + durationMs
}

/**
 * @param deadline the deadline
 * @param now the current instant
 * @returns whether the deadline has been reached
 */
export function hasPassed (deadline: Deadline, now: Instant): boolean {
  return now >= deadline
}

/**
 * @param deadline the deadline
 * @param now the current instant
 * @returns the remaining time in milliseconds, at least zero, for the wire and for timers
 */
export function getRemainingMs (deadline: Deadline, now: Instant): number {
  return Math.max(0, deadline - now)
}
