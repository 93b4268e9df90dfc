/**
 * The keys of the key-value stand-in with the history of their changes: one
 * revision for each transaction that writes, readable until it is compacted.
 */
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import { status } from '@grpc/grpc-js'
import { Event_EventType as EventType } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { DeleteRangeRequest, Event, KeyValue, PutRequest, RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { CallRefusal } from './callRefusal.js'
import { createInvalid, LEASE_NOT_FOUND } from './callRefusal.js'
import { isConditionMet } from './comparison.js'
import type { KeyRange } from './keyRange.js'
import { buildKeyRange, isInRange, toKeyName } from './keyRange.js'
import type { TransactionLimits } from './transactionCheck.js'
import { checkTransaction } from './transactionCheck.js'

/** All changes of one revision. */
export interface Commit {
  readonly revision: bigint
  readonly events: readonly Event[]
}

/** A copy of everything stored, for a restore. */
export interface SavedKeys {
  readonly keys: readonly KeyValue[]
  readonly history: readonly Commit[]
  readonly revision: bigint
  readonly compactedRevision: bigint
}

/** Rules of a KeyValueState. */
export interface KeyValueStateOptions {
  readonly limits: TransactionLimits
  /** Commits kept before the oldest are compacted by themselves. */
  readonly maxHistory: number
  /** Whether a lease is alive, asked when a put names one. */
  readonly hasLease: (leaseId: bigint) => boolean
}

const FIRST_REVISION = 1n
const FUTURE_REVISION: CallRefusal = { code: status.OUT_OF_RANGE, message: 'required revision is a future revision' }
const COMPACTED_REVISION: CallRefusal = { code: status.OUT_OF_RANGE, message: 'required revision has been compacted' }

/** Keys, revisions and history. */
export class KeyValueState implements IClosable {
  private readonly current = new Map<string, KeyValue>()
  private readonly namesByLease = new Map<bigint, Set<string>>()
  private history: Commit[] = []
  private revision = FIRST_REVISION
  private compactedRevision = 0n
  private readonly didCommit = new Emitter<Commit>()

  /** Fires after each revision that changed a key. */
  readonly onDidCommit = this.didCommit.event

  constructor (private readonly options: KeyValueStateOptions) {}

  /** @returns the header of every answer */
  buildHeader (): ResponseHeader {
    return { clusterId: 1n, memberId: 1n, revision: this.revision, raftTerm: 1n }
  }

  /** @returns the revision below which nothing can be read or watched any more */
  getCompactedRevision (): bigint {
    return this.compactedRevision
  }

  /** Reads keys as they are, or as they were at an earlier revision. */
  readRange (request: RangeRequest): Result<RangeResponse, CallRefusal> {
    if (request.key.length === 0) return Err(createInvalid('key is not provided'))
    if (request.revision > this.revision) return Err(FUTURE_REVISION)
    if (request.revision > 0n && request.revision < this.compactedRevision) return Err(COMPACTED_REVISION)
    const range = buildKeyRange(request.key, request.rangeEnd)
    const found = this.findKeys(range, request.revision)
    const limit = request.limit > 0n ? Number(request.limit) : found.length
    const kept = request.countOnly ? [] : found.slice(0, limit)
    const kvs = request.keysOnly ? kept.map((kv) => ({ ...kv, value: Buffer.alloc(0) })) : kept
    return Ok({ header: this.buildHeader(), kvs, more: found.length > limit, count: BigInt(found.length) })
  }

  /** Applies one branch of a transaction as one revision. */
  transact (request: TxnRequest): Result<TxnResponse, CallRefusal> {
    const malformed = checkTransaction(request, this.options.limits)
    if (malformed !== undefined) return Err(malformed)
    const succeeded = request.compare.every((compare) => isConditionMet(compare, this.current.get(toKeyName(compare.key))))
    const operations = succeeded ? request.success : request.failure
    const refusal = this.checkReferences(operations)
    if (refusal !== undefined) return Err(refusal)
    const events: Event[] = []
    const responses = operations.map((operation) => this.applyOperation(operation, events))
    this.publishCommit(events)
    return Ok({ header: this.buildHeader(), succeeded, responses })
  }

  /**
   * Deletes the keys bound to a lease that has ended, as one revision.
   * @param leaseId the lease
   */
  deleteLeaseKeys (leaseId: bigint): void {
    const events: Event[] = []
    const names = [...this.namesByLease.get(leaseId) ?? []].sort()
    for (const keyName of names) this.deleteKey(keyName, events)
    this.publishCommit(events)
  }

  /**
   * @param fromRevision the first revision wanted
   * @returns the commits from there on that are still kept
   */
  listCommits (fromRevision: bigint): readonly Commit[] {
    return this.history.filter((commit) => commit.revision >= fromRevision)
  }

  /**
   * Forgets the history before a revision.
   * @param revision the oldest revision that stays readable
   * @returns an error for a future or already compacted revision
   */
  deleteHistory (revision: bigint): Result<void, CallRefusal> {
    if (revision > this.revision) return Err(FUTURE_REVISION)
    if (revision <= this.compactedRevision) return Err(COMPACTED_REVISION)
    this.compactedRevision = revision
    this.history = this.history.filter((commit) => commit.revision >= revision)
    return Ok(undefined)
  }

  /** @returns a copy that later changes leave alone */
  save (): SavedKeys {
    const { revision, compactedRevision } = this
    return { keys: [...this.current.values()], history: [...this.history], revision, compactedRevision }
  }

  /**
   * Goes back to a saved state, as an operator does from a backup: revisions go back as well.
   * @param saved what `save` returned
   */
  load (saved: SavedKeys): void {
    this.current.clear()
    this.namesByLease.clear()
    for (const kv of saved.keys) this.setKey(kv)
    this.history = [...saved.history]
    this.revision = saved.revision
    this.compactedRevision = saved.compactedRevision
  }

  /** Forgets the subscribers. */
  close (): void {
    this.didCommit.close()
  }

  private findKeys (range: KeyRange, revision: bigint): KeyValue[] {
    const view = revision === 0n || revision === this.revision ? this.current : this.buildView(revision)
    if (range.isSingle) {
      const kv = view.get(range.from)
      return kv === undefined ? [] : [kv]
    }
    const names = [...view.keys()].filter((keyName) => isInRange(range, keyName)).sort()
    return names.flatMap((keyName) => view.get(keyName) ?? [])
  }

  /** Undoes the history backwards, from the present to the revision asked for. */
  private buildView (revision: bigint): ReadonlyMap<string, KeyValue> {
    const view = new Map(this.current)
    for (const commit of this.history.toReversed()) {
      if (commit.revision <= revision) break
      for (const event of commit.events.toReversed()) {
        const keyName = toKeyName(event.kv?.key ?? Buffer.alloc(0))
        if (event.prevKv === undefined) view.delete(keyName)
        else view.set(keyName, event.prevKv)
      }
    }
    return view
  }

  private checkReferences (operations: readonly RequestOp[]): CallRefusal | undefined {
    for (const operation of operations) {
      const leaseId = operation.requestPut?.lease ?? 0n
      if (leaseId !== 0n && !this.options.hasLease(leaseId)) return LEASE_NOT_FOUND
      const range = operation.requestRange
      if (range === undefined) continue
      const read = this.readRange(range)
      if (read.err) return read.val
    }
    return undefined
  }

  private applyOperation (operation: RequestOp, events: Event[]): ResponseOp {
    if (operation.requestPut !== undefined) return this.putKey(operation.requestPut, events)
    if (operation.requestDeleteRange !== undefined) return this.deleteRange(operation.requestDeleteRange, events)
    if (operation.requestRange === undefined) return {}
    return { responseRange: this.readRange(operation.requestRange).unwrap() }
  }

  private putKey (request: PutRequest, events: Event[]): ResponseOp {
    const previous = this.current.get(toKeyName(request.key))
    const modRevision = this.revision + 1n
    const createRevision = previous?.createRevision ?? modRevision
    const version = (previous?.version ?? 0n) + 1n
    const kv: KeyValue = { key: request.key, value: request.value, lease: request.lease, createRevision, modRevision, version }
    this.setKey(kv)
    events.push({ type: EventType.PUT, kv, prevKv: previous })
    return { responsePut: { header: undefined, prevKv: request.prevKv ? previous : undefined } }
  }

  private deleteRange (request: DeleteRangeRequest, events: Event[]): ResponseOp {
    const found = this.findKeys(buildKeyRange(request.key, request.rangeEnd), 0n)
    for (const kv of found) this.deleteKey(toKeyName(kv.key), events)
    const prevKvs = request.prevKv ? found : []
    return { responseDeleteRange: { header: undefined, deleted: BigInt(found.length), prevKvs } }
  }

  private deleteKey (keyName: string, events: Event[]): void {
    const previous = this.current.get(keyName)
    if (previous === undefined) return
    this.current.delete(keyName)
    this.namesByLease.get(previous.lease)?.delete(keyName)
    const kv: KeyValue = { key: previous.key, value: Buffer.alloc(0), lease: 0n, createRevision: 0n, modRevision: this.revision + 1n, version: 0n }
    events.push({ type: EventType.DELETE, kv, prevKv: previous })
  }

  private setKey (kv: KeyValue): void {
    const keyName = toKeyName(kv.key)
    const previous = this.current.get(keyName)
    if (previous !== undefined) this.namesByLease.get(previous.lease)?.delete(keyName)
    this.current.set(keyName, kv)
    if (kv.lease === 0n) return
    const names = this.namesByLease.get(kv.lease) ?? new Set()
    names.add(keyName)
    this.namesByLease.set(kv.lease, names)
  }

  private publishCommit (events: readonly Event[]): void {
    if (events.length === 0) return
    this.revision += 1n
    const commit: Commit = { revision: this.revision, events }
    this.history.push(commit)
    // Compacting only at twice the limit keeps the cost of a write constant on average.
    if (this.history.length > 2 * this.options.maxHistory) this.deleteHistory(this.revision - BigInt(this.options.maxHistory))
    this.didCommit.fire(commit)
  }
}
