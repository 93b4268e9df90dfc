/** The workers of one service, and who of them may get a request for an object. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Candidate } from './chooseUpstream.js'
import { computePairHash, PAIR_HASH_RANGE } from '../lookup/rendezvous.js'
import { divideRateLimit, type RateAllowance, type RateTolerance, type SendingNode } from '../rateLimits/rateAllowance.js'
import { COLD_SPAN_MS, type ColdTolerance, computeColdAllowance } from './coldAllowance.js'
import type { DomainDistances } from './domainDistances.js'
import { classifyHand, HandChance } from './handChance.js'
import { KeyRanking } from './keyRanking.js'
import { computeShares, type Shares } from './placeShares.js'
import { type UpstreamEntry, UpstreamState } from './records.js'
import type { ServicePolicy } from './steeringDocument.js'
import type { UpstreamTracker } from './upstreamTracker.js'
import { WarmthMemory } from './warmthMemory.js'
import type { WorkEstimate } from './workEstimate.js'

/** Where this entry VM is, and whom it shares cold workers with. */
export interface RosterPlace {
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
export interface RosterRequest {
  /** The regions that alone may serve it; empty if all may. */
  readonly homeRegions: readonly string[]
  /** What identifies the object; undefined if workers handle all alike. */
  readonly key: string | undefined
  /** Workers that this request was offered to. */
  readonly tried: ReadonlySet<string>
}

/** How many workers of an object's ranking are weighed; the next ones only if none of these may get it. */
const RANKED_DEPTH = 5

/** Slots in use, as a part, up to which there is room for any work, and from which there is none. */
const SPARE_USE = 0.4
const FULL_USE = 0.9
/** A long queue at one worker must not make the whole service look busy. */
const MOST_HELD_PER_SLOT = 2
/** How long the figure is used, in milliseconds; it walks over all workers. */
const BUSYNESS_MS = 100

/** Which objects a worker with a rate limit is used for. */
enum RateUse {
  /** As many as its limit leaves it, always the same. */
  Assigned = 'assigned',
  /** Any. */
  Tolerated = 'tolerated'
}

/** What this VM may send to a worker, and what that was computed from. */
interface KnownAllowance {
  readonly limit: number
  readonly nodes: readonly SendingNode[]
  readonly allowance: RateAllowance
}

/** The workers of one service. */
export class ServiceRoster {
  private readonly trackers = new Map<string, UpstreamTracker>()
  private readonly rankings = new Map<string, KeyRanking>()
  readonly warmth = new WarmthMemory()
  readonly hands = new HandChance()
  policy: ServicePolicy | undefined
  private readonly allowances = new Map<string, KnownAllowance>()
  private sharesByDomain: ReadonlyMap<string, Shares> | undefined
  private busyness = 0
  private busynessUntil: Instant = Number.NEGATIVE_INFINITY

  /** @param place where this entry VM is */
  constructor (private readonly place: RosterPlace) {}

  /** @returns the workers, those that leave included */
  list (): Iterable<UpstreamTracker> {
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
    if (now < this.busynessUntil) return this.busyness
    let held = 0
    let slots = 0
    for (const tracker of this.trackers.values()) {
      held += Math.min(MOST_HELD_PER_SLOT * tracker.entry.slots, tracker.countHeld(now))
      slots += tracker.entry.slots
    }
    const use = slots === 0 ? 0 : held / slots
    this.busyness = Math.min(1, Math.max(0, (use - SPARE_USE) / (FULL_USE - SPARE_USE)))
    this.busynessUntil = now + BUSYNESS_MS
    return this.busyness
  }

  /** @param tracker a worker that joined, or that changed what it says of itself */
  put (tracker: UpstreamTracker): void {
    this.trackers.set(tracker.entry.id, tracker)
    this.clearShares()
  }

  /** @param workerId a worker that is gone */
  remove (workerId: string): void {
    this.trackers.delete(workerId)
    this.warmth.removeWorker(workerId)
    this.clearShares()
  }

  /** Forgets the rankings, since a failure domain was evacuated or taken back. */
  clearRankings (): void {
    this.clearShares()
  }

  /**
   * @param request the request
   * @param work how long the route's requests take
   * @param evacuated failure domains that get nothing
   * @param now the present
   * @returns the workers that may get it now
   */
  listCandidates (request: RosterRequest, work: WorkEstimate, evacuated: ReadonlySet<string>, now: Instant): Candidate[] {
    const key = request.key ?? String(now)
    const ranks = this.readRanking(request.homeRegions, evacuated).rank(key)
    const candidates = this.findCandidates(ranks, key, request, work, now, RateUse.Assigned)
    // Rather than refuse a caller, workers get other objects too, within what operators tolerate.
    return candidates.length > 0 ? candidates : this.findCandidates(ranks, key, request, work, now, RateUse.Tolerated)
  }

  private findCandidates (ranks: readonly string[], key: string, request: RosterRequest, work: WorkEstimate, now: Instant, use: RateUse): Candidate[] {
    const candidates: Candidate[] = []
    for (const [rank, id] of ranks.entries()) {
      if (candidates.length >= RANKED_DEPTH) break
      const tracker = this.trackers.get(id)
      if (tracker === undefined || request.tried.has(id) || !this.hasColdRoom(tracker, now)) continue
      if (use === RateUse.Assigned && candidates.length === 0 && tracker.rateLimit !== undefined) tracker.demandMeter.record(now)
      if (!this.hasRateRoom(tracker, key, now, use)) continue
      candidates.push(this.buildCandidate(tracker, request.key, work, rank, now))
    }
    return candidates
  }

  private buildCandidate (tracker: UpstreamTracker, key: string | undefined, work: WorkEstimate, rank: number, now: Instant): Candidate {
    const { domain, id } = tracker.entry
    const hand = classifyHand(key !== undefined && this.warmth.has(key, id, now), rank)
    return {
      tracker,
      nearness: this.place.distances.getNearness(domain),
      roundTripMs: this.place.distances.getRoundTrip(domain),
      hand,
      // Without an object there is nothing to have at hand.
      handChance: key === undefined ? 0 : this.hands.get(hand),
      coldWorkMs: work.getWork(false),
      warmWorkMs: work.getWork(key !== undefined),
      meanWorkMs: work.getWork(key !== undefined),
      rank
    }
  }

  private hasColdRoom (tracker: UpstreamTracker, now: Instant): boolean {
    if (!tracker.isCold(now)) return true
    const perSecond = this.policy?.coldPerSecond ?? 0
    const { node, coldTolerance } = this.place
    return tracker.coldMeter.getFreeAt(computeColdAllowance(perSecond, coldTolerance, tracker.entry.id, this.place.listNodes(), node), COLD_SPAN_MS, now) <= now
  }

  /**
   * @param now the present
   * @returns how long rate limits keep this VM from all workers that name one, in milliseconds; undefined if no worker does
   */
  getRateWaitMs (now: Instant): number | undefined {
    let freeAt: Instant | undefined
    for (const tracker of this.trackers.values()) {
      if (tracker.rateLimit !== undefined) freeAt = Math.min(freeAt ?? Infinity, this.getRateFreeAt(tracker, now))
    }
    return freeAt === undefined ? undefined : freeAt - now
  }

  private hasRateRoom (tracker: UpstreamTracker, key: string, now: Instant, use: RateUse): boolean {
    if (tracker.rateLimit === undefined) return true
    const { windowMs, named, probeIntervalMs } = this.readAllowance(tracker, tracker.rateLimit)
    if (use === RateUse.Assigned) {
      // Without a part the request is a try whether the limit still holds; any object will do.
      if (named === 0) return now >= tracker.rateLimitAt + probeIntervalMs
      const demand = tracker.demandMeter.count(windowMs, now)
      if (!isAssigned(key, tracker.entry.id, named / Math.max(1, demand))) return false
    }
    return this.getRateFreeAt(tracker, now) <= now
  }

  /** @returns from when a request may be sent, as far as the worker's rate limit and what operators tolerate go */
  private getRateFreeAt (tracker: UpstreamTracker, now: Instant): Instant {
    const { rateLimit, rateMeter, rateLimitAt } = tracker
    if (rateLimit === undefined) return now
    const { windowMs, tolerated, probeIntervalMs } = this.readAllowance(tracker, rateLimit)
    return tolerated === 0 ? Math.max(now, rateLimitAt + probeIntervalMs) : rateMeter.getFreeAt(tolerated, windowMs, now)
  }

  private readAllowance ({ entry }: UpstreamTracker, limit: number): RateAllowance {
    const nodes = this.place.listSendingNodes()
    const known = this.allowances.get(entry.id)
    if (known !== undefined && known.limit === limit && known.nodes === nodes) return known.allowance
    const allowance = divideRateLimit({ perSecond: limit, workerId: entry.id, tolerance: this.place.rateTolerance }, nodes, this.countDemand(entry.id)).get(this.place.node)!
    this.allowances.set(entry.id, { limit, nodes, allowance })
    return allowance
  }

  /** @returns the part of a worker's requests that each failure domain is meant to bring */
  private countDemand (workerId: string): Map<string, number> {
    const { regionOf } = this.place
    this.sharesByDomain ??= computeShares(this.listReady(new Set()), regionOf)
    const demand = new Map<string, number>()
    for (const [domain, shares] of this.sharesByDomain) demand.set(domain, shares.get(workerId) ?? 0)
    return demand
  }

  private listReady (evacuated: ReadonlySet<string>): UpstreamEntry[] {
    return [...this.trackers.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.state === UpstreamState.Ready && !evacuated.has(entry.domain))
      .sort((left, right) => (left.id < right.id ? -1 : 1))
  }

  private clearShares (): void {
    this.rankings.clear()
    this.allowances.clear()
    this.sharesByDomain = undefined
  }

  private readRanking (homeRegions: readonly string[], evacuated: ReadonlySet<string>): KeyRanking {
    const name = homeRegions.join(' ')
    let ranking = this.rankings.get(name)
    if (ranking === undefined) {
      ranking = this.buildRanking(homeRegions, evacuated)
      this.rankings.set(name, ranking)
    }
    return ranking
  }

  private buildRanking (homeRegions: readonly string[], evacuated: ReadonlySet<string>): KeyRanking {
    const { regionOf, domain } = this.place
    const workers = this.listReady(evacuated)
      .filter((entry) => homeRegions.length === 0 || homeRegions.includes(regionOf.get(entry.domain) ?? ''))
    const shares = computeShares(workers, regionOf).get(domain) ?? new Map<string, number>()
    return new KeyRanking(shares)
  }
}

/**
 * A worker whose limit is below its demand keeps a part of its objects, and the others
 * move on. If whatever comes too much moved on, the objects of all would be worked on
 * anew at several workers.
 * @param part of its objects that it keeps
 */
function isAssigned (key: string, workerId: string, part: number): boolean {
  return computePairHash(key, `limit/${workerId}`) < PAIR_HASH_RANGE * part
}
