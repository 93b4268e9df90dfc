/**
 * Divides an account's quota equally among the owners of its shares, and the tolerated
 * excess among the causes that can make an account exceed its quota.
 *
 * The callers of an account are spread over many entry VMs, which may be partitioned from
 * each other at any time. Together the VMs must stay within the quota's tolerance in every
 * window, and must not refuse requests below the quota itself.
 *
 * The quota allows rate times window plus a burst in **every** window. Therefore the buckets
 * refill at that total per window, instead of granting the burst once and the rate from then
 * on: an account just below its quota would otherwise have a sixth of its requests refused.
 * Requests of a sudden burst beyond a bucket's capacity wait for a fraction of a second.
 */
import type { AccountQuota } from '../entry/steeringDocument.js'

/** How far quotas may be exceeded, as set by operators. */
export interface QuotaTolerance {
  /** Length of the window in which requests are counted, in milliseconds. */
  readonly windowMs: number
  /** The fraction of the quota that is tolerated on top of it. */
  readonly over: number
  /** The number of requests per window that is tolerated on top of that. */
  readonly slack: number
}

/** The token bucket of an account in one of its shares. */
export interface QuotaBucketParameters {
  readonly refillPerMs: number
  /** The most requests that accumulate while none are granted. */
  readonly capacity: number
  /** Requests in the bucket of a new owner, which doesn't know what the previous owner granted. */
  readonly initialTokens: number
  /** How long a VM may hold granted tokens before a request uses them, in milliseconds. */
  readonly maxTokenAgeMs: number
}

/** The largest fraction of the tolerated excess for tokens that VMs hold in advance, so that one message serves several requests. */
const MAX_POOLED_TOLERANCE_RATIO = 0.4
/** Tokens that are held longer would be returned too late for other VMs to use them. */
const MAX_TOKEN_AGE_MS = 250
/**
 * How the remaining tolerated excess is divided: between the buckets' capacity, which serves
 * simultaneous requests and those that happen to reach one owner, and the initial tokens of
 * new owners. With two new owners of each share in one window this adds up to 1.
 */
const CAPACITY_TOLERANCE_RATIO = 0.6
const INITIAL_TOLERANCE_RATIO = 0.2
const MS_PER_SECOND = 1_000

/**
 * @param quota an account's quota
 * @param tolerance how far it may be exceeded
 * @param shareCount how many shares it is divided among
 * @returns the parameters of the account's bucket in each share
 */
export function computeBucketParameters ({ ratePerSecond, burst }: AccountQuota, { windowMs, over, slack }: QuotaTolerance, shareCount: number): QuotaBucketParameters {
  const requestsPerWindow = ratePerSecond / MS_PER_SECOND * windowMs + burst
  const refillPerMs = requestsPerWindow / windowMs
  const toleratedExcess = requestsPerWindow * over + slack
  const maxTokenAgeMs = Math.min(MAX_TOKEN_AGE_MS, toleratedExcess * MAX_POOLED_TOLERANCE_RATIO / refillPerMs)
  const remainingExcess = toleratedExcess - refillPerMs * maxTokenAgeMs
  return { refillPerMs: refillPerMs / shareCount, capacity: remainingExcess * CAPACITY_TOLERANCE_RATIO / shareCount, initialTokens: remainingExcess * INITIAL_TOLERANCE_RATIO / shareCount, maxTokenAgeMs }
}
