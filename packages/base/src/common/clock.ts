/**
 * The interface of clocks. Decisions never read a clock themselves, they receive an
 * {@link Instant}; only adapters and the daemon's loop hold an {@link IClock}.
 */

/** Milliseconds since a starting point that differs from clock to clock; only instants of the same clock can be compared. */
export type Instant = number

/** A scheduled callback. */
export interface ITimer {
  /** Cancels the callback; does nothing once it was called. */
  close(): void
}

/** A source of time and timers. */
export interface IClock {
  /** @returns monotonic time in milliseconds, which never decreases while the process runs */
  now(): Instant
  /** @returns Unix time in milliseconds, for logs, leases and display; may jump in either direction */
  getWallTime(): number
  /**
   * Calls a function once when an instant is reached.
   * @param at when to call it; for an instant in the past, in the next turn of the event loop
   * @param callback the function to call
   * @returns the timer; closing it cancels the call
   */
  schedule(at: Instant, callback: () => void): ITimer
}
