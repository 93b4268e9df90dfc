/**
 * The error type of all packages. It names the step and the peer at which something failed, and
 * its code tells the caller how to react.
 */

/** The kind of a failure; handlers choose their reaction by it. */
export enum ErrorCode {
  /** The input is malformed or violates a rule; a retry with the same input fails again. */
  Invalid = 'invalid',
  /** The requested object does not exist. */
  NotFound = 'not-found',
  /** Another write was applied first, or the given version is stale. */
  Conflict = 'conflict',
  /** A limit is reached; the same call may succeed later. */
  Exhausted = 'exhausted',
  /** The peer could not be reached, and the call had no effect. */
  Unavailable = 'unavailable',
  /** The response was lost; the call may or may not have taken effect. */
  EffectUnknown = 'effect-unknown',
  /** The deadline passed before the step could start. */
  DeadlinePassed = 'deadline-passed',
  /** The call was cancelled by its owner. */
  Cancelled = 'cancelled',
  /** The peer refused the call because of its rules (authentication, role, drain). */
  Refused = 'refused',
  /** A bug in this program. */
  Internal = 'internal'
}

/** The content of a {@link StepError}. */
export interface StepErrorDetails {
  readonly code: ErrorCode
  /** The step that failed, in lower-case words joined by hyphens, for example `read-head`. */
  readonly step: string
  /** The other party of the step: `host:port`, a node id, a file path, or `local`. */
  readonly peer: string
  readonly message: string
  readonly cause?: unknown
}

/** An error that names the failed step and the peer. */
export class StepError extends Error {
  readonly code: ErrorCode
  readonly step: string
  readonly peer: string

  constructor (details: StepErrorDetails) {
    super(details.message, { cause: details.cause })
    this.name = 'StepError'
    this.code = details.code
    this.step = details.step
    this.peer = details.peer
  }
}

/**
 * Converts any thrown value to a {@link StepError}; returns a StepError unchanged.
 * @param thrown the value that was thrown
 * @param step the step that was running
 * @param peer the other party of that step
 * @returns the StepError itself, or a new one of code Internal with the thrown value as its cause
 */
export function toStepError (thrown: unknown, step: string, peer: string): StepError {
  if (thrown instanceof StepError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new StepError({ code: ErrorCode.Internal, step, peer, message, cause: thrown })
}
