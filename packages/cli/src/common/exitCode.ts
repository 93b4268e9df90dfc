/** Exit codes of the process; docs/operators/EXIT-CODES.md explains each of them to operators. */
import { ErrorCode } from '@umberspar/base/common/errors'

/** The exit codes of `umberspar`. The numbers never change, because scripts rely on them. */
export enum ExitCode {
  Ok = 0,
  /** An internal error, or an answer that this client can't decode. */
  Internal = 1,
  /** The command line is invalid; nothing was sent. */
  Usage = 2,
  /** The daemon refused the command, or the change, file or item that it names is invalid or does not exist. */
  Refused = 3,
  /** Another change was accepted first. */
  Conflict = 4,
  /** No daemon could be reached; nothing took effect. */
  Unreachable = 5,
  /** A change was sent but its answer was lost; the change may have taken effect. */
  EffectUnknown = 6,
  /** The command did not complete before its deadline. */
  DeadlinePassed = 7
}

const EXIT_CODE_BY_ERROR_CODE: Readonly<Record<ErrorCode, ExitCode>> = {
  [ErrorCode.Invalid]: ExitCode.Refused,
  [ErrorCode.NotFound]: ExitCode.Refused,
  [ErrorCode.Refused]: ExitCode.Refused,
  [ErrorCode.Conflict]: ExitCode.Conflict,
  [ErrorCode.Exhausted]: ExitCode.Unreachable,
  [ErrorCode.Unavailable]: ExitCode.Unreachable,
  [ErrorCode.EffectUnknown]: ExitCode.EffectUnknown,
  [ErrorCode.DeadlinePassed]: ExitCode.DeadlinePassed,
  [ErrorCode.Cancelled]: ExitCode.DeadlinePassed,
  [ErrorCode.Internal]: ExitCode.Internal
}

/**
 * @param code the code of the error
 * @returns the exit code that reports it
 */
export function getExitCode (code: ErrorCode): ExitCode {
  return EXIT_CODE_BY_ERROR_CODE[code]
}
