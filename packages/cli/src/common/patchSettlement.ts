/** Whether a change whose answer was lost took effect. */
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { HistoryEntry } from './operatorMessages.js'

/** What is known of a change. */
export enum PatchOutcome {
  Applied = 'applied',
  /** Another change stands where this one would have to. */
  NotApplied = 'not-applied',
  /** The store has nothing newer than the base, or the daemon asked does not know it yet. */
  Undecided = 'undecided'
}

/** A verdict and the version it rests on. */
export interface ResolvedPatch {
  readonly outcome: PatchOutcome
  /** Applied: the change's version. Otherwise the highest version seen. */
  readonly version: number
}

/**
 * A change against base N can only become version N + 1. If that version
 * carries this changeId, the change took effect; if it carries another, the
 * compare-and-swap refuses the change now and for ever. A daemon that lags
 * shows neither, so its silence decides nothing.
 * @param changeId the change
 * @param baseVersion the version it was made against
 * @param head the head that a daemon shows
 * @param history the accepted changes that a daemon shows
 * @returns the verdict
 */
export function decidePatchOutcome (changeId: string, baseVersion: number, head: ConfigurationHead, history: readonly HistoryEntry[]): ResolvedPatch {
  const knownEntries = [head, ...history]
  const ownEntry = knownEntries.find((entry) => entry.changeId === changeId)
  if (ownEntry !== undefined) return { outcome: PatchOutcome.Applied, version: ownEntry.version }
  const version = Math.max(...knownEntries.map((entry) => entry.version))
  const isNextVersionTaken = knownEntries.some((entry) => entry.version === baseVersion + 1)
  return { outcome: isNextVersionTaken ? PatchOutcome.NotApplied : PatchOutcome.Undecided, version }
}
