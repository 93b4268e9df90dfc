/**
 * Converts instants of another VM's monotonic clock to this VM's clock, never to a later
 * instant than the true one.
 *
 * The only certain fact is that the other VM wrote its first message after this VM had
 * requested it. A message may arrive any time after it was written, so its arrival time proves
 * nothing.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { CLOCK_DRIFT_MARGIN_RATIO } from '../limits/loans.js'

/** Uncertainty above which a new request is made. */
const MAX_UNCERTAINTY_MS = 300

/** The clock of one other VM, relative to one request. */
export class PeerClock {
  private firstReadingMs: number | undefined
  private firstUncertaintyMs = 0

  /** @param requestedAt when the request was sent, on this VM's clock */
  constructor (private readonly requestedAt: Instant) {}

  /**
   * Records the other VM's clock as of a message; only the first message counts.
   * @param clockMs the clock's reading in the message
   * @param now when the message arrived
   */
  recordReading (clockMs: number, now: Instant): void {
    if (this.firstReadingMs !== undefined) return
    this.firstReadingMs = clockMs
    this.firstUncertaintyMs = now - this.requestedAt
  }

  /**
   * @param clockMs an instant on the other VM's clock
   * @returns an instant on this VM's clock that is not later; negative infinity before the
   *   first message
   */
  toLocalInstant (clockMs: number): Instant {
    if (this.firstReadingMs === undefined) return Number.NEGATIVE_INFINITY
    const elapsedMs = clockMs - this.firstReadingMs
    return this.requestedAt + elapsedMs - Math.abs(elapsedMs) * CLOCK_DRIFT_MARGIN_RATIO
  }

  /**
   * @param now the current time
   * @returns whether a new request would reduce the uncertainty noticeably
   */
  isUncertain (now: Instant): boolean {
    return this.firstUncertaintyMs + (now - this.requestedAt) * CLOCK_DRIFT_MARGIN_RATIO > MAX_UNCERTAINTY_MS
  }
}
