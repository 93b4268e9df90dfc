/** The time-weighted mean of how many requests a place holds or has waiting. */
import type { Instant } from '@umberspar/base/common/clock'

/** What happened so long ago counts for a factor of e less, in milliseconds. */
const MEMORY_MS = 1000

/** A running mean of a number that changes in steps. */
export class DemandMean {
  private mean = 0
  private current = 0
  private changedAt: Instant = 0

  /**
   * @param value the number from now on
   * @param now the present
   */
  update (value: number, now: Instant): void {
    this.mean = this.getMean(now)
    this.current = value
    this.changedAt = now
  }

  /**
   * @param now the present
   * @returns the mean up to now
   */
  getMean (now: Instant): number {
    const kept = Math.exp(-Math.max(0, now - this.changedAt) / MEMORY_MS)
    return this.mean * kept + this.current * (1 - kept)
  }
}
