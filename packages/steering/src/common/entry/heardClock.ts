/**
 * Another VM's steady clock, as far as this VM can be sure of it: an instant of the
 * other is placed on this VM's time line no later than it was.
 *
 * What is sure is that the other VM's first line was written after it had been asked
 * for. Lines arrive later than they were written, by any time; so their arrival says
 * nothing.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { CLOCK_RATE_MARGIN } from '../limits/loans.js'

/** A comparison that may be off by more is worth a new question, in milliseconds. */
const MAX_UNCERTAINTY_MS = 300

/** The clock of one VM, from one question on. */
export class HeardClock {
  private firstReadingMs: number | undefined
  private firstUncertaintyMs = 0

  /** @param requestedAt when the question was sent, on this VM's clock */
  constructor (private readonly requestedAt: Instant) {}

  /**
   * Takes over what the other VM's clock shows.
   * @param clockMs as written on a line
   * @param now when the line arrived
   */
  recordLine (clockMs: number, now: Instant): void {
    if (this.firstReadingMs !== undefined) return
    this.firstReadingMs = clockMs
    this.firstUncertaintyMs = now - this.requestedAt
  }

  /**
   * @param clockMs an instant on the other VM's clock
   * @returns an instant on this VM's clock that lies no later; negative infinity before any line came
   */
  toOwnInstant (clockMs: number): Instant {
    if (this.firstReadingMs === undefined) return Number.NEGATIVE_INFINITY
    const elapsedMs = clockMs - this.firstReadingMs
    return this.requestedAt + elapsedMs - Math.abs(elapsedMs) * CLOCK_RATE_MARGIN
  }

  /**
   * @param now the present
   * @returns whether a new question would place the other VM's instants noticeably better
   */
  isDoubtful (now: Instant): boolean {
    return this.firstUncertaintyMs + (now - this.requestedAt) * CLOCK_RATE_MARGIN > MAX_UNCERTAINTY_MS
  }
}
