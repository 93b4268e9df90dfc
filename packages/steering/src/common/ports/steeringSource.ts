/** The interfaces to the store of the deployment's records: reading them, writing them and registering this entry VM. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import type { PositionReading } from '../entry/freshnessProof.js'
import type { EntryNode, FleetMember, ObservedRateLimit, RecordChanges, RecordSnapshot, ShareOwner } from '../entry/records.js'
import type { StorePosition } from '../entry/storePosition.js'
import type { CrashReports, Quarantine } from '../quarantine/crashReport.js'

/** Receives the records and their changes. */
export interface SteeringSourceListener {
  /** @returns the position up to which all changes are known, from any source */
  getPosition(): StorePosition
  onSnapshot(snapshot: RecordSnapshot): void
  onChanges(changes: RecordChanges): void
  /** Called with the store's current position after it was requested. */
  onPositionRead(reading: PositionReading): void
  /**
   * Called when the source has become unavailable.
   * @param reason a short description of the cause
   * @param since when the source last responded
   */
  onStoreLost(reason: string, since: Instant): void
  /** Called when the source is available again. */
  onStoreRecovered(): void
}

/** Reads the records, and watches for changes while this is enabled, until it is closed. */
export interface ISteeringSource extends IClosable {
  /**
   * Reads all records once, and retries until this succeeds. The operators' records are
   * current; the others may be seconds old, and the changes that follow bring them up to date.
   * @param listener receives the records and their changes from now on
   */
  start(listener: SteeringSourceListener): void
  /** Reads all records once more, for a VM that does not watch for changes. */
  readSnapshot(): void
  /** @param isWatching whether to watch for changes from now on, and to request the store's position periodically */
  setWatching(isWatching: boolean): void
  /** Reads the store's position at once, while watching for changes. */
  readPosition(): void
}

/** The lease of this VM's registration; until it ends, what the VM has claimed cannot be taken over by another VM. */
export interface RegistrationLease {
  /** Distinguishes the leases of this process. Claims that were made under another one are no longer valid. */
  readonly id: number
  readonly until: Instant
  /** The store's era in which it was created. */
  readonly era: number
}

/** Keeps this entry VM's record in the store while the VM serves requests. */
export interface INodeRegistration extends IClosable {
  /** Prepares the registration while the records are read for the first time. */
  start(): void
  /**
   * Writes the record, and writes it again whenever it is missing.
   * @param node the description of this VM
   */
  register(node: EntryNode): void
  /**
   * Replaces the description of this VM.
   * @param node the description from now on
   * @param mustWrite whether to write it soon; otherwise it is written when the record is written for another reason
   */
  update(node: EntryNode, mustWrite: boolean): void
  /**
   * Until when this VM's claims are certain to last, by the clock that includes the
   * time in which the machine is suspended; undefined while the VM is not registered.
   */
  readonly currentLease: RegistrationLease | undefined
  /**
   * From when on no VM grants anything under a lease of an earlier era of the store, by the clock that includes
   * the time in which the machine is suspended; negative infinity if this process knows of no earlier one.
   */
  readonly earlierLeasesEndAt: Instant
  /**
   * @param id the id of a lease of this process, in the present era of the store or the one before
   * @returns until when what was claimed under it can't be taken over by another VM; negative infinity if it has ended
   */
  getLeaseEnd(id: number): Instant
  /** Checks the lease soon, as the store may have lost it. */
  checkLease(): void
  /**
   * Claims a share of the quotas for as long as this VM's record exists.
   * @param owner the share and the description of this VM
   * @param expectedRevision the revision of the claim to replace; 0 if there must be none
   * @returns the id of the lease under which the share is claimed, a Conflict if another VM claimed it first, or another error
   */
  claimShare(owner: ShareOwner, expectedRevision: number): Promise<Result<number, StepError>>
  /** Removes the record, so that look-ups on other VMs exclude this VM immediately. */
  withdraw(): void
}

/** A record in the store. */
export interface StoredRecord {
  readonly key: string
  readonly revision: number
}

/** Writes records of this system that outlive the process. */
export interface IRecordWriter {
  /** Replaces the crash reports that this VM has written before. */
  putCrashReports(reports: CrashReports): Promise<Result<number, StepError>>
  /**
   * @param expectedRevision the revision of the quarantine to replace; 0 if there must be none
   * @returns the new revision, or a Conflict if another VM wrote it first
   */
  putQuarantine(quarantine: Quarantine, expectedRevision: number): Promise<Result<number, StepError>>
  /**
   * @param expectedRevision the revision of the member's record to replace; 0 if there must be none
   * @returns the new revision, or a Conflict if there is another one
   */
  putMember(member: FleetMember, expectedRevision: number): Promise<Result<number, StepError>>
  /**
   * @param expectedRevision the revision of the worker's limit to replace; 0 if there must be none
   * @returns the new revision, or a Conflict if another VM wrote it first
   */
  putRateLimit(limit: ObservedRateLimit, expectedRevision: number): Promise<Result<number, StepError>>
  /** Removes a record; fails with a Conflict if it has changed in the meantime. */
  remove(record: StoredRecord): Promise<Result<number, StepError>>
}
