/**
 * The repeats that this entry VM may send for a service. All entry VMs share one
 * budget in a sliding window; each spends only what its own requests earn, so that
 * the sum holds without talk, whichever of them are cut off.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** The budget as operators set it. */
export interface RepeatBudget {
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
const SPENT_RATIO_PART = 0.7
/** The part of the slack that is shared out; the rest covers VMs that have just come or gone. */
const SPENT_SLACK_PART = 0.6

/** Counts one service's requests and repeats. */
export class RepeatWindow {
  private firstAt: Instant[] = []
  private repeatAt: Instant[] = []

  /**
   * @param budget the operators' budget
   * @param countNodes how many entry VMs share the slack, at the moment
   */
  constructor (private readonly budget: RepeatBudget, private readonly countNodes: () => number) {}

  /** @param now when a request came */
  recordFirst (now: Instant): void {
    this.firstAt.push(now)
    if (this.firstAt.length > 256 && this.firstAt[0]! < now - this.budget.windowMs) this.removeOld(now)
  }

  /**
   * Takes one repeat from the budget.
   * @param now the present
   * @returns whether it may be sent
   */
  take (now: Instant): boolean {
    if (this.countLeft(now) < 1) return false
    this.repeatAt.push(now)
    return true
  }

  /**
   * @param now the present
   * @returns the repeats that could be sent at once
   */
  countLeft (now: Instant): number {
    this.removeOld(now)
    const slack = this.budget.slack * SPENT_SLACK_PART / Math.max(1, this.countNodes())
    const allowed = this.firstAt.length * this.budget.ratio * SPENT_RATIO_PART + slack
    return Math.max(0, Math.floor(allowed - this.repeatAt.length))
  }

  private removeOld (now: Instant): void {
    const from = now - this.budget.windowMs
    this.firstAt = this.firstAt.filter((at) => at > from)
    this.repeatAt = this.repeatAt.filter((at) => at > from)
  }
}
