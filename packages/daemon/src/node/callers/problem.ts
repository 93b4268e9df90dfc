/** Writes problem documents (RFC 9457) to callers. */
import type { StepError } from '@umberspar/base/common/errors'
import { ErrorCode } from '@umberspar/base/common/errors'
import { AdmissionError } from '@umberspar/steering/common/limits/admissionError'
import { buildProblem, PROBLEM_MEDIA_TYPE, ProblemKind } from '@umberspar/steering/common/request/requestProblem'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import type { ServerResponse } from 'node:http'

const RETRY_AFTER_SECONDS = 1

const KIND_BY_CODE: Readonly<Record<ErrorCode, ProblemKind>> = {
  [ErrorCode.Invalid]: ProblemKind.BadRequest,
  [ErrorCode.NotFound]: ProblemKind.UnknownService,
  [ErrorCode.Conflict]: ProblemKind.DuplicateRequest,
  [ErrorCode.Exhausted]: ProblemKind.NoRoom,
  [ErrorCode.Unavailable]: ProblemKind.UpstreamFailed,
  [ErrorCode.EffectUnknown]: ProblemKind.UpstreamFailed,
  [ErrorCode.DeadlinePassed]: ProblemKind.DeadlinePassed,
  [ErrorCode.Cancelled]: ProblemKind.UpstreamFailed,
  [ErrorCode.Refused]: ProblemKind.UpstreamRefused,
  [ErrorCode.Internal]: ProblemKind.Internal
}

/** Codes after which the same request may find room or a healthy upstream. */
const RETRY_LATER: ReadonlySet<ErrorCode> = new Set([ErrorCode.Exhausted, ErrorCode.Unavailable, ErrorCode.Refused, ErrorCode.DeadlinePassed])

/** What an error answer may carry beside the error. */
export interface ProblemExtras {
  /** Instead of the kind that the error's code stands for. */
  readonly kind?: ProblemKind
  /** When the caller may come back. */
  readonly retryAfterSeconds?: number
  /** Members of the problem document beside the standard ones. */
  readonly members?: Readonly<Record<string, unknown>>
}

function getKind (error: StepError, outcome: Outcome): ProblemKind {
  const isLost = outcome === Outcome.Unknown && error.code !== ErrorCode.DeadlinePassed
  return isLost ? ProblemKind.UpstreamFailed : KIND_BY_CODE[error.code]
}

/** A caller that may not repeat its request is not told when to. */
function findRetryAfter (error: StepError, outcome: Outcome, extras: ProblemExtras): number | undefined {
  if (extras.kind !== undefined) return extras.retryAfterSeconds
  const mayComeBack = outcome === Outcome.NotRun && RETRY_LATER.has(error.code)
  if (!mayComeBack) return undefined
  const estimated = error instanceof AdmissionError ? error.retryAfterSeconds : RETRY_AFTER_SECONDS
  return extras.retryAfterSeconds ?? estimated
}

/**
 * Ends a response with a problem document. Nothing is written once headers have
 * left: the connection is destroyed instead, so that a broken answer can never
 * be taken for a whole one.
 * @param response the caller's response
 * @param error what failed, with step and peer
 * @param outcome whether the request may have run
 * @param requestId the request's id
 * @param extras another kind, the time to come back, further members
 */
export function answerProblem (response: ServerResponse, error: StepError, outcome: Outcome, requestId: string, extras: ProblemExtras = {}): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const kind = extras.kind ?? getKind(error, outcome)
  const problem = buildProblem({ kind, detail: error.message, step: error.step, peer: error.peer, outcome, requestId })
  const body = JSON.stringify({ ...problem, ...extras.members })
  const retryAfter = findRetryAfter(error, outcome, extras)
  response.statusCode = problem.status
  response.setHeader('Content-Type', PROBLEM_MEDIA_TYPE)
  response.setHeader('Content-Length', Buffer.byteLength(body))
  if (retryAfter !== undefined) response.setHeader('Retry-After', retryAfter)
  response.end(body)
}
