/** Keeps the requests that this entry VM sends to a worker within its part of the rate limit that the worker reported. */
import type { Instant } from '@umberspar/base/common/clock'
import { computePairHash, PAIR_HASH_RANGE } from '../../lookup/rendezvous.js'
import { divideRateLimit, type RateAllowance, type RateTolerance, type SendingNode } from '../../rateLimits/rateAllowance.js'
import type { UpstreamTracker } from './upstreamTracker.js'

/** Which keys may be sent to a worker that reported a rate limit. */
export enum RateLimitScope {
  /** Only the fixed subset of keys that fits within the limit. */
  AssignedKeys = 'assigned',
  /** All keys. */
  AnyKey = 'tolerated'
}

/** How a worker's rate limit is divided at present, as this VM sees it. */
export interface RateDivision {
  readonly workerId: string
  /** Requests per second that the worker accepts from all entry VMs together. */
  readonly perSecond: number
  /** This VM's part, in requests per window. */
  readonly maxRequests: number
  /** This VM's part with the tolerated excess, in requests per window. */
  readonly maxToleratedRequests: number
  /** The entry VMs among which the limit is divided. */
  readonly sharers: number
  /** Those of them in this VM's failure domain. */
  readonly domainSharers: number
}

/** A division, with what this VM has sent. */
export interface RateDivisionUse extends RateDivision {
  /** Requests of this VM in the window that ends now. */
  readonly sentRequests: number
}

/** What the gate needs to know to divide limits among the entry VMs. */
export interface RateGateContext {
  /** This entry VM's name. */
  readonly node: string
  readonly domain: string
  readonly rateTolerance: RateTolerance
  /** @returns the entry VMs with their failure domains; a new array after each change */
  listSendingNodes(): readonly SendingNode[]
  /** @returns the share of each failure domain's requests that is intended for a worker */
  computeDemandByDomain(workerId: string): ReadonlyMap<string, number>
  /** Called for each new division. */
  onDivided?(division: RateDivision): void
}

/** The rate that this VM may send to a worker, with the inputs it was computed from. */
interface CachedAllowance {
  readonly limit: number
  readonly nodes: readonly SendingNode[]
  readonly allowance: RateAllowance
}

/** The rate limits of one service's workers. */
export class WorkerRateGate {
  private readonly allowancesByWorker = new Map<string, CachedAllowance>()

  /** @param context this entry VM and the VMs that share the workers */
  constructor (private readonly context: RateGateContext) {}

  /** Discards the cached divisions after a change of the workers. */
  clear (): void {
    this.allowancesByWorker.clear()
  }

  /**
   * @param tracker a worker
   * @param key identifies the request's object
   * @param now the current time
   * @param scope which keys may be sent
   * @returns whether the worker may get the request now
   */
  hasCapacity (tracker: UpstreamTracker, key: string, now: Instant, scope: RateLimitScope): boolean {
    if (tracker.rateLimit === undefined) return true
    const { windowMs, maxRequests: assigned, probeIntervalMs } = this.getAllowance(tracker, tracker.rateLimit)
    if (scope === RateLimitScope.AssignedKeys) {
      // Without an assigned rate, the request only probes whether the limit still applies; any key will do.
      if (assigned === 0) return now >= tracker.rateLimitAt + probeIntervalMs
      const demand = tracker.demandMeter.count(windowMs, now)
      if (!isAssigned(key, tracker.registration.id, assigned / Math.max(1, demand))) return false
    }
    return this.getAvailableAt(tracker, now) <= now
  }

  /** @returns when the worker's rate limit, with the configured tolerance, permits the next request */
  getAvailableAt (tracker: UpstreamTracker, now: Instant): Instant {
    const { rateLimit, rateMeter, rateLimitAt } = tracker
    if (rateLimit === undefined) return now
    const { windowMs, maxToleratedRequests, probeIntervalMs } = this.getAllowance(tracker, rateLimit)
    return maxToleratedRequests === 0 ? Math.max(now, rateLimitAt + probeIntervalMs) : rateMeter.getNextAllowedAt(maxToleratedRequests, windowMs, now)
  }

  /** @returns the present division of a worker's limit and what this VM has sent; undefined if the worker reported none */
  readDivision (tracker: UpstreamTracker, now: Instant): RateDivisionUse | undefined {
    const { rateLimit, rateMeter } = tracker
    if (rateLimit === undefined) return undefined
    const allowance = this.getAllowance(tracker, rateLimit)
    return { ...this.describe(tracker.registration.id, rateLimit, allowance), sentRequests: rateMeter.count(allowance.windowMs, now) }
  }

  private describe (workerId: string, perSecond: number, { maxRequests, maxToleratedRequests }: RateAllowance): RateDivision {
    const nodes = this.context.listSendingNodes()
    return { workerId, perSecond, maxRequests, maxToleratedRequests, sharers: nodes.length, domainSharers: nodes.filter(({ domain }) => domain === this.context.domain).length }
  }

  private getAllowance ({ registration }: UpstreamTracker, limit: number): RateAllowance {
    const nodes = this.context.listSendingNodes()
    const cached = this.allowancesByWorker.get(registration.id)
    if (cached !== undefined && cached.limit === limit && cached.nodes === nodes) return cached.allowance
    const allowance = divideRateLimit({ perSecond: limit, workerId: registration.id, tolerance: this.context.rateTolerance }, nodes, this.context.computeDemandByDomain(registration.id)).get(this.context.node)!
    this.allowancesByWorker.set(registration.id, { limit, nodes, allowance })
    this.context.onDivided?.(this.describe(registration.id, limit, allowance))
    return allowance
  }
}

/**
 * Whether a worker with a rate limit below its demand keeps a key. It keeps a fixed subset of
 * its keys, and the others move to the next worker. If instead each request beyond the limit
 * moved, all of the keys would be cache misses at several workers.
 * @param keptRatio fraction of its keys that the worker keeps
 */
function isAssigned (key: string, workerId: string, keptRatio: number): boolean {
  return computePairHash(key, `limit/${workerId}`) < PAIR_HASH_RANGE * keptRatio
}
