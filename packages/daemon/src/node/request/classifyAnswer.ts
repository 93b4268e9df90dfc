/** Maps what the transport reports to the rows and columns of the outcome table. */
import { ErrorCode } from '@umberspar/base/common/errors'
import type { Instant } from '@umberspar/base/common/clock'
import type { AttemptError } from '@umberspar/adapters/node/upstream/upstreamTransport'
import type { RefusalConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { AnswerState, classifyExchange, SentState } from '@umberspar/steering/common/request/outcomeTable'
import type { Outcome } from '@umberspar/steering/common/state/outcome'

/** Header by which a worker says that it drains. */
export const DRAINING_HEADER = 'umberspar-draining'

/** Failures that say nothing of the worker's health: our own limits, the caller's leaving, a malformed request. */
const NOT_THE_WORKERS_FAULT: ReadonlySet<ErrorCode> = new Set([ErrorCode.Exhausted, ErrorCode.Cancelled, ErrorCode.Invalid, ErrorCode.NotFound])

/**
 * @param status the answer's status
 * @param headers the answer's headers, names in lower case
 * @param refusal the refusal configured for the service
 * @returns whether the upstream says that it did not run the request
 */
export function isRefusal (status: number, headers: Readonly<Record<string, string | string[]>>, refusal: RefusalConfiguration): boolean {
  return status === refusal.status && headers[refusal.header.toLowerCase()] === refusal.value
}

function findAnswerState (error: AttemptError): AnswerState {
  if (error.code === ErrorCode.Cancelled) return AnswerState.Abandoned
  if (error.isLate) return AnswerState.Late
  return error.hasHeaders ? AnswerState.Broken : AnswerState.Nothing
}

/**
 * @param error how an attempt failed, before or after the head of its answer
 * @returns what the attempt says of the request
 */
export function classifyAttemptError (error: AttemptError): Outcome {
  const sent = error.mayHaveSent ? SentState.MayHaveLeft : SentState.Nothing
  return classifyExchange(sent, findAnswerState(error))
}

/** What decides whether a failure counts against a worker. */
export interface BlameView {
  readonly sentAt: Instant
  readonly now: Instant
  /** What the worker may be expected to answer within, in milliseconds. */
  readonly expectedSpan: number
}

/**
 * A caller that allows too little time must not get workers ejected: a deadline
 * counts against the worker only if it had the time that the objective grants.
 * @param error how an attempt failed
 * @param view when it was sent and how long it was given
 * @returns whether the failure counts against the worker
 */
export function isWorkersFault (error: AttemptError, view: BlameView): boolean {
  if (NOT_THE_WORKERS_FAULT.has(error.code)) return false
  return !error.isLate || view.now - view.sentAt >= view.expectedSpan
}

/** Failures of a connection that its worker has closed. */
const CLOSED_BY_WORKER: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

/**
 * A worker that closed the connection itself has nothing left to hear. If we
 * ended the attempt, it runs on until word of it has arrived, and a new request
 * on the slot would be one more than the worker's limit.
 * @param error how an attempt failed
 * @returns whether the worker may still run the request for a while
 */
export function mayStillRun (error: AttemptError): boolean {
  if (!error.mayHaveSent) return false
  if (error.isLate || error.code === ErrorCode.Cancelled) return true
  const code = (error.cause as { readonly code?: string } | undefined)?.code ?? ''
  return !CLOSED_BY_WORKER.has(code)
}
