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
import { type DocumentChange, DocumentParts } from './documentParts.js'
import type { RecordNews, RevisionGap } from './recordNews.js'
import { type RecordChange, type RecordChanges, RecordKind, type RecordSnapshot, type RemovedRecord, type SteeringRecord, UpstreamState } from './records.js'

/**
 * How long after the store's return a missing registration may still come back, in
 * milliseconds: workers renew every 1.5 s or so and are said to be back within about 2 s.
 */
export const RETURN_SPAN_MS = 2_100
/**
 * Shorter outages make no registration lapse, since that takes three missed
 * renewals; holding removals back after them would only delay what is true.
 */
const LEAST_OUTAGE_MS = 2_000

/** Removals kept for VMs that learn from this one; one that is further behind is told everything. */
const MOST_REMOVALS = 4_096

/** Readings of everything that are remembered; the store drops its history now and then only. */
const MOST_GAPS = 32

/** Everything that this entry VM believes, by key. */
export class RecordTable {
  private readonly recordsByKey = new Map<string, SteeringRecord>()
  /** Keys that disappeared while the store was away or just after, with when to believe it; Infinity until the store is back. */
  private readonly removalsByKey = new Map<string, Deadline>()
  /** Removals by key in the order in which they were learned, held ones included. */
  private readonly removedByKey = new Map<string, number>()
  /** Removals up to this revision may have been forgotten, or never been known. */
  private forgottenRevision = 0
  /** What came and went within these never showed; the oldest first. */
  private gaps: RevisionGap[] = []
  /** The configuration that stands, for telling what changed of it. */
  private readonly parts = new DocumentParts()
  private storeRevision = 0
  private holdUntil: Deadline = Number.NEGATIVE_INFINITY
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
    const awayMs = now - this.storeLostAt
    this.storeLostAt = undefined
    const spanMs = holdMs ?? (awayMs < LEAST_OUTAGE_MS ? 0 : RETURN_SPAN_MS)
    // A short outage just after a long one does not shorten the wait for what the long one lost.
    this.holdUntil = Math.max(this.holdUntil, createDeadline(now, spanMs))
    for (const key of this.removalsByKey.keys()) this.removalsByKey.set(key, this.holdUntil)
  }

  /**
   * @param now the present
   * @returns how much longer what disappears is held back, in milliseconds
   */
  getHoldMs (now: Instant): number {
    return Math.max(0, this.holdUntil - now)
  }

  /**
   * Holds back what disappears for as long as a VM that this one learns from.
   * @param now the present
   * @param holdMs how much longer that VM does so, in milliseconds
   */
  updateHold (now: Instant, holdMs: number): void {
    if (holdMs > 0) this.holdUntil = Math.max(this.holdUntil, createDeadline(now, holdMs))
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
   * @param news what it tells
   * @param now the present
   * @returns the records that changed, appeared or disappeared; undefined if what is known
   *   here is not what the news were told for, so that everything has to be told
   */
  applyNews (news: RecordNews, now: Instant): RecordChange[] | undefined {
    if (!news.isWhole) return this.applyPart(news, now)
    if (news.revision < this.storeRevision) return []
    const changes = this.applySnapshot({ revision: news.revision, records: news.written }, now)
    return [...changes, ...news.removed.flatMap((gone) => this.removeRecord(gone, now))]
  }

  private applyPart (news: RecordNews, now: Instant): RecordChange[] | undefined {
    const { document: change } = news
    // A read of the operators' records alone may have brought a later configuration than the rest.
    const knownUntil = change === undefined ? 0 : Math.max(this.storeRevision, this.get(change.key)?.revision ?? 0)
    const isNew = change !== undefined && change.revision > knownUntil
    const value = isNew ? this.parts.mergeChange(change) : undefined
    if (isNew && value === undefined) return undefined
    for (const gap of news.gaps) this.putGap(gap)
    if (value === undefined) return this.applyChanges(news, now)
    const { key, revision } = change!
    const changes = this.applyChanges({ ...news, written: [...news.written, { kind: RecordKind.Document, key, revision, value }] }, now)
    if (this.get(key)?.value === value) this.parts.markChanged(change!)
    return changes
  }

  /**
   * @param revision what another VM knows already
   * @returns what it has to be told; undefined if nothing
   */
  readNewsAfter (revision: number): RecordNews | undefined {
    if (revision >= this.storeRevision) return undefined
    const isWhole = revision === 0 || revision < this.forgottenRevision || this.gaps.some(({ after, until }) => revision > after && revision < until)
    const removals = [...this.removedByKey].map(([key, at]) => ({ key, revision: at }))
    const written = isWhole ? this.list() : this.list().filter((record) => record.revision > revision)
    const document = isWhole ? undefined : this.readDocumentChange(written, revision)
    return {
      revision: this.storeRevision,
      isWhole,
      gaps: isWhole ? [] : this.gaps.filter(({ until }) => until > revision),
      written: document === undefined ? written : written.filter(({ kind }) => kind !== RecordKind.Document),
      document,
      removed: isWhole ? removals.filter(({ key }) => this.removalsByKey.has(key)) : removals.filter((gone) => gone.revision > revision)
    }
  }

  private readDocumentChange (written: readonly SteeringRecord[], known: number): DocumentChange | undefined {
    const record = written.find(({ kind }) => kind === RecordKind.Document)
    return record?.kind === RecordKind.Document ? this.parts.readChangeAfter(record.value, record, known) : undefined
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
    const due = [...this.removalsByKey].filter(([, deadline]) => hasPassed(deadline, now))
    return due.map(([key]) => this.deleteRecord(key))
  }

  /** @returns whether something waits for `releaseHeld` */
  get hasHeld (): boolean {
    return this.removalsByKey.size > 0
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
    const removed = changes.removed.flatMap((gone) => this.removeRecord(gone, now))
    this.storeRevision = Math.max(this.storeRevision, changes.revision)
    return [...written, ...removed]
  }

  private putRecord (record: SteeringRecord): RecordChange[] {
    const previous = this.recordsByKey.get(record.key)
    this.removalsByKey.delete(record.key)
    if ((this.removedByKey.get(record.key) ?? 0) < record.revision) this.removedByKey.delete(record.key)
    if (previous !== undefined && previous.revision >= record.revision) return []
    if (isOlderDocument(previous, record)) return []
    this.recordsByKey.set(record.key, record)
    if (record.kind === RecordKind.Document) this.parts.putDocument(record.value, record.revision)
    return [{ record, previous }]
  }

  /**
   * What came and went since the revision known before shows in no snapshot. A VM that
   * knows no more than this one did never heard of it either; one that knows a part of
   * it has to be told everything.
   */
  private recordGap (until: number): void {
    if (until <= this.storeRevision) return
    if (this.storeRevision === 0) this.forgottenRevision = until
    else this.putGap({ after: this.storeRevision, until })
  }

  private putGap ({ after, until }: RevisionGap): void {
    if (this.gaps.some((gap) => gap.after === after && gap.until === until)) return
    this.gaps.push({ after, until })
    if (this.gaps.length <= MOST_GAPS) return
    this.forgottenRevision = Math.max(this.forgottenRevision, this.gaps.shift()!.until)
  }

  private deleteRecord (key: string): RecordChange {
    const previous = this.recordsByKey.get(key)
    this.removalsByKey.delete(key)
    this.recordsByKey.delete(key)
    return { record: undefined, previous }
  }

  /** Notes a removal for VMs that learn from this one. */
  private recordRemoval ({ key, revision }: RemovedRecord): void {
    const known = this.removedByKey.get(key) ?? 0
    this.removedByKey.delete(key)
    this.removedByKey.set(key, Math.max(known, revision))
    if (this.removedByKey.size <= MOST_REMOVALS) return
    const [oldestKey, oldestRevision] = this.removedByKey.entries().next().value!
    this.removedByKey.delete(oldestKey)
    this.forgottenRevision = Math.max(this.forgottenRevision, oldestRevision)
  }

  private removeRecord (gone: RemovedRecord, now: Instant): RecordChange[] {
    const { key, revision } = gone
    const known = this.recordsByKey.get(key)
    // The configuration is only ever replaced; one that cannot be found is a fault of the reading.
    if (known !== undefined && (known.revision > revision || known.kind === RecordKind.Document)) return []
    // What this VM never knew, one that learns from it may.
    this.recordRemoval(gone)
    if (known === undefined) return []
    const isHeld = this.storeLostAt !== undefined || !hasPassed(this.holdUntil, now)
    if (!isHeld || !mayReturn(known)) return [this.deleteRecord(key)]
    // Counted from the store's return, not from the removal: what leaves after the return must not be held on top.
    if (!this.removalsByKey.has(key)) this.removalsByKey.set(key, this.storeLostAt === undefined ? this.holdUntil : Infinity)
    return []
  }
}

/** A lapsed lease removes what lives; the operator's records and announced leavings have none. */
function mayReturn (record: SteeringRecord): boolean {
  if (record.kind === RecordKind.Upstream) return record.value.state === UpstreamState.Ready
  return record.kind === RecordKind.Node
}

function isOlderDocument (known: SteeringRecord | undefined, record: SteeringRecord): boolean {
  return known?.kind === RecordKind.Document && record.kind === RecordKind.Document && known.value.version >= record.value.version
}
