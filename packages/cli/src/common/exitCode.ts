/** How the process ends; docs/operators/EXIT-CODES.md explains each code to operators. */
import { ErrorCode } from '@umberspar/base/common/errors'

/** The exit codes of `umberspar`; scripts rely on the numbers, so they never change. */
export enum ExitCode {
  Ok = 0,
  /** A fault of this program or an answer it can't read. */
  Internal = 1,
  /** The command line is wrong; nothing was sent. */
  Usage = 2,
  /** The change, file or thing asked for is not valid or does not exist. */
  Refused = 3,
  /** Another change came first. */
  Conflict = 4,
  /** No daemon could be reached; nothing took effect. */
  Unreachable = 5,
  /** A change was sent and its answer lost; it may have taken effect. */
  EffectUnknown = 6,
  /** What was waited for had not come by the deadline. */
  NotYet = 7
}

const EXIT_CODE_BY_ERROR_CODE: Readonly<Record<ErrorCode, ExitCode>> = {
  [ErrorCode.Invalid]: ExitCode.Refused,
  [ErrorCode.NotFound]: ExitCode.Refused,
  [ErrorCode.Refused]: ExitCode.Refused,
  [ErrorCode.Conflict]: ExitCode.Conflict,
  [ErrorCode.Exhausted]: ExitCode.Unreachable,
  [ErrorCode.Unavailable]: ExitCode.Unreachable,
  [ErrorCode.EffectUnknown]: ExitCode.EffectUnknown,
  [ErrorCode.DeadlinePassed]: ExitCode.NotYet,
  [ErrorCode.Cancelled]: ExitCode.NotYet,
  [ErrorCode.Internal]: ExitCode.Internal
}

/**
 * @param code the kind of failure
 * @returns the exit code that reports it
 */
export function getExitCode (code: ErrorCode): ExitCode {
  return EXIT_CODE_BY_ERROR_CODE[code]
}
