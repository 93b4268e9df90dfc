/**
 * How many requests this entry VM may send to a worker that names a rate limit for
 * all entry VMs together. Every VM divides the limit in the same way, by the part
 * of the worker's requests that each is expected to bring, so that the sum holds
 * without messages.
 */
import { divideByWeight } from './apportion.js'

/** Limits are kept in any span of this length, or in a longer one for limits that allow less than one request in it. */
const WINDOW_MS = 4_000
const MAX_WINDOW_MS = 60_000
const MS_PER_SECOND = 1_000
/** The part of the tolerated excess that is given out; the rest covers VMs that know of other VMs for the moment. */
const GIVEN_EXCESS_PART = 0.7
/**
 * VMs that get no part cannot see a limit end. Each tries again now and then; all of
 * them together stay within this part of the limit.
 */
const PROBE_PART = 0.1
/** Bounds the interval between two tries of one VM. */
const MIN_PROBE_INTERVAL_MS = 10_000
const MAX_PROBE_INTERVAL_MS = 600_000
/** Lower limits, in requests a second, are probed like this one: their end must show some day. */
const MIN_PROBED_LIMIT = 1

/** One entry VM. */
export interface SendingNode {
  readonly name: string
  readonly domain: string
}

/** How far operators let a limit be exceeded. */
export interface RateTolerance {
  /** Multiplies the requests that a limit allows. */
  readonly factor: number
  /** Is added, in requests in any window. */
  readonly slack: number
}

/** What a VM may send in any window. */
export interface RateAllowance {
  readonly windowMs: number
  /** Its part of what the worker named. */
  readonly named: number
  /** Its part of what operators tolerate; not below the other. */
  readonly tolerated: number
  /** For a VM without a part: from one try to the next. */
  readonly probeIntervalMs: number
}

/** What is divided. */
export interface RateLimit {
  /** Requests a second. */
  readonly perSecond: number
  readonly workerId: string
  readonly tolerance: RateTolerance
}

/**
 * @param limit what is divided
 * @param nodes all entry VMs
 * @param demand the part of the worker's requests that each failure domain brings
 * @returns what each VM may send, by name
 */
export function divideRateLimit ({ perSecond, workerId, tolerance }: RateLimit, nodes: readonly SendingNode[], demand: ReadonlyMap<string, number>): Map<string, RateAllowance> {
  const windowMs = Math.min(MAX_WINDOW_MS, Math.max(WINDOW_MS, MS_PER_SECOND / perSecond))
  const named = Math.floor(perSecond * windowMs / MS_PER_SECOND)
  const excess = Math.floor(((tolerance.factor - 1) * named + tolerance.slack) * GIVEN_EXCESS_PART)
  const countByDomain = new Map<string, number>()
  for (const { domain } of nodes) countByDomain.set(domain, (countByDomain.get(domain) ?? 0) + 1)
  const claimants = nodes.map(({ name, domain }) => ({ name, weight: (demand.get(domain) ?? 0) / countByDomain.get(domain)! }))
  const namedParts = divideByWeight(named, claimants, workerId)
  const excessParts = divideByWeight(excess, claimants, `${workerId}/excess`)
  const without = [...namedParts.values()].filter((part) => part === 0).length
  const probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, Math.max(MIN_PROBE_INTERVAL_MS, without * MS_PER_SECOND / (Math.max(MIN_PROBED_LIMIT, perSecond) * PROBE_PART)))
  return new Map([...namedParts].map(([name, part]) => [name, { windowMs, named: part, tolerated: part + excessParts.get(name)!, probeIntervalMs }]))
}
