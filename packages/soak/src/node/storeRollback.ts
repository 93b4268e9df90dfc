/** Makes the store of a run come back from an older copy. */
import type { IClock } from '@umberspar/base/common/clock'
import type { RecordStoreStandIn } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { waitFor } from '@umberspar/testing/node/waiting'

/** Within this time, the operator and the workers write again what the store has lost. */
const MAX_REWRITE_DELAY_MS = 1_800
/** Revisions that the store loses beyond those whose changes are written again. */
const LOST_REVISIONS = 5

/**
 * Takes a copy of the store, and goes back to it after a while.
 * @param clock for waiting
 * @param store the store
 * @param ageMs how old the copy is when the store comes back from it, in milliseconds
 * @param rewriteRatio when the writers write again, relative to their limit, 0 to 1
 * @param onReset called just before the store goes back
 */
export async function runStoreRollback (clock: IClock, store: RecordStoreStandIn, ageMs: number, rewriteRatio: number, onReset: () => void = () => {}): Promise<void> {
  const copy = store.state.createCopy()
  store.writeUnchanged(LOST_REVISIONS)
  await waitFor(clock, ageMs)
  onReset()
  const lost = store.state.createCopy()
  store.resetTo(copy)
  await waitFor(clock, MAX_REWRITE_DELAY_MS * rewriteRatio)
  store.writeAgain(lost, copy)
}
