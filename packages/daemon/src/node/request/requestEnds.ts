/** How a request can end: with an upstream's answer, or without one. */
import type { StepError } from '@umberspar/base/common/errors'
import type { AttemptResponse } from '@umberspar/adapters/node/upstream/upstreamTransport'
import type { Outcome } from '@umberspar/steering/common/state/outcome'

/** How the body of an upstream's answer ended. */
export enum AnswerEnd {
  Whole = 'whole',
  /** It broke off on the upstream's side, or the deadline passed. */
  Broken = 'broken',
  /** The caller left before it was whole. */
  CallerLeft = 'caller-left'
}

/** An upstream's answer whose body is still to be read; the slot is held until then. */
export interface RunningAnswer {
  readonly response: AttemptResponse
  readonly workerId: string
  /** Called once, when the body has ended or was given up. */
  finish(end: AnswerEnd): void
}

/** Why a request has no answer. */
export interface RequestFailure {
  readonly outcome: Outcome.NotRun | Outcome.Unknown
  readonly error: StepError
  /** When the caller may come back; told only of a request that was not run. */
  readonly retryAfterSeconds: number
}
