/** How fresh the records are. */

/** What decisions were made by. */
export interface RecordsAge {
  readonly revision: number
  /** Since they were last known to be up to date, in milliseconds. */
  readonly ageMs: number
}
