/**
 * How many requests this entry VM may send to a cold worker. A cold worker crashes
 * when all entry VMs together send it much more than it bears; each therefore has
 * a fixed part of that, found without talk: too small a whole to give each VM one
 * request a second goes to the VMs that rank highest for the worker.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'

/** A cold worker's requests are counted over any span of this length. */
export const COLD_WINDOW_MS = 1_000
/**
 * The part of what a cold worker bears that is given out. The rest covers entry
 * VMs that know of another number of VMs for the moment, and requests that are on
 * their way for unequal times.
 */
const ALLOTTED_RATIO = 0.7

/** What operators tolerate beyond a cold worker's own figure. */
export interface ColdTolerance {
  /** Multiplies the requests a second that it bears. */
  readonly factor: number
  /** Is added, in requests a second. */
  readonly slack: number
}

/**
 * @param perSecond requests a second that the worker bears
 * @param tolerance what may go beyond
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
