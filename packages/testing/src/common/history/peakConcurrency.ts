/** Computes the peak number of concurrent executions per group of workers. */
import { HistoryEventKind } from './historyEvent.js'
import type { HistoryEvent } from './historyEvent.js'

/**
 * @param events a history, sorted by time
 * @param getGroup returns the group of a worker, for example its region
 * @returns the peak by group, without groups that ran nothing
 */
export function computePeakConcurrency (events: readonly HistoryEvent[], getGroup: (workerId: string) => string): Map<string, number> {
  const countByGroup = new Map<string, number>()
  const peakByGroup = new Map<string, number>()
  for (const event of events) {
    const change = COUNT_CHANGE_BY_KIND[event.kind]
    if (change === undefined || !('workerId' in event)) continue
    const group = getGroup(event.workerId)
    const count = (countByGroup.get(group) ?? 0) + change
    countByGroup.set(group, count)
    peakByGroup.set(group, Math.max(peakByGroup.get(group) ?? 0, count))
  }
  return peakByGroup
}

const COUNT_CHANGE_BY_KIND: Readonly<Partial<Record<HistoryEventKind, number>>> = {
  [HistoryEventKind.ExecutionStarted]: 1,
  [HistoryEventKind.ExecutionEnded]: -1
}
