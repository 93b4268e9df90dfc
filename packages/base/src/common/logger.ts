/** The interface of loggers: structured log lines with step and peer, which an adapter writes as JSON. */
import type { StepError } from './errors.js'

/** The severity of a log line. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error'
}

/** The fields of a log line besides its message. */
export interface LogContext {
  /** The step that was running, in lower-case words joined by hyphens. */
  readonly step: string
  /** The other party of the step, or `local`. */
  readonly peer?: string
  readonly [field: string]: unknown
}

/** Writes log lines. */
export interface ILogger {
  log(level: LogLevel, context: LogContext, message: string): void
  /**
   * @param fields added to the context of every line
   * @returns a logger that adds these fields
   */
  createChild(fields: Readonly<Record<string, unknown>>): ILogger
}

/**
 * Logs an error with its step, peer and code.
 * @param logger the logger to write to
 * @param level the severity of the log line
 * @param error the error to log
 */
export function logError (logger: ILogger, level: LogLevel, error: StepError): void {
  logger.log(level, { step: error.step, peer: error.peer, code: error.code }, error.message)
}

/** A logger that writes nothing, for tests and tools. */
export const NULL_LOGGER: ILogger = {
  log: () => {},
  createChild: () => NULL_LOGGER
}
