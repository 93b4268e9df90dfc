/** Logs as a port: structured events with step and peer, written as JSON lines by an adapter. */
import type { StepError } from './errors.js'

/** How urgent a log line is. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error'
}

/** What a log line carries besides its message. */
export interface LogContext {
  /** The step that ran, in lower-case words joined by hyphens. */
  readonly step: string
  /** The other side of the step, or `local`. */
  readonly peer?: string
  readonly [field: string]: unknown
}

/** Writes log lines. */
export interface ILogger {
  log(level: LogLevel, context: LogContext, message: string): void
  /** @returns a logger that adds these fields to every line */
  createChild(fields: Readonly<Record<string, unknown>>): ILogger
}

/**
 * Logs a failure with its own step and peer.
 * @param logger where to write
 * @param level how urgent
 * @param error what failed
 */
export function logError (logger: ILogger, level: LogLevel, error: StepError): void {
  logger.log(level, { step: error.step, peer: error.peer, code: error.code }, error.message)
}

/** A logger that writes nothing, for tests and tools. */
export const NULL_LOGGER: ILogger = {
  log: () => {},
  createChild: () => NULL_LOGGER
}
