/**
 * How many requests this entry VM may send to a worker during its cold start.
 *
 * A cold worker crashes when all entry VMs together send it much more than its limit, so each
 * has a fixed part of the limit that it computes without coordination. If the limit is too
 * small for one request per second from each VM, only the VMs that rank highest for the worker
 * send to it.
 */
import { rankByRendezvous } from '../../lookup/rendezvous.js'

/** Length of the sliding window in which a cold worker's requests are counted. */
export const COLD_WINDOW_MS = 1_000
/**
 * Fraction of a cold worker's limit that is allotted. The rest covers entry VMs that have a
 * different list of VMs for a moment, and requests that arrive later or sooner than others
 * sent at the same time.
 */
const ALLOTTED_RATIO = 0.7

/** The configured tolerance beyond a cold worker's limit. */
export interface ColdTolerance {
  /** Factor on the limit. */
  readonly factor: number
  /** Addition to the limit, in requests per second. */
  readonly slack: number
}

/**
 * @param perSecond limit of the worker, in requests per second
 * @param tolerance the configured tolerance beyond the limit
 * @param workerId the worker
 * @param nodes the names of all entry VMs, this one included
 * @param node this entry VM's name
 * @returns the requests that this VM may send in any second
 */
export function computeColdAllowance (perSecond: number, tolerance: ColdTolerance, workerId: string, nodes: readonly string[], node: string): number {
  const total = Math.floor((perSecond * tolerance.factor + tolerance.slack) * ALLOTTED_RATIO)
  const perNode = Math.floor(total / Math.max(1, nodes.length))
  if (perNode >= 1) return perNode
  return rankByRendezvous(workerId, nodes).slice(0, total).includes(node) ? 1 : 0
}
