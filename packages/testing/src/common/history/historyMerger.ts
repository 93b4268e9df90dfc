/** Merges the events of several recorders, each sorted by time, into one sorted stream. */
import type { Instant } from '@umberspar/base/common/clock'
import { compareEvents } from './historyChecker.js'
import type { HistoryEvent, IHistorySink } from './historyEvent.js'

/**
 * Buffers events until no recorder can still report an earlier one. A process
 * that reports in batches lags behind, but its executions must be checked before
 * the answers that they led to.
 */
export class HistoryMerger {
  private pendingEvents: HistoryEvent[] = []
  private readonly watermarkBySource = new Map<string, Instant>()

  /**
   * @param target receives the events, sorted by time
   * @param sources the recorders that will report
   */
  constructor (private readonly target: IHistorySink, sources: readonly string[]) {
    for (const source of sources) this.watermarkBySource.set(source, -Infinity)
  }

  /** @returns the number of buffered events */
  countPending (): number {
    return this.pendingEvents.length
  }

  /**
   * @param source one of the recorders
   * @param events the events that it recorded since its last report
   * @param watermark the recorder will report no more events at or before this instant
   */
  accept (source: string, events: readonly HistoryEvent[], watermark: Instant): void {
    for (const event of events) this.pendingEvents.push(event)
    this.watermarkBySource.set(source, watermark)
    const lowestWatermark = Math.min(...this.watermarkBySource.values())
    this.pendingEvents.sort(compareEvents)
    const firstLaterIndex = this.pendingEvents.findIndex(({ at }) => at > lowestWatermark)
    const readyEvents = this.pendingEvents.splice(0, firstLaterIndex === -1 ? this.pendingEvents.length : firstLaterIndex)
    for (const event of readyEvents) this.target.record(event)
  }
}
