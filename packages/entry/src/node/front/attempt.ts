/** One attempt to have a request run, at a worker or by way of another entry VM. */
import type { Instant } from '@umberspar/base/common/clock'
import { AttemptOutcome } from '../telemetry/requestOutcomes.js'
import type { ResponseHead } from '../upstream/responseParser.js'
import { ExchangeFailure } from '../upstream/upstreamConnection.js'
import type { BufferedResponse } from './responseCollector.js'

/** How an attempt ends whose exchange failed. */
export const OUTCOME_BY_FAILURE: Readonly<Record<ExchangeFailure, AttemptOutcome>> = {
  [ExchangeFailure.Broken]: AttemptOutcome.ConnectionLost,
  [ExchangeFailure.InvalidResponse]: AttemptOutcome.MalformedResponse,
  [ExchangeFailure.Cancelled]: AttemptOutcome.Cancelled
}

/** The result of an attempt. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome
  /** The response, unless it was streamed. */
  readonly response?: BufferedResponse | undefined
  readonly status?: number | undefined
  /** Whether part of the response was already streamed. */
  readonly isStreaming?: boolean
}

/** Controls an attempt and receives its response. */
export interface AttemptListener {
  /** Called when the connection is open. @returns whether the request may still be sent at this instant */
  mayStillSend(now: Instant): boolean
  /** Called when the request is sent; from then on it may run. */
  onSent(): void
  onStreamStart(head: ResponseHead): boolean
  onStreamData(chunk: Buffer): void
  /** Called once, when the attempt has ended. */
  onEnd(result: AttemptResult): void
}

/** An attempt. */
export interface IAttempt {
  /** Whether the request has been sent, so that it may run. */
  readonly isSent: boolean
  /** Whether part of the response was already passed on. */
  readonly isStreaming: boolean
  /** Starts the attempt. */
  start(): void
  /** Cancels the attempt; the worker notices it by the closed connection. */
  cancel(): void
  /** Pauses reading of a streamed response. */
  pause(): void
  /** Resumes reading of a streamed response. */
  resume(): void
}
