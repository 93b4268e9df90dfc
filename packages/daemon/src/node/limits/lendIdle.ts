/** The lender's side: what of a place may go to a peer. */
import type { Instant } from '@umberspar/base/common/clock'
import type { LoanAnswer, LoanRequest } from '@umberspar/steering/common/ports/peers'
import type { PlacePool } from '../places/placePool.js'

/**
 * Keeps what the place needs itself: its mean demand and one standard deviation
 * of a Poisson number with that mean. A loan comes back only when it falls idle
 * at the borrower, so what is lent too freely is missed here for long.
 */
function computeKept (pool: PlacePool, now: Instant, isLeaving: boolean): number {
  if (isLeaving) return 0
  if (pool.waiting > 0) return Infinity
  const mean = pool.getMeanDemand(now)
  return Math.max(0, Math.round(mean + Math.sqrt(mean)) - pool.inFlight)
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
  // A borrower hears of a drain from its lender alone; what it does not hold it
  // need not be told of.
  if (pool.isDraining(request.workerId)) return { loanId: request.loanId, slots: 0, connections: 0, deadline: now }
  const answer = pool.ledger.lend(request, now, computeKept(pool, now, isLeaving))
  if (answer.slots > 0) pool.applyLedger()
  return answer
}
