/** The ports to the place where the deployment's records last: reading them, and registering this entry VM. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { EntryNode, RecordChanges, RecordSnapshot } from '../entry/records.js'

/** Who uses the records. */
export interface SteeringListener {
  /** @returns the revision up to which everything is known, from whatever source */
  getRevision(): number
  onSnapshot(snapshot: RecordSnapshot): void
  onChanges(changes: RecordChanges): void
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
   * Reads everything once, as often as it takes to succeed. What is read may be
   * seconds old; what follows makes good for it.
   * @param listener who is told, from now on
   */
  start(listener: SteeringListener): void
  /** Reads everything once more, for a VM that does not follow changes. */
  readAgain(): void
  /** @param isWatching whether changes are followed from now on */
  setWatching(isWatching: boolean): void
}

/** Keeps this entry VM's own record for as long as it serves. */
export interface INodeRegistration extends IClosable {
  /**
   * Writes the record, again if it is missing.
   * @param node what to say of this VM
   */
  register(node: EntryNode): void
  /** Removes the record, so that look-ups elsewhere leave this VM out at once. */
  withdraw(): void
}
