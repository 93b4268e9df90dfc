/** The guarantees that a soak run checks, and their violations. */
import type { Instant } from '@umberspar/base/common/clock'

/** A guarantee that the history checker doesn't cover; each member names its violation. */
export enum SoakRule {
  /** A worker ran a request that no caller sent, or that differs from what was sent. */
  UnexpectedRun = 'unasked',
  /** An attempt ran on more workers than its route allows. */
  TooManyRuns = 'too-many-runs',
  /** A cold worker received more requests in a second than it tolerates. */
  ColdLimitExceeded = 'cold-overrun',
  /** A worker received more requests than its rate limit tolerates, from VMs that had been told of it. */
  RateLimitExceeded = 'rate-limit-exceeded',
  /** A worker received requests from an entry VM that had passed on the announcement of its drain. */
  WorkAfterAnnouncedDrain = 'work-after-announced-drain',
  /** A worker received requests from an entry VM that it had asked for a pause. */
  PauseIgnored = 'pause-ignored',
  /** A service got more retries in a window than the budget of all entry VMs allows. */
  RetryBudgetExceeded = 'retry-budget-exceeded',
  /** An entry process exited unexpectedly. */
  EntryExited = 'entry-ended',
  /** A request ran although its API key had been revoked longer ago than the limit. */
  RevokedKeyAccepted = 'revoked',
  /** A permitted request was denied. */
  Denied = 'denied',
  /** While a service lacked room, an account beside a greedy one was served far less often than all. */
  AccountStarved = 'account-starved',
  /** While a service lacked room, a more urgent kind was served less often than a less urgent one. */
  PriorityIgnored = 'priority-ignored',
  /** After the end of all faults, some entry VM did not use the newest configuration. */
  NotConverged = 'not-converged',
  /** After the end of all faults, requests still failed. */
  NotRecovered = 'not-recovered'
}

/** A violation of a guarantee. */
export interface SoakViolation {
  /** A `SoakRule` or a `ViolationKind` of the history checker. */
  readonly rule: string
  readonly at: Instant
  readonly subject: string
  readonly detail: string
}
