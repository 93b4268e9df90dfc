/** Computes how old the proof that the records are current may be, from the settings of the process. */
import type { AccessBounds } from '@umberspar/steering/common/entry/decideAccess'
import type { EntrySettings } from '../../common/entrySettings.js'

/**
 * The share of the limits for removed keys and changed home regions for which a proof is valid; the
 * rest allows for clock drift and for the time it takes to reach a worker.
 */
const PROOF_AGE_RATIO = 0.9

/**
 * @param settings the settings of the process
 * @returns the maximum ages
 */
export function createAccessBounds ({ revokeWithin, changeLimits }: EntrySettings): AccessBounds {
  const shortestChangeLimitMs = Math.min(...changeLimits)
  return {
    maxAgeToRunMs: revokeWithin === undefined ? Infinity : revokeWithin * PROOF_AGE_RATIO,
    maxAgeToDenyMs: shortestChangeLimitMs,
    maxAgeToRunHomedMs: shortestChangeLimitMs * PROOF_AGE_RATIO
  }
}
