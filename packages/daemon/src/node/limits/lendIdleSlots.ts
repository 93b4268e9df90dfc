/** Decides which slots of a place are lent to a peer. */
import type { Instant } from '@umberspar/base/common/clock'
import type { LoanAnswer, LoanRequest } from '@umberspar/steering/common/ports/peers'
import type { PlacePool } from '../places/placePool.js'

/**
 * Computes the number of free slots that the place needs itself: its mean demand
 * plus one standard deviation of a Poisson distribution with that mean, less the
 * slots in use. A loan is returned only when it becomes idle at the borrower, so
 * slots that are lent too generously are missing here for long.
 */
function computeReservedSlots (pool: PlacePool, now: Instant, isLeaving: boolean): number {
  if (isLeaving) return 0
  if (pool.waiting > 0) return Infinity
  const meanDemand = pool.getMeanDemand(now)
  return Math.max(0, Math.round(meanDemand + Math.sqrt(meanDemand)) - pool.inFlight)
}

/**
 * Lends idle slots; when this returns, the pool no longer uses them.
 * @param pool the pool of the place
 * @param request a peer's request
 * @param now the current time
 * @param isLeaving whether this node is leaving and needs no slots itself
 * @returns the loan, with 0 slots if nothing was lent
 */
export function lendIdleSlots (pool: PlacePool, request: LoanRequest, now: Instant, isLeaving: boolean): LoanAnswer {
  // A borrower learns of a drain from its lender alone; without a loan it doesn't have to.
  if (pool.isDraining(request.workerId)) return { loanId: request.loanId, slots: 0, connections: 0, deadline: now }
  const answer = pool.ledger.lend(request, now, computeReservedSlots(pool, now, isLeaving))
  if (answer.slots > 0) pool.applyLedger()
  return answer
}
