/** The age of the records that decisions are based on. */

import type { StorePosition } from '@umberspar/steering/common/entry/storePosition'

/** Position and age of the records. */
export interface RecordsAge extends StorePosition {
  /** Time since they were last known to be current, in milliseconds. */
  readonly ageMs: number
}
