/**
 * How an account's quota is divided: into parts of equal rate, one for each keeper,
 * and within the tolerance that the operators give on top, into what is allowed for.
 *
 * The load pattern: the callers of an account are spread over many entry VMs, which
 * may be cut off from each other at any time; together they must stay below the
 * quota's tolerance in every window, and refuse nothing below the quota itself.
 *
 * The quota allows rate times window and a burst in **every** window. So that much is
 * given out evenly, window after window, and not the burst once and the rate from
 * then on: an account that keeps just below its quota would be refused a sixth. What
 * comes at once beyond the gathered part is served within a fraction of a second.
 */
import type { AccountQuota } from '../entry/steeringDocument.js'

/** How exactly quotas are kept, as operators set it. */
export interface QuotaTolerance {
  /** The window in which requests are counted, in milliseconds. */
  readonly windowMs: number
  /** The part of the quota that may come on top. */
  readonly over: number
  /** Requests that may come on top of that. */
  readonly slack: number
}

/** One keeper's part of an account's quota. */
export interface QuotaPart {
  /** Requests a millisecond. */
  readonly perMs: number
  /** The most that gathers while nothing is asked for, in requests. */
  readonly capacity: number
  /** What a keeper begins with, which does not know what its predecessor gave out, in requests. */
  readonly initial: number
  /** How long a VM may keep what it was given before the request came that uses it, in milliseconds. */
  readonly stockMs: number
}

/** The most of the tolerance that goes into what VMs keep in stock, which lets one message serve several requests. */
const MOST_STOCK_PART = 0.4
/** What is kept longer is given back too late to serve others, in milliseconds. */
const MOST_STOCK_MS = 250
/**
 * What the rest of the tolerance is spent on; with two new keepers of each part in one
 * window it adds up to 1. What gathers while nothing is asked for serves callers that
 * come together, or by chance to one keeper.
 */
const GATHERED_PART = 0.6
const INITIAL_PART = 0.2
const MS_PER_SECOND = 1_000

/**
 * @param quota an account's quota
 * @param tolerance how exactly it is kept
 * @param parts into how many parts it is divided
 * @returns one of the parts
 */
export function computeQuotaPart ({ ratePerSecond, burst }: AccountQuota, { windowMs, over, slack }: QuotaTolerance, parts: number): QuotaPart {
  const allowed = ratePerSecond / MS_PER_SECOND * windowMs + burst
  const perMs = allowed / windowMs
  const extra = allowed * over + slack
  const stockMs = Math.min(MOST_STOCK_MS, extra * MOST_STOCK_PART / perMs)
  const rest = extra - perMs * stockMs
  return { perMs: perMs / parts, capacity: rest * GATHERED_PART / parts, initial: rest * INITIAL_PART / parts, stockMs }
}
