/**
 * Joins snapshots and changes from the store and from peers into one view.
 *
 * Guards against two failures. A worker that lives but whose registration lapsed
 * while the store was away would be dropped by all entry VMs at once, and its load
 * would sink the rest; so what disappears during such an outage stays until shortly
 * after it. And a late message from a peer would bring back what the store has
 * removed; so nothing with an older revision than the view's own replaces anything.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed, type Deadline } from '@umberspar/base/common/deadline'
import { type DocumentDelta, DocumentParts } from './documentParts.js'
import type { RecordNews, RevisionGap } from './recordNews.js'
import { type RecordChange, type RecordChanges, RecordKind, type RecordSnapshot, type RemovedRecord, type SteeringRecord, UpstreamState } from './records.js'

/**
 * How long after the store's return a missing registration may still come back, in
 * milliseconds: workers renew every 1.5 s or so and are said to be back within about 2 s.
 */
export const REREGISTRATION_GRACE_MS = 2_100
/**
 * Shorter outages make no registration lapse, since that takes three missed
 * renewals; holding removals back after them would only delay what is true.
 */
const MIN_OUTAGE_MS = 2_000

/** Removals kept for VMs that learn from this one; one that is further behind is told everything. */
const MAX_TOMBSTONES = 4_096

/** Readings of everything that are remembered; the store drops its history now and then only. */
const MAX_GAPS = 32

/** Everything that this entry VM believes, by key. */
export class RecordTable {
  private readonly recordsByKey = new Map<string, SteeringRecord>()
  /** Keys that disappeared while the store was away or just after, with when to believe it; Infinity until the store is back. */
  private readonly heldRemovalsByKey = new Map<string, Deadline>()
  /** Removals by key in the order in which they were learned, held ones included. */
  private readonly tombstonesByKey = new Map<string, number>()
  /** Removals up to this revision may have been forgotten, or never been known. */
  private discardedRevision = 0
  /** What came and went within these never showed; the oldest first. */
  private gaps: RevisionGap[] = []
  /** The configuration that stands, for telling what changed of it. */
  private readonly documentParts = new DocumentParts()
  private storeRevision = 0
  private holdRemovalsUntil: Deadline = Number.NEGATIVE_INFINITY
  private storeLostAt: Instant | undefined

  /** @returns the revision up to which everything is known; 0 before anything is */
  get revision (): number {
    return this.storeRevision
  }

  /**
   * Notes that the store does not answer, or refuses this VM.
   * @param since when it answered last
   */
  recordStoreLost (since: Instant): void {
    this.storeLostAt ??= since
  }

  /**
   * Notes that the store answers again, or that another VM vouches for what it tells.
   * @param now the present
   * @param holdMs how much longer that VM holds back what disappeared, in milliseconds;
   *   undefined for the store, which has judged nothing
   */
  recordStoreRegained (now: Instant, holdMs?: number): void {
    if (this.storeLostAt === undefined) return
    const outageMs = now - this.storeLostAt
    this.storeLostAt = undefined
    const holdSpanMs = holdMs ?? (outageMs < MIN_OUTAGE_MS ? 0 : REREGISTRATION_GRACE_MS)
    // A short outage just after a long one does not shorten the wait for what the long one lost.
    this.holdRemovalsUntil = Math.max(this.holdRemovalsUntil, createDeadline(now, holdSpanMs))
    for (const key of this.heldRemovalsByKey.keys()) this.heldRemovalsByKey.set(key, this.holdRemovalsUntil)
  }

  /**
   * @param now the present
   * @returns how much longer what disappears is held back, in milliseconds
   */
  getHoldMs (now: Instant): number {
    return Math.max(0, this.holdRemovalsUntil - now)
  }

  /**
   * Holds back what disappears for as long as a VM that this one learns from.
   * @param now the present
   * @param holdMs how much longer that VM does so, in milliseconds
   */
  updateHold (now: Instant, holdMs: number): void {
    if (holdMs > 0) this.holdRemovalsUntil = Math.max(this.holdRemovalsUntil, createDeadline(now, holdMs))
  }

  /**
   * @param snapshot everything as of its revision
   * @param now the present
   * @returns the records that changed, appeared or disappeared
   */
  applySnapshot (snapshot: RecordSnapshot, now: Instant): RecordChange[] {
    if (snapshot.revision < this.storeRevision) return []
    this.recordGap(snapshot.revision)
    const present = new Set(snapshot.records.map(({ key }) => key))
    const missing = [...this.recordsByKey.keys()].filter((key) => !present.has(key))
    return this.mergeRecords({
      revision: snapshot.revision,
      written: snapshot.records,
      removed: missing.map((key) => ({ key, revision: snapshot.revision }))
    }, now)
  }

  /**
   * Takes over what another VM tells: the store's own events, not that VM's
   * judgement of them, so that what disappeared in an outage is held back here as there.
   * @param update what it tells
   * @param now the present
   * @returns the records that changed, appeared or disappeared; undefined if what is known
   *   here is not what the news were told for, so that everything has to be told
   */
  applyNews (update: RecordNews, now: Instant): RecordChange[] | undefined {
    if (!update.isWhole) return this.applyDelta(update, now)
    if (update.revision < this.storeRevision) return []
    const changes = this.applySnapshot({ revision: update.revision, records: update.written }, now)
    return [...changes, ...update.removed.flatMap((removal) => this.removeRecord(removal, now))]
  }

  private applyDelta (delta: RecordNews, now: Instant): RecordChange[] | undefined {
    const { document: documentDelta } = delta
    // A read of the operators' records alone may have brought a later configuration than the rest.
    const knownRevision = documentDelta === undefined ? 0 : Math.max(this.storeRevision, this.get(documentDelta.key)?.revision ?? 0)
    const isNew = documentDelta !== undefined && documentDelta.revision > knownRevision
    const value = isNew ? this.documentParts.mergeDelta(documentDelta) : undefined
    if (isNew && value === undefined) return undefined
    for (const gap of delta.gaps) this.putGap(gap)
    if (value === undefined) return this.applyChanges(delta, now)
    const { key, revision } = documentDelta!
    const changes = this.applyChanges({ ...delta, written: [...delta.written, { kind: RecordKind.Document, key, revision, value }] }, now)
    if (this.get(key)?.value === value) this.documentParts.markChanged(documentDelta!)
    return changes
  }

  /**
   * @param revision what another VM knows already
   * @returns what it has to be told; undefined if nothing
   */
  readNewsAfter (revision: number): RecordNews | undefined {
    if (revision >= this.storeRevision) return undefined
    const isWhole = revision === 0 || revision < this.discardedRevision || this.gaps.some(({ after, until }) => revision > after && revision < until)
    const tombstones = [...this.tombstonesByKey].map(([key, at]) => ({ key, revision: at }))
    const written = isWhole ? this.list() : this.list().filter((record) => record.revision > revision)
    const document = isWhole ? undefined : this.buildDocumentDelta(written, revision)
    return {
      revision: this.storeRevision,
      isWhole,
      gaps: isWhole ? [] : this.gaps.filter(({ until }) => until > revision),
      written: document === undefined ? written : written.filter(({ kind }) => kind !== RecordKind.Document),
      document,
      removed: isWhole ? tombstones.filter(({ key }) => this.heldRemovalsByKey.has(key)) : tombstones.filter((tombstone) => tombstone.revision > revision)
    }
  }

  private buildDocumentDelta (written: readonly SteeringRecord[], knownRevision: number): DocumentDelta | undefined {
    const record = written.find(({ kind }) => kind === RecordKind.Document)
    return record?.kind === RecordKind.Document ? this.documentParts.buildDeltaAfter(record.value, record, knownRevision) : undefined
  }

  /**
   * Events that the view has passed already are left out: a peer may have told of
   * a removal that the store's own events reach only later, after the writing before it.
   * @param changes what was written and removed since an earlier revision
   * @param now the present
   * @returns the records that changed, appeared or disappeared
   */
  applyChanges (changes: RecordChanges, now: Instant): RecordChange[] {
    const isNew = ({ revision }: { readonly revision: number }): boolean => revision > this.storeRevision
    return this.mergeRecords({
      revision: changes.revision,
      written: changes.written.filter(isNew),
      removed: changes.removed.filter(isNew)
    }, now)
  }

  /**
   * Drops what disappeared during an outage and has not come back in time.
   * @param now the present
   * @returns what was dropped
   */
  releaseHeld (now: Instant): RecordChange[] {
    if (this.storeLostAt !== undefined) return []
    const due = [...this.heldRemovalsByKey].filter(([, deadline]) => hasPassed(deadline, now))
    return due.map(([key]) => this.deleteRecord(key))
  }

  /** @returns whether something waits for `releaseHeld` */
  get hasHeld (): boolean {
    return this.heldRemovalsByKey.size > 0
  }

  /**
   * @param key a record's key
   * @returns the record, if it stands
   */
  get (key: string): SteeringRecord | undefined {
    return this.recordsByKey.get(key)
  }

  /** @returns all records, for peers and for building the view */
  list (): SteeringRecord[] {
    return [...this.recordsByKey.values()]
  }

  private mergeRecords (changes: RecordChanges, now: Instant): RecordChange[] {
    const written = changes.written.flatMap((record) => this.putRecord(record))
    const removed = changes.removed.flatMap((removal) => this.removeRecord(removal, now))
    this.storeRevision = Math.max(this.storeRevision, changes.revision)
    return [...written, ...removed]
  }

  private putRecord (record: SteeringRecord): RecordChange[] {
    const previous = this.recordsByKey.get(record.key)
    this.heldRemovalsByKey.delete(record.key)
    if ((this.tombstonesByKey.get(record.key) ?? 0) < record.revision) this.tombstonesByKey.delete(record.key)
    if (previous !== undefined && previous.revision >= record.revision) return []
    if (isOlderDocument(previous, record)) return []
    this.recordsByKey.set(record.key, record)
    if (record.kind === RecordKind.Document) this.documentParts.putDocument(record.value, record.revision)
    return [{ record, previous }]
  }

  /**
   * What came and went since the revision known before shows in no snapshot. A VM that
   * knows no more than this one did never heard of it either; one that knows a part of
   * it has to be told everything.
   */
  private recordGap (until: number): void {
    if (until <= this.storeRevision) return
    if (this.storeRevision === 0) this.discardedRevision = until
    else this.putGap({ after: this.storeRevision, until })
  }

  private putGap ({ after, until }: RevisionGap): void {
    if (this.gaps.some((gap) => gap.after === after && gap.until === until)) return
    this.gaps.push({ after, until })
    if (this.gaps.length <= MAX_GAPS) return
    this.discardedRevision = Math.max(this.discardedRevision, this.gaps.shift()!.until)
  }

  private deleteRecord (key: string): RecordChange {
    const previous = this.recordsByKey.get(key)
    this.heldRemovalsByKey.delete(key)
    this.recordsByKey.delete(key)
    return { record: undefined, previous }
  }

  /** Notes a removal for VMs that learn from this one. */
  private recordTombstone ({ key, revision }: RemovedRecord): void {
    const known = this.tombstonesByKey.get(key) ?? 0
    this.tombstonesByKey.delete(key)
    this.tombstonesByKey.set(key, Math.max(known, revision))
    if (this.tombstonesByKey.size <= MAX_TOMBSTONES) return
    const [oldestKey, oldestRevision] = this.tombstonesByKey.entries().next().value!
    this.tombstonesByKey.delete(oldestKey)
    this.discardedRevision = Math.max(this.discardedRevision, oldestRevision)
  }

  private removeRecord (removal: RemovedRecord, now: Instant): RecordChange[] {
    const { key, revision } = removal
    const known = this.recordsByKey.get(key)
    // The configuration is only ever replaced; one that cannot be found is a fault of the reading.
    if (known !== undefined && (known.revision > revision || known.kind === RecordKind.Document)) return []
    // What this VM never knew, one that learns from it may.
    this.recordTombstone(removal)
    if (known === undefined) return []
    const isHeld = this.storeLostAt !== undefined || !hasPassed(this.holdRemovalsUntil, now)
    if (!isHeld || !mayReregister(known)) return [this.deleteRecord(key)]
    // Counted from the store's return, not from the removal: what leaves after the return must not be held on top.
    if (!this.heldRemovalsByKey.has(key)) this.heldRemovalsByKey.set(key, this.storeLostAt === undefined ? this.holdRemovalsUntil : Infinity)
    return []
  }
}

/** A lapsed lease removes what lives; the operator's records and announced leavings have none. */
function mayReregister (record: SteeringRecord): boolean {
  if (record.kind === RecordKind.Upstream) return record.value.state === UpstreamState.Ready
  return record.kind === RecordKind.Node
}

function isOlderDocument (known: SteeringRecord | undefined, record: SteeringRecord): boolean {
  return known?.kind === RecordKind.Document && record.kind === RecordKind.Document && known.value.version >= record.value.version
}
