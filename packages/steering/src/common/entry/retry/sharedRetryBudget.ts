/**
 * Limits the retries that this entry VM may send for a service.
 *
 * All entry VMs share one budget in a sliding window. Each spends only what its own requests
 * earn, so the sum holds without coordination, whichever VMs are cut off. A process that has just
 * started knows neither what its predecessor has spent in the present window nor all other VMs, so
 * it spends only the part of the ratio that processes which run for longer leave unused.
 *
 * A part is reserved for callers that are lost if they are refused, such as those that were refused
 * before. Otherwise, when workers reject many requests, first arrivals spend all of it, and those
 * that come back find nothing left.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { RetryClaim } from './retryClaim.js'
import { ReturnRatio } from './returnRatio.js'

/** The configured retry budget. */
export interface RetryBudgetSettings {
  /** Retries per request. */
  readonly ratio: number
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number
  /** Retries beyond the ratio that all entry VMs together may send in a window. */
  readonly slack: number
}

/**
 * Fraction of the ratio that is spent. A request that reaches two services, by a traffic split
 * or a change of the configuration, earns retries at one of them only.
 */
const SPENDABLE_RATIO_FRACTION = 0.7
/** The same during the first window of a process: what its predecessor can't have spent. */
const FIRST_WINDOW_RATIO_FRACTION = 1 - SPENDABLE_RATIO_FRACTION
/** Fraction of the slack that is divided among the VMs; the rest covers VMs that have just joined, left or been cut off. */
const SPENDABLE_SLACK_FRACTION = 0.6
/** Fraction of the allowance that is reserved if all refused callers come back; less is if fewer do. */
const RESERVED_RATIO = 0.5
/** Retries reserved for each one that callers with a claim to the whole budget asked for in the window. */
const RESERVED_PER_RECENT_CLAIM = 1.5
/** Up to this many recorded requests, expired ones are not removed at each new request, to save time. */
const MAX_UNPRUNED_REQUESTS = 256

/** What a service's budget consists of at one instant. */
export interface RetryBudgetState {
  /** Retries that could be sent now. */
  readonly left: number
  /** Retries among these that are reserved for callers that are lost if they are refused. */
  readonly reserved: number
  /** Requests of this VM in the window. */
  readonly requests: number
  /** Retries of this VM in the window. */
  readonly retries: number
  /** VMs among which the slack is divided. */
  readonly slackSharers: number
}

/** @returns the times after the start of a window; the given ones are in order, as the clock is monotonic */
function listUnexpired (times: Instant[], windowStart: Instant): Instant[] {
  let expired = 0
  while (expired < times.length && times[expired]! <= windowStart) expired++
  return expired === 0 ? times : times.slice(expired)
}

/** Counts one service's requests and retries. */
export class SharedRetryBudget {
  private requestTimes: Instant[] = []
  private retryTimes: Instant[] = []
  /** The retries of callers with a claim to the whole budget. */
  private claimedRetryTimes: Instant[] = []
  /** When such callers asked for a retry. */
  private claimTimes: Instant[] = []
  private readonly returnRatio = new ReturnRatio()
  private readonly firstWindowEnd: Deadline

  /**
   * @param settings the configured budget
   * @param countSharers returns the number of entry VMs that share the slack: all that may have spent a part of it in the window
   * @param startedAt when this process started
   */
  constructor (private readonly settings: RetryBudgetSettings, private readonly countSharers: (now: Instant) => number, startedAt: Instant) {
    this.firstWindowEnd = createDeadline(startedAt, settings.windowMs)
  }

  /** @param now when a request arrived */
  recordFirstAttempt (now: Instant): void {
    this.requestTimes.push(now)
    if (this.requestTimes.length > MAX_UNPRUNED_REQUESTS && this.requestTimes[0]! < now - this.settings.windowMs) this.removeExpired(now)
  }

  /**
   * Takes one retry from the budget.
   * @param now the current time
   * @param claim the part of the budget that the request may draw on
   * @returns whether the retry may be sent
   */
  take (now: Instant, claim = RetryClaim.Whole): boolean {
    const isWhole = claim === RetryClaim.Whole
    const left = this.countLeft(now)
    const reserved = isWhole ? 0 : this.countReserved(now)
    if (isWhole) this.claimTimes.push(now)
    if (left - reserved < 1) return false
    this.retryTimes.push(now)
    if (isWhole) this.claimedRetryTimes.push(now)
    return true
  }

  /** A caller was refused that could come back. */
  recordRefusal (): void {
    this.returnRatio.recordRefusal()
  }

  /** A caller that was refused before has come back. */
  recordReturn (): void {
    this.returnRatio.recordReturn()
  }

  /**
   * @param now the current time
   * @returns the number of retries that could be sent now
   */
  countLeft (now: Instant): number {
    this.removeExpired(now)
    return Math.max(0, Math.floor(this.computeAllowance(now) - this.retryTimes.length))
  }

  /**
   * @param now the current time
   * @returns what the budget consists of, for metrics
   */
  read (now: Instant): RetryBudgetState {
    const left = this.countLeft(now)
    return { left, reserved: Math.min(left, this.countReserved(now)), requests: this.requestTimes.length, retries: this.retryTimes.length, slackSharers: this.countSharers(now) }
  }

  /** @returns the number of retries that only callers with a claim to the whole budget may send now */
  private countReserved (now: Instant): number {
    const allowance = this.computeAllowance(now)
    const expected = RESERVED_RATIO * this.returnRatio.value * allowance
    const reserved = Math.min(allowance, Math.max(expected, RESERVED_PER_RECENT_CLAIM * this.claimTimes.length))
    return Math.max(0, reserved - this.claimedRetryTimes.length)
  }

  private computeAllowance (now: Instant): number {
    const { ratio, slack } = this.settings
    const earned = this.requestTimes.length * ratio
    if (!hasPassed(this.firstWindowEnd, now)) return earned * FIRST_WINDOW_RATIO_FRACTION
    return earned * SPENDABLE_RATIO_FRACTION + slack * SPENDABLE_SLACK_FRACTION / Math.max(1, this.countSharers(now))
  }

  private removeExpired (now: Instant): void {
    const windowStart = now - this.settings.windowMs
    this.requestTimes = listUnexpired(this.requestTimes, windowStart)
    this.retryTimes = listUnexpired(this.retryTimes, windowStart)
    this.claimedRetryTimes = listUnexpired(this.claimedRetryTimes, windowStart)
    this.claimTimes = listUnexpired(this.claimTimes, windowStart)
  }
}
