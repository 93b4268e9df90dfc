/** The result of a request: an upstream's response, or a failure. */
import type { StepError } from '@umberspar/base/common/errors'
import type { AttemptResponse } from '@umberspar/adapters/node/upstream/upstreamTransport'
import type { Outcome } from '@umberspar/steering/common/state/outcome'

/** How the body of an upstream's response ended. */
export enum ResponseEnd {
  Complete = 'whole',
  /** The upstream aborted it, or the deadline passed. */
  Broken = 'broken',
  /** The caller disconnected before it was complete. */
  CallerDisconnected = 'caller-left'
}

/** An upstream's response whose body is still to be read. Its slot is held until the body has ended. */
export interface PendingResponse {
  readonly response: AttemptResponse
  readonly workerId: string
  /** Must be called once, when the body has ended or was abandoned. */
  finish(end: ResponseEnd): void
}

/** Why a request has no response. */
export interface RequestFailure {
  readonly outcome: Outcome.NotRun | Outcome.Unknown
  readonly error: StepError
  /** When the caller may retry; reported only if the request was not run. */
  readonly retryAfterSeconds: number
}
