/** Decides whether a caller may retry after an attempt, by the result of the attempt. */
import { AnswerKind } from '../history/historyEvent.js'

/** What a caller does after an attempt. */
export enum NextStep {
  /** The operation has ended. */
  Stop = 'stop',
  /** Send the request again, after the delay that the answer asks for. */
  Retry = 'send-again'
}

/** What makes it safe to retry a request. */
export enum RetrySafety {
  /** The request is idempotent. */
  Idempotent = 'idempotent',
  /** The service runs requests with the same Idempotency-Key only once. */
  Keyed = 'keyed',
  /** A retry is safe only if the request did not run. */
  None = 'none'
}

type RetryRule = Readonly<Record<RetrySafety, NextStep>>

const NEVER_RETRY: RetryRule = { [RetrySafety.Idempotent]: NextStep.Stop, [RetrySafety.Keyed]: NextStep.Stop, [RetrySafety.None]: NextStep.Stop }
const ALWAYS_RETRY: RetryRule = { [RetrySafety.Idempotent]: NextStep.Retry, [RetrySafety.Keyed]: NextStep.Retry, [RetrySafety.None]: NextStep.Retry }
const RETRY_IF_IDEMPOTENT: RetryRule = { ...NEVER_RETRY, [RetrySafety.Idempotent]: NextStep.Retry }
const RETRY_IF_SAFE: RetryRule = { ...ALWAYS_RETRY, [RetrySafety.None]: NextStep.Stop }

/**
 * A non-idempotent request is retried only if it certainly did not run, or with
 * its Idempotency-Key to find out the outcome of an attempt whose answer was lost.
 * Truncated and mismatched answers end the operation, as a retry would hide them.
 */
const RETRY_RULE_BY_ANSWER: Readonly<Record<AnswerKind, RetryRule>> = {
  [AnswerKind.Complete]: NEVER_RETRY,
  [AnswerKind.NotRun]: ALWAYS_RETRY,
  [AnswerKind.NotSent]: ALWAYS_RETRY,
  [AnswerKind.Unknown]: RETRY_IF_IDEMPOTENT,
  [AnswerKind.Failed]: RETRY_IF_SAFE,
  [AnswerKind.AlreadyRan]: NEVER_RETRY,
  [AnswerKind.Truncated]: NEVER_RETRY,
  [AnswerKind.Mismatched]: NEVER_RETRY
}

/**
 * @param answer the result of the attempt
 * @param safety what makes a retry safe
 * @param hasRetryAfter whether the answer has a Retry-After header
 * @returns whether the caller may retry
 */
export function decideNextStep (answer: AnswerKind, safety: RetrySafety, hasRetryAfter: boolean): NextStep {
  // For a request with a key, `unknown` with a Retry-After means that the first attempt
  // is still running; without a Retry-After, the outcome will never be known.
  if (answer === AnswerKind.Unknown && hasRetryAfter) return RETRY_IF_SAFE[safety]
  return RETRY_RULE_BY_ANSWER[answer][safety]
}

/**
 * @param isIdempotent whether the request may run twice
 * @param idempotencyKey its Idempotency-Key; sent only to services that deduplicate requests
 * @returns what makes a retry safe
 */
export function findRetrySafety (isIdempotent: boolean, idempotencyKey: string | undefined): RetrySafety {
  if (isIdempotent) return RetrySafety.Idempotent
  return idempotencyKey === undefined ? RetrySafety.None : RetrySafety.Keyed
}
