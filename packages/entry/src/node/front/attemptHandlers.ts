/** Says how a request continues after each outcome of an attempt. */
import { AttemptOutcome } from '../telemetry/requestOutcomes.js'
import type { AttemptResult } from './attempt.js'
import type { ProxiedRequest } from './proxiedRequest.js'

type AttemptResultHandler = (request: ProxiedRequest, result: AttemptResult) => void

/** How a request continues after each outcome of an attempt. */
export const ATTEMPT_HANDLERS: Readonly<Record<AttemptOutcome, AttemptResultHandler>> = {
  [AttemptOutcome.Answered]: (request, { response, status }) => {
    if (response === undefined) request.finishStream(status ?? 0)
    else request.deliver(response)
  },
  [AttemptOutcome.FailedByWorker]: (request, { response }) => { request.retryPossiblyRun(response) },
  [AttemptOutcome.RefusedByWorker]: (request) => { request.retryRefused() },
  [AttemptOutcome.AddressReused]: (request) => { request.retryRefused() },
  [AttemptOutcome.RefusedByRelay]: (request, { response }) => { request.deliverRefusal(response!) },
  [AttemptOutcome.RelayUnable]: (request) => { request.retryRelay() },
  [AttemptOutcome.NotSent]: (request) => { request.retryUnsent() },
  [AttemptOutcome.Withdrawn]: (request) => { request.retryUnsent() },
  [AttemptOutcome.ConnectionLost]: (request, { isStreaming, status }) => {
    if (isStreaming) request.cancelStream(status ?? 0)
    else request.retryPossiblyRun()
  },
  [AttemptOutcome.MalformedResponse]: (request, { isStreaming, status }) => {
    if (isStreaming) request.cancelStream(status ?? 0)
    else request.retryPossiblyRun()
  },
  [AttemptOutcome.Cancelled]: () => {}
}
