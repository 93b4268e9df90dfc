/**
 * The repeats that this entry VM may send for a service. All entry VMs share one
 * budget in a sliding window; each spends only what its own requests earn, so that
 * the sum holds without talk, whichever of them are cut off.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** The budget as operators set it. */
export interface RetryBudgetSettings {
  /** Repeats for each request. */
  readonly ratio: number
  /** The window, in milliseconds. */
  readonly windowMs: number
  /** Repeats beyond the ratio that all entry VMs together may send in a window. */
  readonly slack: number
}

/**
 * The part of the ratio that is spent. Requests that reach two services, by a
 * split or by a change of the configuration, count at one of them only.
 */
const SPENDABLE_RATIO_FRACTION = 0.7
/** The part of the slack that is shared out; the rest covers VMs that have just come or gone. */
const SPENDABLE_SLACK_FRACTION = 0.6

/** Counts one service's requests and repeats. */
export class RetryBudget {
  private requestTimes: Instant[] = []
  private retryTimes: Instant[] = []

  /**
   * @param settings the operators' budget
   * @param countNodes how many entry VMs share the slack, at the moment
   */
  constructor (private readonly settings: RetryBudgetSettings, private readonly countNodes: () => number) {}

  /** @param now when a request came */
  recordFirst (now: Instant): void {
    this.requestTimes.push(now)
    if (this.requestTimes.length > 256 && this.requestTimes[0]! < now - this.settings.windowMs) this.removeExpired(now)
  }

  /**
   * Takes one repeat from the budget.
   * @param now the present
   * @returns whether it may be sent
   */
  take (now: Instant): boolean {
    if (this.countLeft(now) < 1) return false
    this.retryTimes.push(now)
    return true
  }

  /**
   * @param now the present
   * @returns the repeats that could be sent at once
   */
  countLeft (now: Instant): number {
    this.removeExpired(now)
    const slack = this.settings.slack * SPENDABLE_SLACK_FRACTION / Math.max(1, this.countNodes())
    const allowed = this.requestTimes.length * this.settings.ratio * SPENDABLE_RATIO_FRACTION + slack
    return Math.max(0, Math.floor(allowed - this.retryTimes.length))
  }

  private removeExpired (now: Instant): void {
    const windowStart = now - this.settings.windowMs
    this.requestTimes = this.requestTimes.filter((at) => at > windowStart)
    this.retryTimes = this.retryTimes.filter((at) => at > windowStart)
  }
}
