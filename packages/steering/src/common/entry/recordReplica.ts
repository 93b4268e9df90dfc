/**
 * A local replica of the store's records, merged from snapshots and changes of the store and
 * of peers.
 *
 * Guards against two failures:
 * - Workers that are alive but whose leases expired during an outage of the store would be
 *   dropped by all entry VMs at once, and their load would overload the rest. So records that
 *   disappear during an outage are kept until shortly after it.
 * - A late message from a peer could restore a record that the store has removed. So nothing
 *   with an older revision than the replica's own replaces anything.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed, type Deadline } from '@umberspar/base/common/deadline'
import { type DocumentDelta, DocumentParts } from './documentParts.js'
import type { RecordUpdate, RevisionGap } from './recordUpdate.js'
import { type RecordChange, type RecordChanges, RecordKind, type RecordSnapshot, type RemovedRecord, type SteeringRecord, UpstreamState } from './records.js'

/**
 * How long after the end of an outage a missing registration is kept. Workers renew about
 * every 1.5 s and are specified to be back within about 2 s.
 */
export const REREGISTRATION_GRACE_MS = 2_100
/**
 * A lease expires after three missed renewals. After shorter outages, keeping removed records
 * would only delay true removals.
 */
const MIN_OUTAGE_MS = 2_000

/** Limit on remembered removals for VMs that replicate from this one. A VM further behind gets a full update. */
const MAX_TOMBSTONES = 4_096

/** Limit on remembered gaps; the store compacts its history only now and then. */
const MAX_GAPS = 32

/** This entry VM's replica of the records, by key. */
export class RecordReplica {
  private readonly recordsByKey = new Map<string, SteeringRecord>()
  /** Keys removed during or just after an outage, with when the removal takes effect; Infinity until the store is back. */
  private readonly heldRemovalsByKey = new Map<string, Deadline>()
  /** Revisions of removals by key, in the order in which they arrived, held ones included. */
  private readonly tombstonesByKey = new Map<string, number>()
  /** Removals up to this revision may have been discarded, or may never have been known. */
  private discardedRevision = 0
  /** Revision ranges in which records may have been written and removed unseen; the oldest first. */
  private gaps: RevisionGap[] = []
  /** The current configuration in parts, for building deltas. */
  private readonly documentParts = new DocumentParts()
  private storeRevision = 0
  private holdRemovalsUntil: Deadline = Number.NEGATIVE_INFINITY
  private storeLostAt: Instant | undefined

  /** @returns the revision up to which everything is known; 0 before anything is */
  get revision (): number {
    return this.storeRevision
  }

  /**
   * Records that the store does not answer, or refuses this VM.
   * @param since when it answered last
   */
  recordStoreLost (since: Instant): void {
    this.storeLostAt ??= since
  }

  /**
   * Records that the store answers again, or that a peer's records are proven to be current.
   * @param now the current time
   * @param holdMs how much longer the peer holds back removals, in milliseconds; undefined for
   *   the store, which holds back nothing
   */
  recordStoreRecovered (now: Instant, holdMs?: number): void {
    if (this.storeLostAt === undefined) return
    const outageMs = now - this.storeLostAt
    this.storeLostAt = undefined
    const holdSpanMs = holdMs ?? (outageMs < MIN_OUTAGE_MS ? 0 : REREGISTRATION_GRACE_MS)
    // A short outage just after a long one does not shorten the grace period of the long one.
    this.holdRemovalsUntil = Math.max(this.holdRemovalsUntil, createDeadline(now, holdSpanMs))
    for (const key of this.heldRemovalsByKey.keys()) this.heldRemovalsByKey.set(key, this.holdRemovalsUntil)
  }

  /**
   * @param now the current time
   * @returns how much longer removals are held back, in milliseconds
   */
  getRemovalHoldMs (now: Instant): number {
    return Math.max(0, this.holdRemovalsUntil - now)
  }

  /**
   * Holds back removals for as long as the peer that this VM replicates from.
   * @param now the current time
   * @param holdMs how much longer the peer does so, in milliseconds
   */
  updateRemovalHold (now: Instant, holdMs: number): void {
    if (holdMs > 0) this.holdRemovalsUntil = Math.max(this.holdRemovalsUntil, createDeadline(now, holdMs))
  }

  /**
   * @param snapshot all records as of its revision
   * @param now the current time
   * @returns the records that were written or removed
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
   * Applies an update from a peer. It holds the store's own events, not the peer's decisions
   * about them, so removals during an outage are held back here as there.
   * @param update the update
   * @param now the current time
   * @returns the records that were written or removed; undefined if the update does not fit
   *   the records known here, so that a full update is needed
   */
  applyUpdate (update: RecordUpdate, now: Instant): RecordChange[] | undefined {
    if (!update.isWhole) return this.applyDelta(update, now)
    if (update.revision < this.storeRevision) return []
    const changes = this.applySnapshot({ revision: update.revision, records: update.written }, now)
    return [...changes, ...update.removed.flatMap((removal) => this.removeRecord(removal, now))]
  }

  private applyDelta (delta: RecordUpdate, now: Instant): RecordChange[] | undefined {
    const { document: documentDelta } = delta
    // A separate read of the operators' records may have brought a later configuration than the other records.
    const knownRevision = documentDelta === undefined ? 0 : Math.max(this.storeRevision, this.get(documentDelta.key)?.revision ?? 0)
    const isNewDocument = documentDelta !== undefined && documentDelta.revision > knownRevision
    const value = isNewDocument ? this.documentParts.mergeDelta(documentDelta) : undefined
    if (isNewDocument && value === undefined) return undefined
    for (const gap of delta.gaps) this.putGap(gap)
    if (value === undefined) return this.applyChanges(delta, now)
    const { key, revision } = documentDelta!
    const changes = this.applyChanges({ ...delta, written: [...delta.written, { kind: RecordKind.Document, key, revision, value }] }, now)
    if (this.get(key)?.value === value) this.documentParts.markChanged(documentDelta!)
    return changes
  }

  /**
   * @param revision the revision up to which a peer knows everything
   * @returns the update that the peer needs; undefined if none
   */
  buildUpdateAfter (revision: number): RecordUpdate | undefined {
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
   * Applies changes from the store. Events up to the known revision are ignored: a peer may
   * have announced a removal that the store's own events reach only later, after the writing
   * before it.
   * @param changes what was written and removed since an earlier revision
   * @param now the current time
   * @returns the records that were written or removed
   */
  applyChanges (changes: RecordChanges, now: Instant): RecordChange[] {
    const isUnseen = ({ revision }: { readonly revision: number }): boolean => revision > this.storeRevision
    return this.mergeRecords({
      revision: changes.revision,
      written: changes.written.filter(isUnseen),
      removed: changes.removed.filter(isUnseen)
    }, now)
  }

  /**
   * Removes the records that disappeared during an outage and were not written again in time.
   * @param now the current time
   * @returns the removed records
   */
  applyDueRemovals (now: Instant): RecordChange[] {
    if (this.storeLostAt !== undefined) return []
    const due = [...this.heldRemovalsByKey].filter(([, deadline]) => hasPassed(deadline, now))
    return due.map(([key]) => this.deleteRecord(key))
  }

  /** @returns whether removals are held for {@link RecordReplica.applyDueRemovals} */
  get hasHeldRemovals (): boolean {
    return this.heldRemovalsByKey.size > 0
  }

  /**
   * @param key a record's key
   * @returns the record, if it exists
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
   * Records the gap before a snapshot, which does not show what was written and removed again
   * since the previous revision. A peer that knows no more than this VM did has not seen that
   * either; one that knows a part of the gap needs a full update.
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

  /** Remembers a removal for VMs that replicate from this one. */
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
    // The configuration is only ever replaced, never removed; a missing one is an error of the read.
    if (known !== undefined && (known.revision > revision || known.kind === RecordKind.Document)) return []
    // A VM that replicates from this one may know a record that this one never had.
    this.recordTombstone(removal)
    if (known === undefined) return []
    const isHeld = this.storeLostAt !== undefined || !hasPassed(this.holdRemovalsUntil, now)
    if (!isHeld || !mayReregister(known)) return [this.deleteRecord(key)]
    // The grace period starts at the end of the outage, not at the removal. Otherwise a worker that leaves after
    // the outage would be kept for another full period.
    if (!this.heldRemovalsByKey.has(key)) this.heldRemovalsByKey.set(key, this.storeLostAt === undefined ? this.holdRemovalsUntil : Infinity)
    return []
  }
}

/**
 * Whether the owner may write a removed record again. Only registrations have a lease that can
 * expire while the owner is alive; the operators' records have none, and draining workers
 * leave on purpose.
 */
function mayReregister (record: SteeringRecord): boolean {
  if (record.kind === RecordKind.Upstream) return record.value.state === UpstreamState.Ready
  return record.kind === RecordKind.Node
}

function isOlderDocument (known: SteeringRecord | undefined, record: SteeringRecord): boolean {
  return known?.kind === RecordKind.Document && record.kind === RecordKind.Document && known.value.version >= record.value.version
}
