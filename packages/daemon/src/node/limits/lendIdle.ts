/** The lender's side: what of a place may go to a peer. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import type { LoanAnswer, LoanRequest } from '@umberspar/steering/common/ports/peers'
import type { PlacePool } from '../places/placePool.js'

/** A place that got no request for so long lends its last slot as well. */
const QUIET_SPAN_MS = 5000

function computeKept (pool: PlacePool, now: Instant, isLeaving: boolean): number {
  if (isLeaving) return 0
  if (pool.waiting > 0) return Infinity
  return hasPassed(createDeadline(pool.askedAt, QUIET_SPAN_MS), now) ? 0 : 1
}

/**
 * Lends idle slots; they are out of the pool's use when this returns.
 * @param pool the place
 * @param request a peer's wish
 * @param now the present
 * @param isLeaving whether this node stops and needs nothing more
 * @returns what was lent
 */
export function lendIdle (pool: PlacePool, request: LoanRequest, now: Instant, isLeaving: boolean): LoanAnswer {
  const answer = pool.ledger.lend(request, now, computeKept(pool, now, isLeaving))
  if (answer.slots > 0) pool.applyLedger()
  return answer
}
