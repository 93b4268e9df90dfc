/** Records with what is needed to replace them in the store. */
import type { ShareOwner } from './records.js'

/** The holder of a quota share, and the revision of its claim. */
export interface ShareClaim {
  readonly owner: ShareOwner
  readonly revision: number
}

/** A record's value, with the key and revision needed to replace or remove the record. */
export interface StoredRecord<T> {
  readonly key: string
  readonly revision: number
  readonly value: T
}
