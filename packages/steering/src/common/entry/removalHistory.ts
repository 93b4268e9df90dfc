/**
 * Remembers the removals that VMs which replicate from this one need to hear of, and where
 * removals may be unknown, so that such a VM needs a full update instead.
 */
import type { RevisionGap } from './recordUpdate.js'
import type { RemovedRecord } from './records.js'

/** Limit on remembered removals. A VM further behind gets a full update. */
const MAX_TOMBSTONES = 4_096
/** Limit on remembered gaps; the store compacts its history only now and then. */
const MAX_GAPS = 32

/** The removals of one era. */
export class RemovalHistory {
  /** Revisions of removals by key, in the order in which they arrived, held ones included. */
  private readonly tombstonesByKey = new Map<string, number>()
  /** Removals up to this revision may have been discarded, or may never have been known. */
  private discardedRevision = 0
  /** Revision ranges in which records may have been written and removed unseen; the oldest first. */
  private gaps: RevisionGap[] = []

  /**
   * Forgets all removals.
   * @param revision the revision up to which removals are unknown from now on
   */
  reset (revision: number): void {
    this.tombstonesByKey.clear()
    this.gaps = []
    this.discardedRevision = revision
  }

  /** @returns the remembered removals */
  listTombstones (): RemovedRecord[] {
    return [...this.tombstonesByKey].map(([key, revision]) => ({ key, revision }))
  }

  /** @returns the gaps that end after a revision */
  listGapsAfter (revision: number): RevisionGap[] {
    return this.gaps.filter(({ until }) => until > revision)
  }

  /**
   * @param revision the revision up to which a VM knows everything
   * @returns whether removals after it may be unknown here
   */
  mayLackRemovalsAfter (revision: number): boolean {
    return revision < this.discardedRevision || this.gaps.some(({ after, until }) => revision > after && revision < until)
  }

  /** @param removal a removal */
  putTombstone ({ key, revision }: RemovedRecord): void {
    const known = this.tombstonesByKey.get(key) ?? 0
    this.tombstonesByKey.delete(key)
    this.tombstonesByKey.set(key, Math.max(known, revision))
    if (this.tombstonesByKey.size <= MAX_TOMBSTONES) return
    const [oldestKey, oldestRevision] = this.tombstonesByKey.entries().next().value!
    this.tombstonesByKey.delete(oldestKey)
    this.discardedRevision = Math.max(this.discardedRevision, oldestRevision)
  }

  /**
   * Forgets the removal of a key that was written later.
   * @param key the key
   * @param revision the revision of the writing
   */
  removeTombstone (key: string, revision: number): void {
    if ((this.tombstonesByKey.get(key) ?? 0) < revision) this.tombstonesByKey.delete(key)
  }

  /**
   * Records the gap before a snapshot, which does not show what was written and removed again
   * since the previous revision. A peer that knows no more than this VM did has not seen that
   * either; one that knows a part of the gap needs a full update.
   */
  recordSnapshot (previousRevision: number, until: number): void {
    if (until <= previousRevision) return
    if (previousRevision === 0) this.discardedRevision = until
    else this.putGap({ after: previousRevision, until })
  }

  /** @param gap a gap of this VM, or of the one that it replicates from */
  putGap ({ after, until }: RevisionGap): void {
    if (this.gaps.some((gap) => gap.after === after && gap.until === until)) return
    this.gaps.push({ after, until })
    if (this.gaps.length <= MAX_GAPS) return
    this.discardedRevision = Math.max(this.discardedRevision, this.gaps.shift()!.until)
  }
}
