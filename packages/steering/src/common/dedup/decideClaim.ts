/** Decides what an existing claim means for another request with the same key. */
import { type ClaimRecord, ClaimState } from './claimRecord.js'

/** What happens to the second request. */
export enum ClaimDecision {
  /** The first request is known not to have run: the second may claim the key by compare-and-swap and run. */
  TakeOver = 'take-over',
  /** The first request may still be running: the caller may ask again after it has ended. */
  Running = 'running',
  /** The first request has run; it is never run again. */
  AlreadyRan = 'already-ran',
  /** The first request may have run and its outcome can't be determined; it is never run again. */
  OutcomeUnknown = 'outcome-unknown',
  /** The key was used for a different request. */
  KeyReused = 'key-reused'
}

/** Allows for clock skew between VMs when the end time of a claim is checked. */
export const WALL_CLOCK_MARGIN_MS = 5_000

const DECISION_BY_STATE: Readonly<Record<ClaimState, ClaimDecision>> = {
  [ClaimState.Running]: ClaimDecision.Running,
  [ClaimState.Done]: ClaimDecision.AlreadyRan,
  [ClaimState.NotRun]: ClaimDecision.TakeOver,
  [ClaimState.Unknown]: ClaimDecision.OutcomeUnknown
}

/**
 * Decides what happens to a second request. A claim whose node has failed stays
 * `running` in the store. Once its end time has passed, no final state is expected any
 * more; since the request may have run, its outcome is unknown. The wall clock never
 * allows a request to run again.
 * @param existing the stored claim
 * @param fingerprint fingerprint of the second request
 * @param wallMs the current wall clock time
 * @returns what happens to the second request
 */
export function decideClaim (existing: ClaimRecord, fingerprint: string, wallMs: number): ClaimDecision {
  if (existing.fingerprint !== fingerprint) return ClaimDecision.KeyReused
  const decision = DECISION_BY_STATE[existing.state]
  const isExpired = wallMs > existing.endsByWallMs + WALL_CLOCK_MARGIN_MS
  return decision === ClaimDecision.Running && isExpired ? ClaimDecision.OutcomeUnknown : decision
}
