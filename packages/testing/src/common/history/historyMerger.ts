/** Brings the events of several recorders, each in its own order, onto one time line. */
import type { Instant } from '@umberspar/base/common/clock'
import { compareEvents } from './historyChecker.js'
import type { HistoryEvent, IHistory } from './historyEvent.js'

/**
 * Holds events back until no recorder can still hand over an earlier one: a
 * process that reports in batches is behind, and its executions must be seen
 * before the answers that they led to.
 */
export class HistoryMerger {
  private pending: HistoryEvent[] = []
  private readonly passedBySource = new Map<string, Instant>()

  /**
   * @param target gets the events in the order of their instants
   * @param sources the recorders that will report
   */
  constructor (private readonly target: IHistory, sources: readonly string[]) {
    for (const source of sources) this.passedBySource.set(source, -Infinity)
  }

  /** @returns how many events are held back */
  countPending (): number {
    return this.pending.length
  }

  /**
   * @param source one of the recorders
   * @param events what it recorded since its last report
   * @param passed it will record nothing at or before this instant any more
   */
  accept (source: string, events: readonly HistoryEvent[], passed: Instant): void {
    for (const event of events) this.pending.push(event)
    this.passedBySource.set(source, passed)
    const settled = Math.min(...this.passedBySource.values())
    this.pending.sort(compareEvents)
    const end = this.pending.findIndex(({ at }) => at > settled)
    const due = this.pending.splice(0, end === -1 ? this.pending.length : end)
    for (const event of due) this.target.record(event)
  }
}
