/** Work that nobody waits for. */
import { toStepError } from './errors.js'
import { type ILogger, logError, LogLevel } from './logger.js'

/**
 * Starts work without waiting. A rejection that nobody handles would end the
 * whole process and cut off every open request; here it becomes a log line.
 * @param work what to start
 * @param logger where a failure is logged
 * @param step the step named in that log line
 * @returns nothing; the work goes on
 */
export function runDetached (work: () => Promise<unknown>, logger: ILogger, step: string): void {
  work().catch((thrown: unknown) => logError(logger, LogLevel.Error, toStepError(thrown, step, 'local')))
}
