/** Says where a response comes from, and what it means for the attempt that it responds to. */
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import { AttemptOutcome } from '../telemetry/requestOutcomes.js'
import { getHeader } from './rawHeaders.js'
import type { ResponseHead } from './responseParser.js'

/** From this status on, a response means that the worker failed the request. */
const MIN_FAILURE_STATUS = 500
const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300

/**
 * Another worker that uses the address now, or bytes from elsewhere, say nothing about this worker.
 * @param protocol how workers mark their responses
 * @param head the head of the response
 * @returns whether the response comes from the worker that the request was sent to
 */
export function isFromWorker ({ headers, misdirectedRequestStatus }: ICallerProtocol, { status, rawHeaders }: ResponseHead): boolean {
  if (status === misdirectedRequestStatus) return false
  const isSuccess = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS
  // Successful responses of workers carry a seal.
  return !isSuccess || getHeader(rawHeaders, headers.seal) !== undefined
}

/**
 * @param protocol how workers mark their responses
 * @param head the head of the response
 * @returns the outcome of the attempt if the response is complete
 */
export function classifyResponse (protocol: ICallerProtocol, head: ResponseHead): AttemptOutcome {
  if (head.status === protocol.misdirectedRequestStatus) return AttemptOutcome.AddressReused
  if (getHeader(head.rawHeaders, protocol.headers.notRun) !== undefined) return AttemptOutcome.RefusedByWorker
  if (!isFromWorker(protocol, head)) return AttemptOutcome.MalformedResponse
  return head.status >= MIN_FAILURE_STATUS ? AttemptOutcome.FailedByWorker : AttemptOutcome.Answered
}
