/** The ports to the place where the deployment's records last: reading them, and registering this entry VM. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import type { RevisionReading } from '../entry/recordProof.js'
import type { EntryNode, RecordChanges, RecordSnapshot, ShareKeeper } from '../entry/records.js'
import type { CrashReports, Quarantine } from '../quarantine/crashReport.js'

/** Who uses the records. */
export interface SteeringListener {
  /** @returns the revision up to which everything is known, from whatever source */
  getRevision(): number
  onSnapshot(snapshot: RecordSnapshot): void
  onChanges(changes: RecordChanges): void
  /** The store told how far it is, on a question. */
  onReading(reading: RevisionReading): void
  /**
   * @param reason why the source does not answer, in a few words
   * @param since when it answered last
   */
  onLost(reason: string, since: Instant): void
  onRegained(): void
}

/** Reads the records, and follows their changes while asked to, until closed. */
export interface ISteeringSource extends IClosable {
  /**
   * Reads everything once, as often as it takes to succeed. The operators' records are
   * read as they are then; the others may be seconds old, and what follows makes good for it.
   * @param listener who is told, from now on
   */
  start(listener: SteeringListener): void
  /** Reads everything once more, for a VM that does not follow changes. */
  readAgain(): void
  /** @param isWatching whether changes are followed from now on, and the store is asked now and then how far it is */
  setWatching(isWatching: boolean): void
}

/** How long what this VM claimed is surely its own. */
export interface Tenure {
  /** Claims under another one are void. */
  readonly id: number
  readonly until: Instant
}

/** Keeps this entry VM's own record for as long as it serves. */
export interface INodeRegistration extends IClosable {
  /** Prepares for registering while the records are read for the first time. */
  start(): void
  /**
   * Writes the record, again if it is missing.
   * @param node what to say of this VM
   */
  register(node: EntryNode): void
  /**
   * How long this VM's claims surely last, on the clock that counts suspensions;
   * undefined while it is not registered.
   */
  readonly tenure: Tenure | undefined
  /**
   * Claims a share of the quotas for as long as this VM's record lasts.
   * @param keeper what to say of this VM
   * @param expectedRevision of the claim that it replaces; 0 if there must be none
   * @returns the id of the tenure under which it stands, a Conflict if another VM came first, or why it could not be made
   */
  claimShare(keeper: ShareKeeper, expectedRevision: number): Promise<Result<number, StepError>>
  /** Removes the record, so that look-ups elsewhere leave this VM out at once. */
  withdraw(): void
}

/** A record as it stands in the store. */
export interface StoredRecord {
  readonly key: string
  readonly revision: number
}

/** Writes records of this system's own that last beyond the life of this process. */
export interface IRecordWriter {
  /** Replaces what this VM reported before. */
  putCrashReports(reports: CrashReports): Promise<Result<number, StepError>>
  /**
   * @param expectedRevision of the quarantine that it replaces; 0 if there must be none
   * @returns its revision, or a Conflict if another VM came first
   */
  putQuarantine(quarantine: Quarantine, expectedRevision: number): Promise<Result<number, StepError>>
  /** Removes a record; a Conflict if it has changed meanwhile. */
  remove(record: StoredRecord): Promise<Result<number, StepError>>
}
