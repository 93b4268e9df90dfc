/** Updates of records that entry VMs send each other. */
import type { DocumentDelta } from './documentParts.js'
import type { RecordChanges } from './records.js'

/**
 * Revisions between which records may have been written and removed unseen: everything is
 * known up to `after` and, from a snapshot, as of `until`.
 */
export interface RevisionGap {
  readonly after: number
  readonly until: number
}

/** A record that the store has lost and that stays in force for a while, unless its writer writes it again. */
export interface UnconfirmedRecord {
  readonly key: string
  /** How much longer it stays in force, in milliseconds. */
  readonly remainingMs: number
}

/** An update for a VM that replicates from another one. */
export interface RecordUpdate extends RecordChanges {
  /** Whether this is a full update: `written` holds all records, and others no longer exist. */
  readonly isWhole: boolean
  /** In a partial update, the gaps in which the sender does not know what was written and removed. */
  readonly gaps: readonly RevisionGap[]
  /** In a full update, those of the written records that the sender gives up unless they are written again. */
  readonly unconfirmed?: readonly UnconfirmedRecord[] | undefined
  /** In a partial update, the changes of the configuration; a full update has it in `written`. */
  readonly document?: DocumentDelta | undefined
}
