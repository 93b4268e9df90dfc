/** The most requests that ran at a time, by group of workers. */
import { HistoryEventKind } from './historyEvent.js'
import type { HistoryEvent } from './historyEvent.js'

/**
 * @param events a history in the order of its instants
 * @param findGroup the group a worker counts for, for example its region
 * @returns the peak of each group that ran anything
 */
export function computePeakRunning (events: readonly HistoryEvent[], findGroup: (workerId: string) => string): Map<string, number> {
  const running = new Map<string, number>()
  const peaks = new Map<string, number>()
  for (const event of events) {
    const change = CHANGE_BY_KIND[event.kind]
    if (change === undefined || !('workerId' in event)) continue
    const group = findGroup(event.workerId)
    const count = (running.get(group) ?? 0) + change
    running.set(group, count)
    peaks.set(group, Math.max(peaks.get(group) ?? 0, count))
  }
  return peaks
}

const CHANGE_BY_KIND: Readonly<Partial<Record<HistoryEventKind, number>>> = {
  [HistoryEventKind.ExecutionStarted]: 1,
  [HistoryEventKind.ExecutionEnded]: -1
}
