/** The age of the records that decisions are based on. */

/** Revision and age of the records. */
export interface RecordsAge {
  readonly revision: number
  /** Time since they were last known to be current, in milliseconds. */
  readonly ageMs: number
}
