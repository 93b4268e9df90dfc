/** Error answers to callers: application/problem+json (RFC 9457) with step, peer and outcome. */
import type { Outcome } from '../state/outcome.js'

/** The media type of every error answer. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json'

/** What went wrong; the last part of the problem's type URI. */
export enum ProblemKind {
  /** The request itself is malformed. */
  BadRequest = 'bad-request',
  /** The configuration knows no such service. */
  UnknownService = 'unknown-service',
  /** A second request with the same Idempotency-Key; the first may have run. */
  DuplicateRequest = 'duplicate-request',
  /** A second request with the same Idempotency-Key while the first may still be running. */
  RequestRunning = 'request-running',
  /** A second request with the same Idempotency-Key; the first ran and was answered. */
  AlreadyRan = 'already-ran',
  /** The Idempotency-Key belongs to a request with another method or path. */
  KeyReused = 'key-reused',
  /** No slot, connection or queue place in time. */
  NoRoom = 'no-room',
  /** This daemon has no configuration yet, or is stopping. */
  NotReady = 'not-ready',
  /** A claim could not be made because the store is out of reach. */
  ClaimUnavailable = 'claim-unavailable',
  /** Every upstream that got the request refused it without running it. */
  UpstreamRefused = 'upstream-refused',
  /** No upstream could be reached, or its answer was lost. */
  UpstreamFailed = 'upstream-failed',
  /** The time left ran out. */
  DeadlinePassed = 'deadline-passed',
  /** A fault of the daemon. */
  Internal = 'internal'
}

interface ProblemDescription {
  readonly status: number
  readonly title: string
}

const DESCRIPTIONS: Readonly<Record<ProblemKind, ProblemDescription>> = {
  [ProblemKind.BadRequest]: { status: 400, title: 'The request is malformed' },
  [ProblemKind.UnknownService]: { status: 404, title: 'No such service' },
  [ProblemKind.DuplicateRequest]: { status: 409, title: 'A request with this key was claimed before' },
  [ProblemKind.RequestRunning]: { status: 409, title: 'The first request with this key has not ended' },
  [ProblemKind.AlreadyRan]: { status: 409, title: 'The request with this key has run' },
  [ProblemKind.KeyReused]: { status: 422, title: 'The key belongs to another request' },
  [ProblemKind.NoRoom]: { status: 503, title: 'No room for the request' },
  [ProblemKind.NotReady]: { status: 503, title: 'This entry VM is not ready' },
  [ProblemKind.ClaimUnavailable]: { status: 503, title: 'The request could not be claimed' },
  [ProblemKind.UpstreamRefused]: { status: 503, title: 'The upstream refused the request' },
  [ProblemKind.UpstreamFailed]: { status: 502, title: 'The upstream did not answer' },
  [ProblemKind.DeadlinePassed]: { status: 504, title: 'The time for the request ran out' },
  [ProblemKind.Internal]: { status: 500, title: 'Internal error' }
}

const TYPE_PREFIX = 'urn:umberspar:problem:'

/** What a caller that got an error may conclude; `done` only from `already-ran`. */
export type ProblemOutcome = Outcome

/** The JSON body of an error answer. */
export interface RequestProblem {
  /** A URI that names the kind of problem. */
  readonly type: string
  readonly title: string
  /** The HTTP status, as in the status line. */
  readonly status: number
  readonly detail: string
  /** The step that failed, for example `call-upstream`. */
  readonly step: string
  /** The other side of the step, or `local`. */
  readonly peer: string
  readonly outcome: ProblemOutcome
  readonly requestId: string
}

/** What an error answer is made from. */
export interface ProblemDetails {
  readonly kind: ProblemKind
  readonly detail: string
  readonly step: string
  readonly peer: string
  readonly outcome: ProblemOutcome
  readonly requestId: string
}

/**
 * @param details what failed, where, and what the caller may conclude
 * @returns the body of the error answer
 */
export function buildProblem (details: ProblemDetails): RequestProblem {
  const { kind, detail, step, peer, outcome, requestId } = details
  const { status, title } = DESCRIPTIONS[kind]
  return { type: `${TYPE_PREFIX}${kind}`, title, status, detail, step, peer, outcome, requestId }
}
