/** When a caller that was refused should come back. */

/** What is known of the place that had no room. */
export interface RoomView {
  /** Requests that wait for a slot. */
  readonly waiting: number
  /** Slots of this entry VM. */
  readonly slots: number
  /** The service's median latency in milliseconds, if known. */
  readonly medianSpan: number | undefined
}

const MS_PER_SECOND = 1000
const LEAST_SECONDS = 1
const MOST_SECONDS = 30
/** Assumed while too little has been measured, in milliseconds. */
const ASSUMED_SPAN = 100

/**
 * The time until those who wait now have been served, in whole seconds as the
 * header has it. Half of it again is added at random: refused callers that all
 * came back in the same second would be refused together again.
 * @param room the place that was full; undefined if no place could be tried
 * @param jitter drawn from 0 (included) to 1 (excluded)
 * @returns seconds, 1 to 30
 */
export function computeRetryAfter (room: RoomView | undefined, jitter: number): number {
  if (room === undefined || room.slots === 0) return LEAST_SECONDS + Math.floor(2 * jitter)
  const rounds = (room.waiting + 1) / room.slots
  const waitSeconds = Math.ceil(rounds * (room.medianSpan ?? ASSUMED_SPAN) / MS_PER_SECOND)
  const base = Math.max(LEAST_SECONDS, waitSeconds)
  return Math.min(MOST_SECONDS, base + Math.floor((base / 2 + 1) * jitter))
}
