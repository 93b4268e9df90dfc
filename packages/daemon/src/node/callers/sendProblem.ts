/** Sends problem documents (RFC 9457) to callers. */
import type { StepError } from '@umberspar/base/common/errors'
import { ErrorCode } from '@umberspar/base/common/errors'
import { AdmissionError } from '@umberspar/steering/common/limits/admissionError'
import { buildProblem, PROBLEM_MEDIA_TYPE, ProblemKind } from '@umberspar/steering/common/request/requestProblem'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import type { ServerResponse } from 'node:http'

const DEFAULT_RETRY_AFTER_SECONDS = 1

const KIND_BY_CODE: Readonly<Record<ErrorCode, ProblemKind>> = {
  [ErrorCode.Invalid]: ProblemKind.BadRequest,
  [ErrorCode.NotFound]: ProblemKind.UnknownService,
  [ErrorCode.Conflict]: ProblemKind.DuplicateRequest,
  [ErrorCode.Exhausted]: ProblemKind.NoCapacity,
  [ErrorCode.Unavailable]: ProblemKind.UpstreamFailed,
  [ErrorCode.EffectUnknown]: ProblemKind.UpstreamFailed,
  [ErrorCode.DeadlinePassed]: ProblemKind.DeadlinePassed,
  [ErrorCode.Cancelled]: ProblemKind.UpstreamFailed,
  [ErrorCode.Refused]: ProblemKind.UpstreamRefused,
  [ErrorCode.Internal]: ProblemKind.Internal
}

/** Errors that may be resolved when the caller retries, because capacity or a healthy upstream is available again. */
const RETRYABLE_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.Exhausted, ErrorCode.Unavailable, ErrorCode.Refused, ErrorCode.DeadlinePassed])

/** Optional details of a problem response. */
export interface ProblemExtras {
  /** Overrides the kind that is derived from the error's code. */
  readonly kind?: ProblemKind
  /** When the caller may retry. */
  readonly retryAfterSeconds?: number
  /** Extension members of the problem document. */
  readonly members?: Readonly<Record<string, unknown>>
}

function getKind (error: StepError, outcome: Outcome): ProblemKind {
  const isOutcomeUnknown = outcome === Outcome.Unknown && error.code !== ErrorCode.DeadlinePassed
  return isOutcomeUnknown ? ProblemKind.UpstreamFailed : KIND_BY_CODE[error.code]
}

/** Returns undefined for requests that must not be retried. */
function getRetryAfterSeconds (error: StepError, outcome: Outcome, extras: ProblemExtras): number | undefined {
  if (extras.kind !== undefined) return extras.retryAfterSeconds
  const canRetry = outcome === Outcome.NotRun && RETRYABLE_CODES.has(error.code)
  if (!canRetry) return undefined
  const estimated = error instanceof AdmissionError ? error.retryAfterSeconds : DEFAULT_RETRY_AFTER_SECONDS
  return extras.retryAfterSeconds ?? estimated
}

/**
 * Ends a response with a problem document. If the headers were already sent, the
 * connection is destroyed instead, so that an incomplete response can't be mistaken
 * for a complete one.
 * @param response the caller's response
 * @param error the error, with step and peer
 * @param outcome whether the request may have run
 * @param requestId the request's id
 * @param extras overrides the kind and the retry delay, and adds members
 */
export function sendProblem (response: ServerResponse, error: StepError, outcome: Outcome, requestId: string, extras: ProblemExtras = {}): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const kind = extras.kind ?? getKind(error, outcome)
  const problem = buildProblem({ kind, detail: error.message, step: error.step, peer: error.peer, outcome, requestId })
  const body = JSON.stringify({ ...problem, ...extras.members })
  const retryAfter = getRetryAfterSeconds(error, outcome, extras)
  response.statusCode = problem.status
  response.setHeader('Content-Type', PROBLEM_MEDIA_TYPE)
  response.setHeader('Content-Length', Buffer.byteLength(body))
  if (retryAfter !== undefined) response.setHeader('Retry-After', retryAfter)
  response.end(body)
}
