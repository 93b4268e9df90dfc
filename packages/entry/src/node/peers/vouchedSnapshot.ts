/** What entry VMs tell each other while the store answers only some of them. */
import type { RecordSnapshot } from '@umberspar/steering/common/entry/records'

/** What a peer is told. */
export interface VouchedSnapshot extends RecordSnapshot {
  /** Whether this VM is in touch with the store, so that the snapshot is as new as the store's. */
  readonly isVouched: boolean
}
