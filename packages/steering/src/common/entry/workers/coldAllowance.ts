/**
 * How many requests this entry VM may send to a worker during its cold start.
 *
 * A cold worker crashes when all entry VMs together send it much more than its limit, so each
 * has a part of the limit that it computes without coordination. If the limit is too
 * small for one request per second from each VM, only the VMs that rank highest for the worker
 * send to it.
 */
import { computeDealtPart } from '../sharing/dealRequests.js'

/** Length of the sliding window in which a cold worker's requests are counted. */
export const COLD_WINDOW_MS = 1_000
/**
 * Fraction of a cold worker's limit that is allotted. The rest covers requests that arrive later or sooner than others
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
 * @param rank this VM's rank for the worker, from 0, among all VMs that may send to it
 * @param count the number of these VMs
 * @returns the requests that this VM may send in any second
 */
export function computeColdAllowance (perSecond: number, tolerance: ColdTolerance, rank: number, count: number): number {
  return computeDealtPart(Math.floor((perSecond * tolerance.factor + tolerance.slack) * ALLOTTED_RATIO), rank, count)
}
