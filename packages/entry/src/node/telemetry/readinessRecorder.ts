/** Counts readiness checks, and logs each change of what this VM waits for. */
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import { Readiness } from '../lookup/servingNodes.js'
import type { EntryMetrics } from './entryMetrics.js'

/** Records the readiness checks of one process. */
export class ReadinessRecorder {
  private loggedReadiness: Readiness | undefined

  constructor (private readonly logger: ILogger, private readonly metrics: Pick<EntryMetrics, 'countReadinessCheck'>) {}

  /** @param readiness what the check answers */
  record (readiness: Readiness): void {
    this.metrics.countReadinessCheck(readiness)
    if (readiness === this.loggedReadiness) return
    this.loggedReadiness = readiness
    this.logger.log(LogLevel.Info, { step: 'check-readiness', readiness }, readiness === Readiness.Ready ? 'entry VM is ready' : 'entry VM is not ready')
  }
}
