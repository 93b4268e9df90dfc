/** Decides whether a change took effect although its answer was lost. */
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { HistoryEntry } from './operatorMessages.js'

/** What is known about the effect of a change. */
export enum PatchOutcome {
  Applied = 'applied',
  /** Another change became the next version instead, so this change can never take effect. */
  NotApplied = 'not-applied',
  /** No newer version exists yet, or the daemon that answered does not know of it yet. */
  Undecided = 'undecided'
}

/** The outcome of a change, and the version that shows it. */
export interface ResolvedPatch {
  readonly outcome: PatchOutcome
  /** The version that the change made if it was applied, otherwise the highest known version. */
  readonly version: number
}

/**
 * A change against version N can only become version N + 1. If version N + 1 has the
 * same changeId, the change took effect. If it has another changeId, the change was
 * not applied and never will be, because the compare-and-swap on the version refuses it.
 * A daemon that lags behind knows neither, so a missing version N + 1 decides nothing.
 * @param changeId the id of the change
 * @param baseVersion the version that the change was made against
 * @param head the head of the configuration, as a daemon reports it
 * @param history the accepted changes, as a daemon reports them
 * @returns the outcome of the change
 */
export function decidePatchOutcome (changeId: string, baseVersion: number, head: ConfigurationHead, history: readonly HistoryEntry[]): ResolvedPatch {
  const knownEntries = [head, ...history]
  const ownEntry = knownEntries.find((entry) => entry.changeId === changeId)
  if (ownEntry !== undefined) return { outcome: PatchOutcome.Applied, version: ownEntry.version }
  const version = Math.max(...knownEntries.map((entry) => entry.version))
  const isNextVersionTaken = knownEntries.some((entry) => entry.version === baseVersion + 1)
  return { outcome: isNextVersionTaken ? PatchOutcome.NotApplied : PatchOutcome.Undecided, version }
}
