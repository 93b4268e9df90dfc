/** Logs how the rate limits that workers announce are divided among the entry VMs, as this VM sees it. */
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { RateDivision } from '@umberspar/steering/common/entry/workers/workerRateGate'

/**
 * @param logger receives the line
 * @param division a division that has been computed anew
 */
export function logRateDivision (logger: ILogger, { workerId, ...division }: RateDivision): void {
  logger.log(LogLevel.Info, { step: 'divide-rate-limit', peer: workerId, ...division }, 'this VM\'s part of a worker\'s rate limit')
}
