/** How old the proof of the records may be, from the process's settings. */
import type { AccessBounds } from '@umberspar/steering/common/entry/decideAccess'
import type { EntrySettings } from '../../common/entrySettings.js'

/**
 * The part of the bounds on removed keys and changed homes for which a proof counts; the
 * rest is for clocks that run unevenly and for the way to a worker.
 */
const PROOF_PART = 0.9

/**
 * @param settings the process's settings
 * @returns the bounds
 */
export function createAccessBounds ({ revokeWithin, changeLimits }: EntrySettings): AccessBounds {
  const changeWithin = Math.min(...changeLimits)
  return {
    runWithinMs: revokeWithin === undefined ? Infinity : revokeWithin * PROOF_PART,
    denyWithinMs: changeWithin,
    homeWithinMs: changeWithin * PROOF_PART
  }
}
