/**
 * Divides a worker's rate limit, which applies to all entry VMs together, among the VMs.
 *
 * Failure domains have fixed parts, which follow from the settings alone, and within a domain the part is dealt
 * among all VMs that may send (see `dealRequests`). So the sum stays within the limit without communication, also while
 * the lists of VMs or workers change and reach VMs at different times.
 */
import { computePairHash, PAIR_HASH_RANGE } from '../lookup/rendezvous.js'
import { divideByWeight } from './divideByWeight.js'

/** Limits hold in every window of this length; limits that allow less than one request in it get a longer window. */
export const MIN_WINDOW_MS = 4_000
const MAX_WINDOW_MS = 60_000
const MS_PER_SECOND = 1_000
/** The fraction of the tolerated excess that is divided. A part of the rest is for probes. */
const ALLOCATED_EXCESS_RATIO = 0.8
/** The fraction of the tolerated excess that probes may use, and the most that they use if the excess is small. */
const PROBE_EXCESS_RATIO = 0.1
const MAX_PROBE_EXCESS_RATIO = 0.4
/**
 * The part of a limit that is meant for the VMs of the worker's own region, if there are others. Most requests for a worker
 * come from its region, but where a service has few workers, they come from all regions alike. With the tolerated
 * excess, the parts suffice for the whole limit in both cases.
 */
const OWN_REGION_RATIO = 0.7

/** How far a limit may be exceeded, as set by operators. */
export interface RateTolerance {
  /** Multiplies the number of requests that a limit allows. */
  readonly factor: number
  /** The number of requests per window that is tolerated on top. */
  readonly slack: number
}

/** A rate limit that a worker set for all entry VMs together. */
export interface RateLimit {
  /** Requests per second. */
  readonly perSecond: number
  readonly workerId: string
  /** The worker's failure domain. */
  readonly domain: string
  readonly tolerance: RateTolerance
}

/** A limit as a whole number of requests per window. */
export interface RateBudget {
  readonly windowMs: number
  /** The requests that the limit allows in a window. */
  readonly maxRequests: number
  /** The requests that are divided among the VMs: the limit and a part of the tolerated excess. */
  readonly dividedRequests: number
  /** The VMs without a part that may send a probe request from time to time, to learn of the limit's end. */
  readonly maxProbers: number
}

/**
 * @param limit the limit
 * @returns the limit in requests per window
 */
export function computeRateBudget ({ perSecond, tolerance }: Pick<RateLimit, 'perSecond' | 'tolerance'>): RateBudget {
  const windowMs = Math.min(MAX_WINDOW_MS, Math.max(MIN_WINDOW_MS, MS_PER_SECOND / perSecond))
  const maxRequests = Math.floor(perSecond * windowMs / MS_PER_SECOND)
  const excess = (tolerance.factor - 1) * maxRequests + tolerance.slack
  return {
    windowMs,
    maxRequests,
    dividedRequests: maxRequests + Math.floor(excess * ALLOCATED_EXCESS_RATIO),
    maxProbers: Math.floor(Math.min(excess * MAX_PROBE_EXCESS_RATIO, Math.max(1, excess * PROBE_EXCESS_RATIO)))
  }
}

/**
 * @param budget the limit in requests per window
 * @param limit the limit
 * @param regionByDomain all failure domains with their regions, as in the settings of all VMs
 * @returns the part of each failure domain, in requests per window; the parts add up to the divided requests
 */
export function divideAmongDomains ({ dividedRequests }: RateBudget, { workerId, domain }: Pick<RateLimit, 'workerId' | 'domain'>, regionByDomain: ReadonlyMap<string, string>): Map<string, number> {
  const ownRegion = regionByDomain.get(domain)
  const names = [...regionByDomain.keys()]
  const ownCount = names.filter((name) => regionByDomain.get(name) === ownRegion).length
  const hasOthers = ownCount > 0 && ownCount < names.length
  const recipients = names.map((name) => {
    const isOwn = regionByDomain.get(name) === ownRegion
    const weight = isOwn ? OWN_REGION_RATIO / ownCount : (1 - OWN_REGION_RATIO) / (names.length - ownCount)
    return { name, weight: hasOthers ? weight : 1 }
  })
  return divideByWeight(dividedRequests, recipients, workerId)
}

/**
 * Whether a worker with a rate limit below its demand keeps a key. It keeps a fixed subset of
 * its keys, and the others move to the next worker. If instead each request beyond the limit
 * moved, all of the keys would be cache misses at several workers.
 * @param key identifies an object
 * @param workerId the worker
 * @param keptRatio fraction of its keys that the worker keeps
 */
export function isKeptKey (key: string, workerId: string, keptRatio: number): boolean {
  return computePairHash(key, `limit/${workerId}`) < PAIR_HASH_RANGE * keptRatio
}
