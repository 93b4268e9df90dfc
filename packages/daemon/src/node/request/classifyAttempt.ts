/** Classifies what the transport reports about an attempt, by the outcome table. */
import { ErrorCode } from '@umberspar/base/common/errors'
import type { Instant } from '@umberspar/base/common/clock'
import type { AttemptError } from '@umberspar/adapters/node/upstream/upstreamTransport'
import type { RefusalConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { ResponseState, classifyExchange, SentState } from '@umberspar/steering/common/request/outcomeTable'
import type { Outcome } from '@umberspar/steering/common/state/outcome'

/** Response header with which a worker announces that it is draining. */
export const DRAINING_HEADER = 'umberspar-draining'

/** Failures that say nothing about the worker's health: our own limits, a disconnected caller, a malformed request. */
const CODES_WITHOUT_WORKER_FAULT: ReadonlySet<ErrorCode> = new Set([ErrorCode.Exhausted, ErrorCode.Cancelled, ErrorCode.Invalid, ErrorCode.NotFound])

/**
 * @param status the response's status
 * @param headers the response's headers, with names in lower case
 * @param refusal how the service's upstreams mark a refusal
 * @returns whether the upstream declares that it did not run the request
 */
export function isRefusal (status: number, headers: Readonly<Record<string, string | string[]>>, refusal: RefusalConfiguration): boolean {
  return status === refusal.status && headers[refusal.header.toLowerCase()] === refusal.value
}

function getAnswerState (error: AttemptError): ResponseState {
  if (error.code === ErrorCode.Cancelled) return ResponseState.Cancelled
  if (error.isDeadlinePassed) return ResponseState.DeadlinePassed
  return error.hasHeaders ? ResponseState.Incomplete : ResponseState.None
}

/**
 * @param error how an attempt failed, before or after its response headers arrived
 * @returns whether the request may have run
 */
export function classifyAttemptError (error: AttemptError): Outcome {
  const sent = error.mayHaveBeenSent ? SentState.MaybeSent : SentState.Nothing
  return classifyExchange(sent, getAnswerState(error))
}

/** Timing that decides whether a late response counts against a worker. */
export interface AttemptTiming {
  readonly sentAt: Instant
  readonly now: Instant
  /** The response time that the service's objective grants the worker, in milliseconds. */
  readonly expectedLatency: number
}

/**
 * A passed deadline counts against the worker only if the worker had the time that
 * the objective grants; otherwise callers with short deadlines would get workers ejected.
 * @param error how an attempt failed
 * @param timing when it was sent, and the response time granted
 * @returns whether the failure counts against the worker
 */
export function isWorkerFault (error: AttemptError, timing: AttemptTiming): boolean {
  if (CODES_WITHOUT_WORKER_FAULT.has(error.code)) return false
  return !error.isDeadlinePassed || timing.now - timing.sentAt >= timing.expectedLatency
}

/** Error codes of a connection that the worker closed. */
const CONNECTION_CLOSED_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

/**
 * A worker that closed the connection itself no longer runs the request. If this
 * side ended the attempt, the worker continues until it notices, and a new request
 * on the slot would exceed the worker's concurrency limit.
 * @param error how an attempt failed
 * @returns whether the worker may still be running the request
 */
export function mayStillRun (error: AttemptError): boolean {
  if (!error.mayHaveBeenSent) return false
  if (error.isDeadlinePassed || error.code === ErrorCode.Cancelled) return true
  const code = (error.cause as { readonly code?: string } | undefined)?.code ?? ''
  return !CONNECTION_CLOSED_CODES.has(code)
}
