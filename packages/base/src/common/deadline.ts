/**
 * Deadlines: the instant by which something has to be done. Spans of time exist
 * only on the wire and in configurations; they become a Deadline on arrival, so
 * that no step can start the span anew.
 */
import type { Instant } from './clock.js'

/** The instant by which something must have ended. */
export type Deadline = Instant

/** The longest delay a Node.js timer takes without wrapping to one millisecond. */
export const MAX_TIMER_MS = 2_147_483_647

/**
 * @param now the present
 * @param spanMs how long from now, in milliseconds
 * @returns the deadline that lies so far ahead
 */
export function createDeadline (now: Instant, spanMs: number): Deadline {
  return now + spanMs
}

/**
 * @param deadline the deadline
 * @param now the present
 * @returns whether it has passed
 */
export function hasPassed (deadline: Deadline, now: Instant): boolean {
  return now >= deadline
}

/**
 * @param deadline the deadline
 * @param now the present
 * @returns the milliseconds left, never below zero, for the wire and for timers
 */
export function getRemainingMs (deadline: Deadline, now: Instant): number {
  return Math.max(0, deadline - now)
}
