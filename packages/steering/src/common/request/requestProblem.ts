/** Error responses to callers: application/problem+json (RFC 9457) with the failed step, the peer and the outcome. */
import type { Outcome } from '../state/outcome.js'

/** The media type of every error response. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json'

/** Kinds of errors; the value is the last part of the problem's type URI. */
export enum ProblemKind {
  /** The request is malformed. */
  BadRequest = 'bad-request',
  /** The configuration has no service of this name. */
  UnknownService = 'unknown-service',
  /** Another request with the same Idempotency-Key was claimed earlier and may have run. */
  DuplicateRequest = 'duplicate-request',
  /** Another request with the same Idempotency-Key may still be running. */
  RequestRunning = 'request-running',
  /** Another request with the same Idempotency-Key ran and got a response. */
  AlreadyRan = 'already-ran',
  /** The Idempotency-Key was used for a request with a different method or path. */
  KeyReused = 'key-reused',
  /** No slot, connection or place in the queue became available in time. */
  NoCapacity = 'no-room',
  /** This daemon has no configuration yet or is stopping. */
  NotReady = 'not-ready',
  /** The request could not be claimed because the store is unavailable. */
  ClaimUnavailable = 'claim-unavailable',
  /** Every upstream that received the request refused it without running it. */
  UpstreamRefused = 'upstream-refused',
  /** No upstream could be reached, or its response was lost. */
  UpstreamFailed = 'upstream-failed',
  /** The request's deadline passed. */
  DeadlinePassed = 'deadline-passed',
  /** An internal error of the daemon. */
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
  [ProblemKind.NoCapacity]: { status: 503, title: 'No room for the request' },
  [ProblemKind.NotReady]: { status: 503, title: 'This entry VM is not ready' },
  [ProblemKind.ClaimUnavailable]: { status: 503, title: 'The request could not be claimed' },
  [ProblemKind.UpstreamRefused]: { status: 503, title: 'The upstream refused the request' },
  [ProblemKind.UpstreamFailed]: { status: 502, title: 'The upstream did not answer' },
  [ProblemKind.DeadlinePassed]: { status: 504, title: 'The time for the request ran out' },
  [ProblemKind.Internal]: { status: 500, title: 'Internal error' }
}

const TYPE_PREFIX = 'urn:umberspar:problem:'

/** The outcome that is reported with an error; `done` occurs only with {@link ProblemKind.AlreadyRan}. */
export type ProblemOutcome = Outcome

/** The JSON body of an error response. */
export interface RequestProblem {
  /** A URI that identifies the kind of problem. */
  readonly type: string
  readonly title: string
  /** The HTTP status, the same as in the status line. */
  readonly status: number
  readonly detail: string
  /** The step that failed, for example `call-upstream`. */
  readonly step: string
  /** The remote side of the failed step, or `local`. */
  readonly peer: string
  readonly outcome: ProblemOutcome
  readonly requestId: string
}

/** The parts of an error response. */
export interface ProblemDetails {
  readonly kind: ProblemKind
  readonly detail: string
  readonly step: string
  readonly peer: string
  readonly outcome: ProblemOutcome
  readonly requestId: string
}

/**
 * @param details what failed, at which step and peer, and whether the request ran
 * @returns the body of the error response
 */
export function buildProblem (details: ProblemDetails): RequestProblem {
  const { kind, detail, step, peer, outcome, requestId } = details
  const { status, title } = DESCRIPTIONS[kind]
  return { type: `${TYPE_PREFIX}${kind}`, title, status, detail, step, peer, outcome, requestId }
}
