/** The workers of one service, and who of them may get a request for an object. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Candidate } from './chooseUpstream.js'
import { computePairHash, PAIR_HASH_RANGE } from '../lookup/rendezvous.js'
import { divideRateLimit, type RateAllowance, type RateTolerance, type SendingNode } from '../rateLimits/rateAllowance.js'
import { COLD_WINDOW_MS, type ColdTolerance, computeColdAllowance } from './coldAllowance.js'
import type { DomainDistances } from './domainDistances.js'
import { classifyCacheState, CacheHitEstimator } from './handChance.js'
import { KeyRanking } from './keyRanking.js'
import { computeWorkerShares, type WorkerShares } from './workerShares.js'
import { type UpstreamEntry, UpstreamState } from './records.js'
import type { ServicePolicy } from './steeringDocument.js'
import type { UpstreamTracker } from './upstreamTracker.js'
import { CacheAffinity } from './cacheAffinity.js'
import type { ServiceTimeEstimate } from './serviceTimeEstimate.js'

/** Where this entry VM is, and whom it shares cold workers with. */
export interface PoolContext {
  /** This entry VM's name. */
  readonly node: string
  readonly domain: string
  readonly regionOf: ReadonlyMap<string, string>
  readonly distances: DomainDistances
  readonly coldTolerance: ColdTolerance
  readonly rateTolerance: RateTolerance
  /** @returns the names of all entry VMs, this one included */
  listNodes(): readonly string[]
  /** @returns the same with their failure domains; another list after each change */
  listSendingNodes(): readonly SendingNode[]
}

/** A request, as far as the choice depends on it. */
export interface CandidateRequest {
  /** The regions that alone may serve it; empty if all may. */
  readonly homeRegions: readonly string[]
  /** What identifies the object; undefined if workers handle all alike. */
  readonly key: string | undefined
  /** Workers that this request was offered to. */
  readonly tried: ReadonlySet<string>
}

/** How many workers of an object's ranking are weighed; the next ones only if none of these may get it. */
const MAX_CANDIDATES = 5

/** Slots in use, as a part, up to which there is room for any work, and from which there is none. */
const SPARE_UTILIZATION_RATIO = 0.4
const FULL_UTILIZATION_RATIO = 0.9
/** A long queue at one worker must not make the whole service look busy. */
const MAX_IN_FLIGHT_PER_SLOT = 2
/** How long the figure is used, in milliseconds; it walks over all workers. */
const SATURATION_VALIDITY_MS = 100

/** Which objects a worker with a rate limit is used for. */
enum RateLimitScope {
  /** As many as its limit leaves it, always the same. */
  AssignedKeys = 'assigned',
  /** Any. */
  AnyKey = 'tolerated'
}

/** What this VM may send to a worker, and what that was computed from. */
interface CachedAllowance {
  readonly limit: number
  readonly nodes: readonly SendingNode[]
  readonly allowance: RateAllowance
}

/** The workers of one service. */
export class WorkerPool {
  private readonly trackers = new Map<string, UpstreamTracker>()
  private readonly rankings = new Map<string, KeyRanking>()
  readonly cacheAffinity = new CacheAffinity()
  readonly cacheHits = new CacheHitEstimator()
  policy: ServicePolicy | undefined
  private readonly allowancesByWorker = new Map<string, CachedAllowance>()
  private sharesByDomain: ReadonlyMap<string, WorkerShares> | undefined
  private saturation = 0
  private saturationValidUntil: Instant = Number.NEGATIVE_INFINITY

  /** @param context where this entry VM is */
  constructor (private readonly context: PoolContext) {}

  /** @returns the workers, those that leave included */
  listTrackers (): Iterable<UpstreamTracker> {
    return this.trackers.values()
  }

  /**
   * @param workerId a worker
   * @returns whether it is registered
   */
  has (workerId: string): boolean {
    return this.trackers.has(workerId)
  }

  /**
   * @param now the present
   * @returns 0 while slots are to spare, 1 when there are none
   */
  getBusyness (now: Instant): number {
    if (now < this.saturationValidUntil) return this.saturation
    let inFlight = 0
    let slots = 0
    for (const tracker of this.trackers.values()) {
      inFlight += Math.min(MAX_IN_FLIGHT_PER_SLOT * tracker.entry.slots, tracker.countHeld(now))
      slots += tracker.entry.slots
    }
    const utilization = slots === 0 ? 0 : inFlight / slots
    this.saturation = Math.min(1, Math.max(0, (utilization - SPARE_UTILIZATION_RATIO) / (FULL_UTILIZATION_RATIO - SPARE_UTILIZATION_RATIO)))
    this.saturationValidUntil = now + SATURATION_VALIDITY_MS
    return this.saturation
  }

  /** @param tracker a worker that joined, or that changed what it says of itself */
  put (tracker: UpstreamTracker): void {
    this.trackers.set(tracker.entry.id, tracker)
    this.clearShares()
  }

  /** @param workerId a worker that is gone */
  remove (workerId: string): void {
    this.trackers.delete(workerId)
    this.cacheAffinity.removeWorker(workerId)
    this.clearShares()
  }

  /** Forgets the rankings, since a failure domain was evacuated or taken back. */
  clearRankings (): void {
    this.clearShares()
  }

  /**
   * @param request the request
   * @param serviceTimes how long the route's requests take
   * @param evacuated failure domains that get nothing
   * @param now the present
   * @returns the workers that may get it now
   */
  listCandidates (request: CandidateRequest, serviceTimes: ServiceTimeEstimate, evacuated: ReadonlySet<string>, now: Instant): Candidate[] {
    const key = request.key ?? String(now)
    const ranks = this.getRanking(request.homeRegions, evacuated).rank(key)
    const candidates = this.findCandidates(ranks, key, request, serviceTimes, now, RateLimitScope.AssignedKeys)
    // Rather than refuse a caller, workers get other objects too, within what operators tolerate.
    return candidates.length > 0 ? candidates : this.findCandidates(ranks, key, request, serviceTimes, now, RateLimitScope.AnyKey)
  }

  private findCandidates (ranks: readonly string[], key: string, request: CandidateRequest, serviceTimes: ServiceTimeEstimate, now: Instant, scope: RateLimitScope): Candidate[] {
    const candidates: Candidate[] = []
    for (const [rank, id] of ranks.entries()) {
      if (candidates.length >= MAX_CANDIDATES) break
      const tracker = this.trackers.get(id)
      if (tracker === undefined || request.tried.has(id) || !this.hasColdCapacity(tracker, now)) continue
      if (scope === RateLimitScope.AssignedKeys && candidates.length === 0 && tracker.rateLimit !== undefined) tracker.demandMeter.record(now)
      if (!this.hasRateCapacity(tracker, key, now, scope)) continue
      candidates.push(this.buildCandidate(tracker, request.key, serviceTimes, rank, now))
    }
    return candidates
  }

  private buildCandidate (tracker: UpstreamTracker, key: string | undefined, serviceTimes: ServiceTimeEstimate, rank: number, now: Instant): Candidate {
    const { domain, id } = tracker.entry
    const cacheState = classifyCacheState(key !== undefined && this.cacheAffinity.has(key, id, now), rank)
    return {
      tracker,
      proximity: this.context.distances.getProximity(domain),
      roundTripMs: this.context.distances.getRoundTrip(domain),
      hand: cacheState,
      // Without an object there is nothing to have at hand.
      handChance: key === undefined ? 0 : this.cacheHits.getProbability(cacheState),
      missServiceTimeMs: serviceTimes.getServiceTimeMs(false),
      hitServiceTimeMs: serviceTimes.getServiceTimeMs(key !== undefined),
      meanServiceTimeMs: serviceTimes.getServiceTimeMs(key !== undefined),
      rank
    }
  }

  private hasColdCapacity (tracker: UpstreamTracker, now: Instant): boolean {
    if (!tracker.isCold(now)) return true
    const perSecond = this.policy?.coldPerSecond ?? 0
    const { node, coldTolerance } = this.context
    return tracker.coldMeter.getFreeAt(computeColdAllowance(perSecond, coldTolerance, tracker.entry.id, this.context.listNodes(), node), COLD_WINDOW_MS, now) <= now
  }

  /**
   * @param now the present
   * @returns how long rate limits keep this VM from all workers that name one, in milliseconds; undefined if no worker does
   */
  getRateWaitMs (now: Instant): number | undefined {
    let freeAt: Instant | undefined
    for (const tracker of this.trackers.values()) {
      if (tracker.rateLimit !== undefined) freeAt = Math.min(freeAt ?? Infinity, this.getRateAvailableAt(tracker, now))
    }
    return freeAt === undefined ? undefined : freeAt - now
  }

  private hasRateCapacity (tracker: UpstreamTracker, key: string, now: Instant, scope: RateLimitScope): boolean {
    if (tracker.rateLimit === undefined) return true
    const { windowMs, named: assigned, probeIntervalMs } = this.getAllowance(tracker, tracker.rateLimit)
    if (scope === RateLimitScope.AssignedKeys) {
      // Without a part the request is a try whether the limit still holds; any object will do.
      if (assigned === 0) return now >= tracker.rateLimitAt + probeIntervalMs
      const demand = tracker.demandMeter.count(windowMs, now)
      if (!isAssigned(key, tracker.entry.id, assigned / Math.max(1, demand))) return false
    }
    return this.getRateAvailableAt(tracker, now) <= now
  }

  /** @returns from when a request may be sent, as far as the worker's rate limit and what operators tolerate go */
  private getRateAvailableAt (tracker: UpstreamTracker, now: Instant): Instant {
    const { rateLimit, rateMeter, rateLimitAt } = tracker
    if (rateLimit === undefined) return now
    const { windowMs, tolerated, probeIntervalMs } = this.getAllowance(tracker, rateLimit)
    return tolerated === 0 ? Math.max(now, rateLimitAt + probeIntervalMs) : rateMeter.getFreeAt(tolerated, windowMs, now)
  }

  private getAllowance ({ entry }: UpstreamTracker, limit: number): RateAllowance {
    const nodes = this.context.listSendingNodes()
    const cached = this.allowancesByWorker.get(entry.id)
    if (cached !== undefined && cached.limit === limit && cached.nodes === nodes) return cached.allowance
    const allowance = divideRateLimit({ perSecond: limit, workerId: entry.id, tolerance: this.context.rateTolerance }, nodes, this.computeDemandByDomain(entry.id)).get(this.context.node)!
    this.allowancesByWorker.set(entry.id, { limit, nodes, allowance })
    return allowance
  }

  /** @returns the part of a worker's requests that each failure domain is meant to bring */
  private computeDemandByDomain (workerId: string): Map<string, number> {
    const { regionOf: regionByDomain } = this.context
    this.sharesByDomain ??= computeWorkerShares(this.listReady(new Set()), regionByDomain)
    const demandByDomain = new Map<string, number>()
    for (const [domain, shares] of this.sharesByDomain) demandByDomain.set(domain, shares.get(workerId) ?? 0)
    return demandByDomain
  }

  private listReady (evacuated: ReadonlySet<string>): UpstreamEntry[] {
    return [...this.trackers.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.state === UpstreamState.Ready && !evacuated.has(entry.domain))
      .sort((left, right) => (left.id < right.id ? -1 : 1))
  }

  private clearShares (): void {
    this.rankings.clear()
    this.allowancesByWorker.clear()
    this.sharesByDomain = undefined
  }

  private getRanking (homeRegions: readonly string[], evacuated: ReadonlySet<string>): KeyRanking {
    const name = homeRegions.join(' ')
    let ranking = this.rankings.get(name)
    if (ranking === undefined) {
      ranking = this.buildRanking(homeRegions, evacuated)
      this.rankings.set(name, ranking)
    }
    return ranking
  }

  private buildRanking (homeRegions: readonly string[], evacuated: ReadonlySet<string>): KeyRanking {
    const { regionOf: regionByDomain, domain } = this.context
    const workers = this.listReady(evacuated)
      .filter((entry) => homeRegions.length === 0 || homeRegions.includes(regionByDomain.get(entry.domain) ?? ''))
    const shares = computeWorkerShares(workers, regionByDomain).get(domain) ?? new Map<string, number>()
    return new KeyRanking(shares)
  }
}

/**
 * A worker whose limit is below its demand keeps a part of its objects, and the others
 * move on. If whatever comes too much moved on, the objects of all would be worked on
 * anew at several workers.
 * @param keptRatio of its objects that it keeps
 */
function isAssigned (key: string, workerId: string, keptRatio: number): boolean {
  return computePairHash(key, `limit/${workerId}`) < PAIR_HASH_RANGE * keptRatio
}
