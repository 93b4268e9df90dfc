/** A time-weighted moving average, used for the number of requests that are running or waiting at a place. */
import type { Instant } from '@umberspar/base/common/clock'

/** Time after which a past value has lost all but 1/e of its weight. */
const TIME_CONSTANT_MS = 1000

/** The exponentially weighted mean of a value that changes in steps. */
export class DemandMean {
  private mean = 0
  private current = 0
  private changedAt: Instant = 0

  /**
   * @param value the value from `now` on
   * @param now the current time
   */
  update (value: number, now: Instant): void {
    this.mean = this.getMean(now)
    this.current = value
    this.changedAt = now
  }

  /**
   * @param now the current time
   * @returns the mean up to `now`
   */
  getMean (now: Instant): number {
    const decay = Math.exp(-Math.max(0, now - this.changedAt) / TIME_CONSTANT_MS)
    return this.mean * decay + this.current * (1 - decay)
  }
}
