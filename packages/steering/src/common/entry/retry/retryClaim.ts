/**
 * Which part of the retry budget a request may draw on. A first arrival whose workers have all
 * rejected it can be refused and come back; a caller that has come back once is lost if it is
 * refused again.
 */
import { CallerVisit } from '../admission/callerTimes.js'
import { MAX_RETRY_DELAY_RATIO } from './retryDelay.js'

/** The part of a retry budget that a request may draw on. */
export enum RetryClaim {
  /** All of it: the caller can't come back, or whether it has done so can't be told. */
  Whole = 'whole',
  /** What isn't reserved for callers that can't come back. */
  Unreserved = 'unreserved'
}

/** What decides on the claim of a request. */
export interface RetryClaimRequest {
  /** Undefined if it can't be told. */
  readonly visit: CallerVisit | undefined
  /** Whether an attempt may have executed the request, so that it can't be refused. */
  readonly mayHaveRun: boolean
  /** Time that the caller has left, in milliseconds. */
  readonly timeLeftMs: number
  /** Expected time until the answer to an attempt arrives, in milliseconds. */
  readonly expectedMs: number
}

/** @returns the part of the retry budget that the request may draw on */
export function chooseRetryClaim ({ visit, mayHaveRun, timeLeftMs, expectedMs }: RetryClaimRequest): RetryClaim {
  const canComeBack = timeLeftMs * (1 - MAX_RETRY_DELAY_RATIO) > expectedMs
  return visit === CallerVisit.First && !mayHaveRun && canComeBack ? RetryClaim.Unreserved : RetryClaim.Whole
}
