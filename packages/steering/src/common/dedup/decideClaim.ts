/** What a claim that exists already means for a second arrival. */
import { type ClaimRecord, ClaimState } from './claimRecord.js'

/** What happens to the second arrival. */
export enum ClaimDecision {
  /** The first is proven not run: claim the key by compare-and-swap, then run. */
  TakeOver = 'take-over',
  /** The first may be running now: come back after it has ended. */
  Running = 'running',
  /** The first ran; it is never run again. */
  AlreadyRan = 'already-ran',
  /** The first may have run and nobody will learn more; it is never run again. */
  OutcomeUnknown = 'outcome-unknown',
  /** The key belongs to another request. */
  KeyReused = 'key-reused'
}

/** The clocks of two VMs differ; a claim counts as given up only so long after its end, in milliseconds. */
export const WALL_CLOCK_MARGIN = 5_000

const DECISION_BY_STATE: Readonly<Record<ClaimState, ClaimDecision>> = {
  [ClaimState.Running]: ClaimDecision.Running,
  [ClaimState.Done]: ClaimDecision.AlreadyRan,
  [ClaimState.NotRun]: ClaimDecision.TakeOver,
  [ClaimState.Unknown]: ClaimDecision.OutcomeUnknown
}

/**
 * A claim whose node died stays `running` in the store for ever. Its time having
 * run out says only that nobody will report its end: it may have run, so it is
 * unknown, and the wall clock never makes it runnable again.
 * @param existing the claim in the store
 * @param fingerprint of the second arrival
 * @param wallMs the present by the wall clock
 * @returns what happens to the second arrival
 */
export function decideClaim (existing: ClaimRecord, fingerprint: string, wallMs: number): ClaimDecision {
  if (existing.fingerprint !== fingerprint) return ClaimDecision.KeyReused
  const decision = DECISION_BY_STATE[existing.state]
  const isOver = wallMs > existing.endsByWallMs + WALL_CLOCK_MARGIN
  return decision === ClaimDecision.Running && isOver ? ClaimDecision.OutcomeUnknown : decision
}
