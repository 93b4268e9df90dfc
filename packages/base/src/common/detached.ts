/** Starts asynchronous work without waiting for it. */
import { toStepError } from './errors.js'
import { type ILogger, logError, LogLevel } from './logger.js'

/**
 * Starts work without waiting for it, and logs its rejection. An unhandled rejection would
 * terminate the process and abort every open request.
 * @param work the work to start
 * @param logger logs a rejection
 * @param step the step named in the log line of a rejection
 */
export function runDetached (work: () => Promise<unknown>, logger: ILogger, step: string): void {
  work().catch((thrown: unknown) => logError(logger, LogLevel.Error, toStepError(thrown, step, 'local')))
}
