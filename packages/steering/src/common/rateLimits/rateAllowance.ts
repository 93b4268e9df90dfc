/**
 * Divides a worker's rate limit, which applies to all entry VMs together, among the VMs.
 * Every VM computes the same division, in proportion to the requests that each VM is expected
 * to send to the worker, so that the sum stays within the limit without communication.
 */
import { divideByWeight } from './divideByWeight.js'

/** Limits hold in every window of this length; limits that allow less than one request in it get a longer window. */
const MIN_WINDOW_MS = 4_000
const MAX_WINDOW_MS = 60_000
const MS_PER_SECOND = 1_000
/** The fraction of the tolerated excess that is divided; the rest covers times when VMs have different lists of VMs. */
const ALLOCATED_EXCESS_RATIO = 0.7
/**
 * VMs that get no part of a limit can't observe that it has ended. Therefore each of them sends
 * a probe request from time to time; together these stay within this fraction of the limit.
 */
const MAX_PROBE_RATIO = 0.1
const MIN_PROBE_INTERVAL_MS = 10_000
const MAX_PROBE_INTERVAL_MS = 600_000
/** Lower limits are probed as often as this one, so that their end is noticed eventually. */
const MIN_PROBED_LIMIT_PER_SECOND = 1

/** An entry VM that sends requests. */
export interface SendingNode {
  readonly name: string
  readonly domain: string
}

/** How far a limit may be exceeded, as set by operators. */
export interface RateTolerance {
  /** Multiplies the number of requests that a limit allows. */
  readonly factor: number
  /** The number of requests per window that is tolerated on top. */
  readonly slack: number
}

/** How many requests one VM may send to a worker in any window. */
export interface RateAllowance {
  readonly windowMs: number
  /** The VM's part of the worker's limit, in requests. */
  readonly maxRequests: number
  /** The VM's part of the limit with the tolerated excess, in requests; at least {@link RateAllowance.maxRequests}. */
  readonly maxToleratedRequests: number
  /** For a VM whose part is 0: the interval between probe requests, in milliseconds. */
  readonly probeIntervalMs: number
}

/** A rate limit that a worker set for all entry VMs together. */
export interface RateLimit {
  /** Requests per second. */
  readonly perSecond: number
  readonly workerId: string
  readonly tolerance: RateTolerance
}

/**
 * @param limit the limit to divide
 * @param nodes all entry VMs
 * @param demand the relative share of the worker's requests that each failure domain sends
 * @returns the allowance of each VM, by name
 */
export function divideRateLimit ({ perSecond, workerId, tolerance }: RateLimit, nodes: readonly SendingNode[], demand: ReadonlyMap<string, number>): Map<string, RateAllowance> {
  const windowMs = Math.min(MAX_WINDOW_MS, Math.max(MIN_WINDOW_MS, MS_PER_SECOND / perSecond))
  const maxRequests = Math.floor(perSecond * windowMs / MS_PER_SECOND)
  const excess = Math.floor(((tolerance.factor - 1) * maxRequests + tolerance.slack) * ALLOCATED_EXCESS_RATIO)
  const countByDomain = new Map<string, number>()
  for (const { domain } of nodes) countByDomain.set(domain, (countByDomain.get(domain) ?? 0) + 1)
  const recipients = nodes.map(({ name, domain }) => ({ name, weight: (demand.get(domain) ?? 0) / countByDomain.get(domain)! }))
  const requestParts = divideByWeight(maxRequests, recipients, workerId)
  const excessParts = divideByWeight(excess, recipients, `${workerId}/excess`)
  const nodesWithoutPart = [...requestParts.values()].filter((part) => part === 0).length
  const probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, Math.max(MIN_PROBE_INTERVAL_MS, nodesWithoutPart * MS_PER_SECOND / (Math.max(MIN_PROBED_LIMIT_PER_SECOND, perSecond) * MAX_PROBE_RATIO)))
  return new Map([...requestParts].map(([name, part]): [string, RateAllowance] => [name, { windowMs, maxRequests: part, maxToleratedRequests: part + excessParts.get(name)!, probeIntervalMs }]))
}
