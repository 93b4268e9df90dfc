/** The promises that a soak run checks, and what it found. */
import type { Instant } from '@umberspar/base/common/clock'

/** A promise beyond those that the history checker knows. */
export enum SoakRule {
  /** A worker ran a request that nobody sent, or sent otherwise. */
  Unasked = 'unasked',
  /** One attempt ran on more workers than its route allows. */
  TooManyRuns = 'too-many-runs',
  /** A cold worker got more requests in a second than it tolerates. */
  ColdOverrun = 'cold-overrun',
  /** An entry process ended by itself. */
  EntryEnded = 'entry-ended',
  /** A request ran whose key had been taken away longer ago than the operators allow. */
  Revoked = 'revoked',
  /** A proper request got an answer that says it is not allowed. */
  Denied = 'denied',
  /** After all faults had ended, the newest configuration was not in force everywhere. */
  NotConverged = 'not-converged',
  /** After all faults had ended, requests still failed. */
  NotRecovered = 'not-recovered'
}

/** One broken promise. */
export interface SoakViolation {
  /** A `SoakRule` or a `ViolationKind` of the history checker. */
  readonly rule: string
  readonly at: Instant
  readonly subject: string
  readonly detail: string
}
