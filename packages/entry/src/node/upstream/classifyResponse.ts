/** Says what a worker's response means for the attempt that it responds to. */
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import { AttemptOutcome } from '../telemetry/requestOutcomes.js'
import { getHeader } from './rawHeaders.js'
import type { ResponseHead } from './responseParser.js'

/** From this status on, a response means that the worker failed the request. */
const MIN_FAILURE_STATUS = 500
const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300

/**
 * @param protocol how workers mark their responses
 * @param head the head of the response
 * @returns the outcome of the attempt if the response is complete
 */
export function classifyResponse ({ headers, misdirectedRequestStatus }: ICallerProtocol, head: ResponseHead): AttemptOutcome {
  if (head.status === misdirectedRequestStatus) return AttemptOutcome.AddressReused
  if (getHeader(head.rawHeaders, headers.notRun) !== undefined) return AttemptOutcome.RefusedByWorker
  const isSuccess = head.status >= MIN_SUCCESS_STATUS && head.status < MIN_REDIRECT_STATUS
  // Successful responses of workers carry a seal; without one the response comes from elsewhere.
  if (isSuccess && getHeader(head.rawHeaders, headers.seal) === undefined) return AttemptOutcome.MalformedResponse
  return head.status >= MIN_FAILURE_STATUS ? AttemptOutcome.FailedByWorker : AttemptOutcome.Answered
}
