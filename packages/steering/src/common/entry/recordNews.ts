/** What entry VMs tell each other of the records. */
import type { DocumentDelta } from './documentParts.js'
import type { RecordChanges } from './records.js'

/** All was known up to one revision, and again as of a later one. */
export interface RevisionGap {
  readonly after: number
  readonly until: number
}

/** What a VM that learns from another is told. */
export interface RecordNews extends RecordChanges {
  /** Whether `written` is everything, so that what is missing there is gone. */
  readonly isWhole: boolean
  /** If it is not everything: revisions between which the teller does not know what came and went. */
  readonly gaps: readonly RevisionGap[]
  /** If it is not everything: what changed of the configuration, which stands in `written` otherwise. */
  readonly document?: DocumentDelta | undefined
}
