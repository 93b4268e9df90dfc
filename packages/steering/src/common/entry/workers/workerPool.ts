/** The workers of one service, and the selection of candidates for a request. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Candidate } from './chooseUpstream.js'
import type { RateTolerance } from '../../rateLimits/rateAllowance.js'
import type { Sharers } from '../sharing/sharers.js'
import { COLD_WINDOW_MS, type ColdTolerance, computeColdAllowance } from './coldAllowance.js'
import type { DomainRoundTrips } from '../placement/domainRoundTrips.js'
import { classifyCacheState, CacheHitEstimator } from './cacheHitEstimator.js'
import { DemandPlacement, type PlacedWorker } from '../placement/demandPlacement.js'
import { KeyRanking } from '../placement/keyRanking.js'
import { computeWorkerShares, type WorkerShares } from '../placement/workerShares.js'
import type { UpstreamRegistration } from '../records.js'
import type { ServicePolicy } from '../steeringDocument.js'
import { type Unavailability, UnavailabilityReason } from '../admission/unavailability.js'
import type { UpstreamTracker } from './upstreamTracker.js'
import { CacheAffinity } from './cacheAffinity.js'
import { PoolSaturation } from './poolSaturation.js'
import { type RateDivision, type RateDivisionUse, RateLimitScope, WorkerRateGate } from './workerRateGate.js'
import type { ServiceTimeEstimate } from './serviceTimeEstimate.js'

/** What a pool needs to know about its entry VM and the entry VMs that share the workers. */
export interface PoolContext {
  /** This entry VM's failure domain. */
  readonly domain: string
  readonly regionByDomain: ReadonlyMap<string, string>
  readonly roundTrips: DomainRoundTrips
  readonly coldTolerance: ColdTolerance
  readonly rateTolerance: RateTolerance
  /** The part of a region's requests that placement by demand may move to other regions within two seconds; undefined if demand counts as equal everywhere. */
  readonly maxShift?: number | undefined
  /** The VMs among which the limits of workers are divided. */
  readonly sharers: Sharers
  /** @returns whether this VM may spend its parts of limits that are counted in a window of this length, in milliseconds */
  mayShare(windowMs: number): boolean
  /** Called when this VM's part of a worker's rate limit has been computed anew. */
  onRateLimitDivided?(division: RateDivision): void
}

/** The properties of a request that decide which workers are candidates. */
export interface CandidateRequest {
  /** The only regions that may serve the request; empty if all may. */
  readonly homeRegions: readonly string[]
  /** Identifies the object; undefined if workers cache nothing for the route. */
  readonly key: string | undefined
  /** Ids of the workers that this request was already sent to. */
  readonly triedWorkers: ReadonlySet<string>
  /** Whether the request was looked at before, and has waited since. */
  readonly hasWaited?: boolean
}

/**
 * Limit on the workers that are scored, in the order of the key's ranking; workers that can't
 * get the request are skipped.
 */
const MAX_CANDIDATES = 5

/** The workers of one service. */
export class WorkerPool {
  private readonly trackers = new Map<string, UpstreamTracker>()
  private readonly rankings = new Map<string, KeyRanking>()
  readonly cacheAffinity = new CacheAffinity()
  readonly cacheHits = new CacheHitEstimator()
  policy: ServicePolicy | undefined
  /** Undefined if demand counts as equal everywhere. */
  readonly placement: DemandPlacement | undefined
  private readonly rateGate: WorkerRateGate
  private sharesByDomain: ReadonlyMap<string, WorkerShares> | undefined
  private readonly saturation = new PoolSaturation()

  /** @param context this entry VM and the VMs that share the workers */
  constructor (private readonly context: PoolContext) {
    const { domain, maxShift, regionByDomain } = context
    this.placement = maxShift === undefined ? undefined : new DemandPlacement(maxShift, domain, regionByDomain)
    this.rateGate = new WorkerRateGate({ ...context, onDivided: (division) => context.onRateLimitDivided?.(division), computeDemandByDomain: (workerId) => this.computeDemandByDomain(workerId) })
  }

  /** @returns all registered workers, draining ones included */
  listTrackers (): Iterable<UpstreamTracker> {
    return this.trackers.values()
  }

  /** @returns the rate limits that workers report, as divided at present */
  listRateDivisions (now: Instant): RateDivisionUse[] {
    return [...this.trackers.values()].flatMap((tracker) => this.rateGate.readDivision(tracker, now) ?? [])
  }

  /** @returns the number of workers that may get requests */
  countAvailable (): number {
    let count = 0
    for (const { isDraining } of this.trackers.values()) if (!isDraining) count++
    return count
  }

  /**
   * @param workerId a worker
   * @returns the worker as this VM observed it; undefined if it is not registered
   */
  find (workerId: string): UpstreamTracker | undefined {
    return this.trackers.get(workerId)
  }

  /**
   * @param workerId a worker
   * @returns whether it is registered
   */
  has (workerId: string): boolean {
    return this.trackers.has(workerId)
  }

  /**
   * @param now the current time
   * @returns the saturation of the service, from 0 (free slots) to 1 (no free slots)
   */
  getSaturation (now: Instant): number {
    return this.saturation.get(this.trackers.values(), now)
  }

  /**
   * Adds a worker, or updates one whose registration has changed.
   * @param tracker the worker
   */
  put (tracker: UpstreamTracker): void {
    this.trackers.set(tracker.registration.id, tracker)
    this.clearRankings()
  }

  /** @param workerId a worker that is no longer registered */
  remove (workerId: string): void {
    this.trackers.delete(workerId)
    this.cacheAffinity.removeWorker(workerId)
    this.rateGate.remove(workerId)
    this.clearRankings()
  }

  /**
   * Discards the cached rankings after an evacuation of a failure domain has started or ended, or
   * after a worker has announced in a response that it drains.
   */
  clearRankings (): void {
    this.rankings.clear()
    this.rateGate.clear()
    this.sharesByDomain = undefined
  }

  /**
   * Lets the placement follow the demand.
   * @param perSecondByRegion requests per second for the service by region; undefined if unknown
   * @param evacuatedDomains failure domains that get no requests
   * @param now the current time
   * @returns whether the shares of the workers have changed
   */
  updateDemand (perSecondByRegion: ReadonlyMap<string, number> | undefined, evacuatedDomains: ReadonlySet<string>, now: Instant): boolean {
    const listWorkers = (homeRegions: readonly string[]): PlacedWorker[] => this.listEligible(homeRegions, evacuatedDomains).map((tracker) => {
      const { id, domain, slots } = tracker.registration
      return { id, domain, slots, isPaused: tracker.advisory.isPaused(now), isCold: tracker.isCold(now) }
    })
    const objectCount = [...this.rankings.values()].reduce((sum, { keyCount }) => sum + keyCount, 0)
    const hasChanged = this.placement?.update({ perSecondByRegion, coldPerSecond: this.policy?.coldPerSecond ?? 0, objectCount, listWorkers }, now) ?? false
    if (hasChanged) this.rankings.clear()
    return hasChanged
  }

  /**
   * @param request the request
   * @param serviceTimes service times of the request's route
   * @param evacuatedDomains failure domains that get no requests
   * @param now the current time
   * @returns the workers that may get the request now
   */
  listCandidates (request: CandidateRequest, serviceTimes: ServiceTimeEstimate, evacuatedDomains: ReadonlySet<string>, now: Instant): Candidate[] {
    const key = request.key ?? String(now)
    const ranking = this.getRanking(request.homeRegions, evacuatedDomains)
    const candidates = this.findCandidates(ranking.listRanked(key), key, request, serviceTimes, now, RateLimitScope.AssignedKeys)
    // Rather than reject the request, allow keys that are not assigned to a worker, within the configured
    // tolerance.
    return candidates.length > 0 ? candidates : this.findCandidates(ranking.listRanked(key), key, request, serviceTimes, now, RateLimitScope.AnyKey)
  }

  private findCandidates (ranks: Iterable<string>, key: string, request: CandidateRequest, serviceTimes: ServiceTimeEstimate, now: Instant, scope: RateLimitScope): Candidate[] {
    const candidates: Candidate[] = []
    let rank = -1
    for (const id of ranks) {
      rank++
      const tracker = this.trackers.get(id)
      if (tracker === undefined || request.triedWorkers.has(id) || tracker.advisory.isPaused(now) || !this.hasColdCapacity(tracker, now)) continue
      if (scope === RateLimitScope.AssignedKeys && candidates.length === 0 && tracker.rate.perSecond !== undefined && request.hasWaited !== true) tracker.rate.demand.record(now)
      if (!this.rateGate.hasCapacity(tracker, key, now, scope)) continue
      candidates.push(this.buildCandidate(tracker, request.key, serviceTimes, rank, candidates[0], now))
      if (candidates.length >= MAX_CANDIDATES) break
    }
    return candidates
  }

  private buildCandidate (tracker: UpstreamTracker, key: string | undefined, serviceTimes: ServiceTimeEstimate, rank: number, first: Candidate | undefined, now: Instant): Candidate {
    const { domain, id } = tracker.registration
    const cacheState = classifyCacheState(key !== undefined && this.cacheAffinity.has(key, id, now), rank)
    const isFirstBusy = first?.rank !== 0 || first.tracker.countInFlight(now) >= first.tracker.registration.slots
    const isSecondCopy = rank === 1 && isFirstBusy && tracker.load.isShared(now)
    return {
      tracker,
      proximity: this.context.roundTrips.getProximity(domain),
      roundTripMs: this.context.roundTrips.getRoundTripMs(domain),
      cacheState,
      // Without a key there is no cache entry to hit.
      cacheHitProbability: key === undefined ? 0 : this.cacheHits.getProbability(cacheState, isSecondCopy),
      firstHitProbability: first?.rank === 0 ? first.cacheHitProbability : 1,
      isFirstBusy,
      missServiceTimeMs: serviceTimes.getServiceTimeMs(false),
      hitServiceTimeMs: serviceTimes.getServiceTimeMs(key !== undefined),
      meanServiceTimeMs: serviceTimes.getServiceTimeMs(key !== undefined),
      rank
    }
  }

  private hasColdCapacity (tracker: UpstreamTracker, now: Instant): boolean {
    if (!tracker.isCold(now)) return true
    const { coldTolerance, sharers: { fleet }, mayShare } = this.context
    if (!mayShare(COLD_WINDOW_MS)) return false
    const allowance = computeColdAllowance(this.policy?.coldPerSecond ?? 0, coldTolerance, fleet.getRank(tracker.registration.id), fleet.count)
    return tracker.rate.sends.getNextAllowedAt(allowance, COLD_WINDOW_MS, now) <= now
  }

  /**
   * @param homeRegions the only regions that may serve the request; empty if all may
   * @param evacuatedDomains failure domains that get no requests
   * @param now the current time
   * @returns when the first of the workers that rate limits or cool-downs keep from getting
   *   requests may get one; undefined if there is no such worker
   */
  findUnavailability (homeRegions: readonly string[], evacuatedDomains: ReadonlySet<string>, now: Instant): Unavailability | undefined {
    let earliest: Unavailability | undefined
    for (const tracker of this.listEligible(homeRegions, evacuatedDomains)) {
      const isPaused = tracker.advisory.isPaused(now)
      if (!isPaused && tracker.rate.perSecond === undefined) continue
      const until = Math.max(now, tracker.advisory.pausedUntil, this.rateGate.getAvailableAt(tracker, now))
      if (earliest === undefined || until < earliest.until) earliest = { reason: isPaused ? UnavailabilityReason.CoolingDown : UnavailabilityReason.RateLimited, until }
    }
    return earliest
  }

  /**
   * Demand counts as equal here: the demand in force differs among VMs, whose parts of a limit would add up to more.
   * @returns the share of each failure domain's requests that is intended for the worker
   */
  private computeDemandByDomain (workerId: string): Map<string, number> {
    this.sharesByDomain ??= computeWorkerShares(this.listRegistrations([], new Set()), this.context.regionByDomain)
    const demandByDomain = new Map<string, number>()
    for (const [domain, shares] of this.sharesByDomain) demandByDomain.set(domain, shares.get(workerId) ?? 0)
    return demandByDomain
  }

  /** @returns the workers that may get requests, if not now then later */
  private listEligible (homeRegions: readonly string[], evacuatedDomains: ReadonlySet<string>): UpstreamTracker[] {
    return [...this.trackers.values()].filter(({ isDraining, registration: { domain } }) => {
      const isHome = homeRegions.length === 0 || homeRegions.includes(this.context.regionByDomain.get(domain) ?? '')
      return !isDraining && isHome && !evacuatedDomains.has(domain)
    })
  }

  private listRegistrations (homeRegions: readonly string[], evacuatedDomains: ReadonlySet<string>): UpstreamRegistration[] {
    return this.listEligible(homeRegions, evacuatedDomains)
      .map(({ registration }) => registration)
      .sort((left, right) => (left.id < right.id ? -1 : 1))
  }

  private getRanking (homeRegions: readonly string[], evacuatedDomains: ReadonlySet<string>): KeyRanking {
    const name = homeRegions.join(' ')
    let ranking = this.rankings.get(name)
    if (ranking === undefined) {
      ranking = this.buildRanking(homeRegions, evacuatedDomains)
      this.rankings.set(name, ranking)
    }
    return ranking
  }

  private buildRanking (homeRegions: readonly string[], evacuatedDomains: ReadonlySet<string>): KeyRanking {
    const { regionByDomain, domain } = this.context
    this.placement?.addHomeRegions(homeRegions)
    const shares = computeWorkerShares(this.listRegistrations(homeRegions, evacuatedDomains), regionByDomain, this.placement?.demand).get(domain) ?? new Map<string, number>()
    return new KeyRanking(shares)
  }
}
