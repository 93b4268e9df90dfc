/**
 * A local replica of the store's records, merged from snapshots and changes of the store and
 * of peers.
 *
 * Guards against three failures:
 * - Workers that are alive but whose leases expired during an outage of the store would be
 *   dropped by all entry VMs at once, and their load would overload the rest. So records that
 *   disappear during an outage are kept until shortly after it.
 * - A late message from a peer could restore a record that the store has removed. So nothing
 *   with an older revision than the replica's own replaces anything.
 * - A store that comes back from an older copy lacks acknowledged records, and holds others that
 *   were replaced or removed. So what is known stays in force at first; see {@link EraStart}.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed, type Deadline } from '@umberspar/base/common/deadline'
import { DocumentReplica } from './documentReplica.js'
import { EraStart, getRewriteGraceMs, KINDS_KEPT_FOR_PEERS } from './eraStart.js'
import type { RecordUpdate } from './recordUpdate.js'
import { type RecordChange, type RecordChanges, RecordKind, type RecordSnapshot, type RemovedRecord, type SteeringRecord } from './records.js'
import { RemovalHistory } from './removalHistory.js'
import { mayReregister, RemovalHold, REREGISTRATION_GRACE_MS } from './removalHold.js'
import { NO_POSITION, type StorePosition } from './storePosition.js'
import { UnconfirmedRecords } from './unconfirmedRecords.js'

/** This entry VM's replica of the records, by key. */
export class RecordReplica {
  private readonly recordsByKey = new Map<string, SteeringRecord>()
  /** Keys removed during or just after an outage, with when the removal takes effect; Infinity until the store is back. */
  private readonly heldRemovalsByKey = new Map<string, Deadline>()
  private readonly removals = new RemovalHistory()
  private storePosition = NO_POSITION
  /** What was removed, and what the present era began with. */
  private readonly eraStart = new EraStart()
  /** Records that the store has lost, until they are confirmed or given up. */
  readonly unconfirmed = new UnconfirmedRecords()
  private readonly document = new DocumentReplica(this.recordsByKey, this.unconfirmed, this.eraStart)
  private readonly removalHold = new RemovalHold()

  /** @returns the position up to which everything is known */
  get position (): StorePosition { return this.storePosition }

  get revision (): number { return this.storePosition.revision }

  /** @returns whether the configuration is newer than the one that the store holds */
  get isDocumentUnconfirmed (): boolean { return this.document.isUnconfirmed }

  /**
   * Records that the store does not answer, or refuses this VM.
   * @param since when it answered last
   */
  recordStoreLost (since: Instant): void {
    this.removalHold.recordStoreLost(since)
  }

  /**
   * Records that the store answers again, or that a peer's records are proven to be current.
   * @param now the current time
   * @param holdMs how much longer the peer holds back removals, in milliseconds; undefined for
   *   the store, which holds back nothing
   */
  recordStoreRecovered (now: Instant, holdMs?: number): void {
    if (!this.removalHold.recordStoreRecovered(now, holdMs)) return
    for (const key of this.heldRemovalsByKey.keys()) this.heldRemovalsByKey.set(key, this.removalHold.deadline)
  }

  /** @returns how much longer removals are held back, in milliseconds */
  getRemovalHoldMs (now: Instant): number {
    return this.removalHold.getRemainingMs(now)
  }

  /**
   * Holds back removals for as long as the peer that this VM replicates from.
   * @param now the current time
   * @param holdMs how much longer the peer does so, in milliseconds
   */
  updateRemovalHold (now: Instant, holdMs: number): void {
    if (holdMs > 0) this.removalHold.holdFor(now, holdMs)
  }

  /**
   * @param snapshot all records as of its revision
   * @param now the current time
   * @returns the records that were written or removed
   */
  applySnapshot (snapshot: RecordSnapshot, now: Instant): RecordChange[] {
    if (snapshot.era < this.storePosition.era) return []
    if (snapshot.era > this.storePosition.era) return this.startEra(snapshot, now)
    if (snapshot.revision < this.revision) return []
    this.removals.recordSnapshot(this.revision, snapshot.revision)
    const present = new Set(snapshot.records.map(({ key }) => key))
    const missing = [...this.recordsByKey.keys()].filter((key) => !present.has(key) && !this.unconfirmed.mayReturn(key))
    return this.mergeRecords({
      era: snapshot.era,
      revision: snapshot.revision,
      written: snapshot.records,
      removed: missing.map((key) => ({ key, revision: snapshot.revision }))
    }, now)
  }

  /**
   * Begins an era with the store's older copy. Known records get the revision of the copy, which is
   * later than the copy's own records and earlier than whatever is written in the new era.
   */
  private startEra (copy: RecordSnapshot, now: Instant): RecordChange[] {
    const { era, revision } = copy
    if (this.revision > 0) this.removalHold.holdFor(now, REREGISTRATION_GRACE_MS)
    this.storePosition = { era, revision }
    this.eraStart.start(revision)
    this.unconfirmed.startEra(now)
    this.removals.reset(revision)
    this.document.clear(revision)
    const copiedByKey = new Map(copy.records.map((record) => [record.key, record]))
    const replaced = this.list().flatMap((record) => this.mergeKnownRecord(record, copiedByKey.get(record.key), revision, now))
    const added = copy.records.filter(({ key }) => !this.recordsByKey.has(key)).flatMap((record) => this.putRecord(record))
    return [...replaced, ...added]
  }

  /** @returns the change if the copied record replaces the known one, or if the known one is removed */
  private mergeKnownRecord (known: SteeringRecord, copied: SteeringRecord | undefined, revision: number, now: Instant): RecordChange[] {
    this.heldRemovalsByKey.delete(known.key)
    if (copied !== undefined && !this.eraStart.isOlderCopy(known, copied)) {
      this.recordsByKey.delete(known.key)
      this.unconfirmed.delete(known.key)
      this.putRecord(copied)
      const isSame = JSON.stringify(known.value) === JSON.stringify(copied.value)
      return isSame ? [] : [{ record: copied, previous: known }]
    }
    // The store removes what it holds in an older state when its writer has gone.
    const graceMs = copied === undefined ? getRewriteGraceMs(known) : Infinity
    if (graceMs === 0) return [this.deleteRecord(known.key)]
    const rebased = { ...known, revision }
    this.recordsByKey.set(known.key, rebased)
    if (rebased.kind === RecordKind.Document) this.document.keep(rebased)
    this.unconfirmed.put(known.key, createDeadline(now, graceMs))
    return []
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
    const { era, revision } = update
    const isSameEra = era === this.storePosition.era
    if (era < this.storePosition.era) return []
    if (update.isWhole && isSameEra && revision < this.revision) return [...this.document.putNewer(update.written, this.revision), ...this.putLost(update, now)]
    if (!update.isWhole) return isSameEra || this.revision === 0 ? this.applyDelta(update, now) : undefined
    const changes = this.applySnapshot({ era, revision, records: update.written }, now)
    const isOfCopy = (key: string): boolean => (this.get(key)?.revision ?? Infinity) <= this.eraStart.revision
    for (const { key, remainingMs } of update.unconfirmed ?? []) if (isOfCopy(key)) this.unconfirmed.put(key, createDeadline(now, remainingMs))
    return [...changes, ...update.removed.flatMap((removal) => this.removeRecord(removal, now))]
  }

  /**
   * Puts evacuations and quarantines in force that the store has lost. Positions say nothing about these; they
   * end if their writers do not write them again.
   */
  private putLost ({ written, unconfirmed = [] }: RecordUpdate, now: Instant): RecordChange[] {
    const remainingByKey = new Map(unconfirmed.map(({ key, remainingMs }) => [key, remainingMs]))
    const removedKeys = new Set(this.removals.listTombstones().map(({ key }) => key))
    const lost = written.filter(({ kind, key }) => KINDS_KEPT_FOR_PEERS.has(kind) && remainingByKey.has(key) && !this.recordsByKey.has(key) && !removedKeys.has(key))
    for (const { key } of lost) this.unconfirmed.put(key, createDeadline(now, remainingByKey.get(key)!))
    return lost.map((record) => {
      this.recordsByKey.set(record.key, record)
      return { record, previous: undefined }
    })
  }

  private applyDelta (delta: RecordUpdate, now: Instant): RecordChange[] | undefined {
    const { document: documentDelta } = delta
    const isNewer = documentDelta !== undefined && this.document.isNewer(documentDelta, this.revision)
    const record = isNewer ? this.document.mergeDelta(documentDelta) : undefined
    if (isNewer && record === undefined) return undefined
    for (const gap of delta.gaps) this.removals.putGap(gap)
    if (record === undefined) return this.applyChanges(delta, now)
    const changes = this.applyChanges({ ...delta, written: [...delta.written, record] }, now)
    this.document.markMerged(documentDelta!, record)
    return changes
  }

  /**
   * @param position the position up to which a peer knows everything
   * @returns the update that the peer needs; undefined if none
   */
  buildUpdateAfter ({ era, revision: knownRevision }: StorePosition): RecordUpdate | undefined {
    if (era > this.storePosition.era || this.revision === 0) return undefined
    const revision = era === this.storePosition.era ? knownRevision : 0
    if (revision >= this.revision) return undefined
    const isWhole = revision === 0 || this.removals.mayLackRemovalsAfter(revision)
    const tombstones = this.removals.listTombstones()
    const written = isWhole ? this.list() : this.list().filter((record) => record.revision > revision)
    const document = isWhole ? undefined : this.document.buildDeltaAfter(written, revision)
    return {
      ...this.storePosition,
      isWhole,
      gaps: isWhole ? [] : this.removals.listGapsAfter(revision),
      written: document === undefined ? written : written.filter(({ kind }) => kind !== RecordKind.Document),
      document,
      removed: isWhole ? tombstones.filter(({ key }) => this.heldRemovalsByKey.has(key)) : tombstones.filter((tombstone) => tombstone.revision > revision)
    }
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
    // The changes of a later era say nothing without the copy that it began with.
    if (changes.era !== this.storePosition.era && this.revision > 0) return []
    const isUnseen = ({ revision }: { readonly revision: number }): boolean => revision > this.revision
    return this.mergeRecords({
      era: changes.era,
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
    if (this.removalHold.isStoreLost) return []
    const held = [...this.heldRemovalsByKey].filter(([, deadline]) => hasPassed(deadline, now)).map(([key]) => key)
    return [...new Set([...held, ...this.unconfirmed.listDue(now)])].map((key) => this.deleteRecord(key))
  }

  /** @returns whether there are removals for {@link RecordReplica.applyDueRemovals} */
  get hasHeldRemovals (): boolean {
    return this.heldRemovalsByKey.size > 0 || this.unconfirmed.hasDeadlines
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
    this.storePosition = { era: changes.era, revision: Math.max(this.revision, changes.revision) }
    return [...written, ...removed]
  }

  private putRecord (record: SteeringRecord): RecordChange[] {
    const previous = this.recordsByKey.get(record.key)
    if (previous === undefined && this.eraStart.isKnownAsRemoved(record)) return []
    this.heldRemovalsByKey.delete(record.key)
    this.removals.removeTombstone(record.key, record.revision)
    if (record.kind === RecordKind.Document) return this.document.put(record, this.revision)
    if (record.revision > this.eraStart.revision) this.unconfirmed.delete(record.key)
    if (previous !== undefined && previous.revision >= record.revision) return []
    this.recordsByKey.set(record.key, record)
    this.eraStart.recordWriting(record.key)
    return [{ record, previous }]
  }

  private deleteRecord (key: string): RecordChange {
    const previous = this.recordsByKey.get(key)
    this.heldRemovalsByKey.delete(key)
    this.unconfirmed.delete(key)
    this.recordsByKey.delete(key)
    if (previous !== undefined) this.eraStart.recordRemoval(previous)
    return { record: undefined, previous }
  }

  private removeRecord (removal: RemovedRecord, now: Instant): RecordChange[] {
    const { key, revision } = removal
    const known = this.recordsByKey.get(key)
    // The configuration is only ever replaced, never removed; a missing one is an error of the read.
    if (known !== undefined && (known.revision > revision || known.kind === RecordKind.Document)) return []
    // A VM that replicates from this one may know a record that this one never had.
    this.removals.putTombstone(removal)
    if (known === undefined) return []
    if (!this.removalHold.isActive(now) || !mayReregister(known)) return [this.deleteRecord(key)]
    // The grace period starts at the end of the outage, not at the removal. Otherwise a worker that leaves after
    // the outage would be kept for another full period.
    if (!this.heldRemovalsByKey.has(key)) this.heldRemovalsByKey.set(key, this.removalHold.deadline)
    return []
  }
}
