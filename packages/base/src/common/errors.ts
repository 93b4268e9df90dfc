/**
 * The error type of every package: it says at which step and with which peer
 * something failed, and what a caller of the function may do about it.
 */

/** What kind of failure an error reports; handlers look their reaction up by it. */
export enum ErrorCode {
  /** The input is malformed or breaks a rule; trying again unchanged is useless. */
  Invalid = 'invalid',
  /** The thing asked for does not exist. */
  NotFound = 'not-found',
  /** Another write came first, or a version is stale. */
  Conflict = 'conflict',
  /** A limit has no room; the same call may succeed later. */
  Exhausted = 'exhausted',
  /** The peer could not be reached, and the call certainly had no effect. */
  Unavailable = 'unavailable',
  /** The answer was lost: the call may or may not have taken effect. */
  EffectUnknown = 'effect-unknown',
  /** The deadline passed before the step could begin. */
  DeadlinePassed = 'deadline-passed',
  /** The owner of the call gave it up. */
  Cancelled = 'cancelled',
  /** The peer refused the call by its rules (authentication, role, drain). */
  Refused = 'refused',
  /** A fault of this program. */
  Internal = 'internal'
}

/** Where a StepError arose. */
export interface StepErrorDetails {
  readonly code: ErrorCode
  /** The step that failed, in lower-case words joined by hyphens, for example `read-head`. */
  readonly step: string
  /** The other side: `host:port`, a node id, a file path, or `local`. */
  readonly peer: string
  readonly message: string
  readonly cause?: unknown
}

/** An error that names its step and its peer. */
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
 * Turns anything thrown into a StepError, and leaves a StepError as it is.
 * @param thrown what a `catch` received
 * @param step the step that was running
 * @param peer the other side of that step
 * @returns an error with step and peer
 */
export function toStepError (thrown: unknown, step: string, peer: string): StepError {
  if (thrown instanceof StepError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new StepError({ code: ErrorCode.Internal, step, peer, message, cause: thrown })
}
