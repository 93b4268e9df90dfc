/** A rate limit with a burst of one second's worth. */
import type { IClock, Instant } from '@umberspar/base/common/clock'

const MS_PER_SECOND = 1000

/** Admits a number of calls a second, counted on a clock. */
export class TokenBucket {
  private tokens: number
  private filledAt: Instant

  /**
   * @param clock what seconds are counted on
   * @param perSecond tokens gained each second, and the most that are kept; Infinity for no limit
   */
  constructor (private readonly clock: IClock, private readonly perSecond: number) {
    this.tokens = perSecond
    this.filledAt = clock.now()
  }

  /** @returns whether a token was there; it is used up by this call */
  take (): boolean {
    if (this.perSecond === Infinity) return true
    const now = this.clock.now()
    const gained = (now - this.filledAt) * this.perSecond / MS_PER_SECOND
    this.tokens = Math.min(this.perSecond, this.tokens + gained)
    this.filledAt = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
