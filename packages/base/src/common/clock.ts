/**
 * Time as a port. Decisions never read the clock themselves: they get an
 * Instant; only adapters and the daemon's loop hold an IClock.
 */

/** Milliseconds on the clock's own time line; compare only Instants of one clock. */
export type Instant = number

/** A timer that has not fired yet. */
export interface ITimer {
  close(): void
}

/** The source of time and of timers. */
export interface IClock {
  /** @returns milliseconds on a time line that never goes back while the process lives */
  now(): Instant
  /** @returns milliseconds since 1970, for logs, leases and what people read; may jump */
  getWallTime(): number
  /**
   * Calls once when an instant is reached.
   * @param at when to call; an instant in the past calls in the next turn of the loop
   * @param callback what to call
   * @returns the timer, closed to cancel it
   */
  schedule(at: Instant, callback: () => void): ITimer
}
