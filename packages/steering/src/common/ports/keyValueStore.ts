/**
 * The port to the platform's key-value service: compare-and-swap, leases and
 * watches. Revisions grow by one with every write that takes effect.
 */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import type { Event } from '@umberspar/base/common/event'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Result } from '@umberspar/base/common/result'

/** A key's present value. */
export interface StoredValue {
  readonly key: string
  readonly value: Uint8Array
  /** The store's revision at the key's last write; compare-and-swap goes by it. */
  readonly modRevision: number
}

/** What a read saw, and at which revision of the store. */
export interface StoreSnapshot {
  readonly values: readonly StoredValue[]
  readonly revision: number
}

/** One write of a transaction. */
export type StoreWrite =
  | { readonly kind: 'put', readonly key: string, readonly value: Uint8Array, readonly leaseId?: string }
  | { readonly kind: 'delete', readonly key: string }

/** A condition of a transaction: the key was last written at this revision; 0 means it does not exist. */
export interface StoreCondition {
  readonly key: string
  readonly modRevision: number
}

/** All conditions hold, then all writes take effect, or none does. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[]
  readonly writes: readonly StoreWrite[]
}

/** How a transaction ended. */
export interface TransactionResult {
  /** False: a condition did not hold and nothing was written. */
  readonly isApplied: boolean
  readonly revision: number
}

/** A lease: keys bound to it vanish when it lapses. */
export interface GrantedLease {
  readonly leaseId: string
  /** By our own clock, counted from before the call was sent, so it never lies after the store's. */
  readonly deadline: Deadline
}

/** One change seen by a watch; `value` is undefined for a deletion. */
export interface StoreChange {
  readonly key: string
  readonly value: Uint8Array | undefined
  readonly modRevision: number
}

/** Why a watch ended without being closed by its owner. */
export enum WatchEnd {
  /** The stream broke; a new watch from the next revision misses nothing. */
  Cut = 'cut',
  /** The store has discarded revisions asked for; read anew, then watch. */
  Compacted = 'compacted'
}

/** A running watch; it is not renewed by itself, its owner reacts to `onDidEnd`. */
export interface IStoreWatch extends IClosable {
  readonly onDidChange: Event<StoreChange>
  readonly onDidEnd: Event<WatchEnd>
}

/**
 * The platform's key-value service. Errors: `Unavailable` says that a call had
 * no effect; `EffectUnknown` that a write's answer was lost.
 */
export interface IKeyValueStore extends IClosable {
  /** Reads one key. */
  get(key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StepError>>
  /** Reads all keys that begin with a prefix. */
  list(prefix: string, deadline: Deadline): Promise<Result<StoreSnapshot, StepError>>
  /** Writes under conditions. */
  transact(transaction: StoreTransaction, deadline: Deadline): Promise<Result<TransactionResult, StepError>>
  /** Asks for a lease that lapses after so many seconds without renewal. */
  openLease(ttlSeconds: number, deadline: Deadline): Promise<Result<GrantedLease, StepError>>
  /** Renews a lease; `NotFound` if it has lapsed. */
  renewLease(leaseId: string, deadline: Deadline): Promise<Result<GrantedLease, StepError>>
  /** Gives a lease up; its keys vanish at once. */
  closeLease(leaseId: string, deadline: Deadline): Promise<Result<void, StepError>>
  /** Watches all keys that begin with a prefix, from a revision on (included). */
  watch(prefix: string, fromRevision: number): IStoreWatch
}
