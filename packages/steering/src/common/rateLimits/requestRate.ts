/** Estimates a request rate: of an account, so that tokens for several requests can be asked for at once, or of a service. */
import type { Instant } from '@umberspar/base/common/clock'

/** Time constant of the average, long enough for accounts with few requests per second. */
export const AVERAGING_WINDOW_MS = 2_000

/** A request rate with exponential decay. */
export class RequestRate {
  private count = 0
  private updatedAt: Instant = 0

  /** @param now when a request arrived */
  record (now: Instant): void {
    this.count = this.computeDecayedCount(now) + 1
    this.updatedAt = now
  }

  /**
   * @param now the current time
   * @param spanMs the length of a coming period, in milliseconds
   * @returns how many requests are expected in it
   */
  estimate (now: Instant, spanMs: number): number {
    return this.computeDecayedCount(now) * spanMs / AVERAGING_WINDOW_MS
  }

  private computeDecayedCount (now: Instant): number {
    return this.count * Math.exp((this.updatedAt - now) / AVERAGING_WINDOW_MS)
  }
}
