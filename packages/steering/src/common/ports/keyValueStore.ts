/**
 * The platform's key-value store with compare-and-swap, leases and watches. The
 * revision of the store increases by one with every applied write.
 */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import type { Event } from '@umberspar/base/common/event'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Result } from '@umberspar/base/common/result'

/** A key's current value. */
export interface StoredValue {
  readonly key: string
  readonly value: Uint8Array
  /** The store's revision at the key's last write, for compare-and-swap. */
  readonly modRevision: number
}

/** The values that were read, and the store's revision at that time. */
export interface StoreSnapshot {
  readonly values: readonly StoredValue[]
  readonly revision: number
}

/** One write of a transaction. */
export type StoreWrite =
  | { readonly kind: 'put', readonly key: string, readonly value: Uint8Array, readonly leaseId?: string }
  | { readonly kind: 'delete', readonly key: string }

/** A condition of a transaction: the key's last write has this revision, or the key does not exist if it is 0. */
export interface StoreCondition {
  readonly key: string
  readonly modRevision: number
}

/** If all conditions hold, all writes are applied atomically, otherwise none. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[]
  readonly writes: readonly StoreWrite[]
}

/** The result of a transaction. */
export interface TransactionResult {
  /** False if a condition did not hold and nothing was written. */
  readonly isApplied: boolean
  readonly revision: number
}

/** A lease; keys that are bound to it are deleted when it expires. */
export interface GrantedLease {
  readonly leaseId: string
  /** When the lease expires by the local clock; counted from before the call was sent, so it is never later than the expiry in the store. */
  readonly deadline: Deadline
}

/** One change reported by a watch; `value` is undefined for a deletion. */
export interface StoreChange {
  readonly key: string
  readonly value: Uint8Array | undefined
  readonly modRevision: number
}

/** Why a watch ended without being closed by its owner. */
export enum WatchEndReason {
  /** The connection was lost; a new watch from the next revision misses no changes. */
  Disconnected = 'cut',
  /** The store has discarded revisions that the watch needs; the owner must read all values again before it starts a new watch. */
  Compacted = 'compacted'
}

/** A running watch; it does not restart by itself, its owner has to handle {@link IStoreWatch.onDidEnd}. */
export interface IStoreWatch extends IClosable {
  readonly onDidChange: Event<StoreChange>
  readonly onDidEnd: Event<WatchEndReason>
}

/**
 * The platform's key-value store. Errors: `Unavailable` means that a call had no
 * effect, `EffectUnknown` that the response to a write was lost.
 */
export interface IKeyValueStore extends IClosable {
  /** Reads one key. */
  get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StepError>>
  /** Reads all keys with a prefix. */
  list(prefix: string, deadline: Deadline): Promise<Result<StoreSnapshot, StepError>>
  /** Applies writes if conditions hold. */
  transact(transaction: StoreTransaction, deadline: Deadline): Promise<Result<TransactionResult, StepError>>
  /** Acquires a lease that expires unless it is renewed within `ttlSeconds`. */
  acquireLease(ttlSeconds: number, deadline: Deadline): Promise<Result<GrantedLease, StepError>>
  /** Renews a lease; fails with `NotFound` if it has expired. */
  renewLease(leaseId: string, deadline: Deadline): Promise<Result<GrantedLease, StepError>>
  /** Releases a lease; its keys are deleted immediately. */
  releaseLease(leaseId: string, deadline: Deadline): Promise<Result<void, StepError>>
  /** Watches all keys with a prefix, starting with the changes of `fromRevision`. */
  watch(prefix: string, fromRevision: number): IStoreWatch
}
