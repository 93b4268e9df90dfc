/** Keeps the requests that this entry VM sends to a worker within its part of the rate limit that the worker reported. */
import type { Instant } from '@umberspar/base/common/clock'
import { computeRateBudget, divideAmongDomains, isKeptKey, type RateBudget, type RateTolerance } from '../../rateLimits/rateAllowance.js'
import { computeUsablePart } from '../sharing/dealRequests.js'
import type { SharerList, Sharers } from '../sharing/sharers.js'
import { KeptKeysControl } from './keptKeysControl.js'
import type { UpstreamTracker } from './upstreamTracker.js'
import { getSendWindowMs } from './workerRate.js'

/** The interval between the probe requests of a VM without a part. At least the longest window of a limit that allows one request in it. */
const PROBE_INTERVAL_MS = 10_000
/** When to ask again while this VM may not spend its parts. */
const MEMBERSHIP_RECHECK_MS = 1_000

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
  /** The requests that this VM aims at, per window. */
  readonly aimedRequests: number
  /** The requests that this VM may send in any window; includes a part of what operators tolerate beyond the limit. */
  readonly maxRequests: number
  /** The entry VMs of this VM's failure domain among which the domain's part is divided. */
  readonly domainSharers: number
  /** Whether this VM may spend its part. */
  readonly maySpend: boolean
}

/** A division, with what this VM has sent. */
export interface RateDivisionUse extends RateDivision {
  /** Requests of this VM in the window that ends now. */
  readonly sentRequests: number
}

/** What the gate needs to know to divide limits among the entry VMs. */
export interface RateGateContext {
  /** This entry VM's failure domain. */
  readonly domain: string
  readonly rateTolerance: RateTolerance
  /** All failure domains with their regions. */
  readonly regionByDomain: ReadonlyMap<string, string>
  readonly sharers: Sharers
  /** @returns whether this VM may spend its parts of limits that are counted in a window of this length, in milliseconds */
  mayShare(windowMs: number): boolean
  /** @returns the share of each failure domain's requests that is intended for a worker */
  computeDemandByDomain(workerId: string): ReadonlyMap<string, number>
  /** Called for each new division. */
  onDivided?(division: RateDivision): void
}

/** This VM's part of one limit, with the inputs that it was computed from. */
interface CachedPart {
  readonly perSecond: number
  readonly sharers: SharerList
  readonly maySpend: boolean
  readonly budget: RateBudget
  readonly maxRequests: number
  readonly aimedRequests: number
  readonly isProber: boolean
}

/** The rate limits of one service's workers. */
export class WorkerRateGate {
  private readonly partsByWorker = new Map<string, CachedPart>()
  private readonly keptKeysByWorker = new Map<string, KeptKeysControl>()

  /** @param context this entry VM and the VMs that share the workers */
  constructor (private readonly context: RateGateContext) {}

  /** Discards the cached parts after a change of the workers. */
  clear (): void {
    this.partsByWorker.clear()
  }

  /** Discards what is known of a worker that is no longer registered. */
  remove (workerId: string): void {
    this.keptKeysByWorker.delete(workerId)
  }

  /**
   * @param tracker a worker
   * @param key identifies the request's object
   * @param now the current time
   * @param scope which keys may be sent
   * @returns whether the worker may get the request now
   */
  hasCapacity (tracker: UpstreamTracker, key: string, now: Instant, scope: RateLimitScope): boolean {
    const { rate, registration } = tracker
    if (rate.perSecond === undefined) return true
    const part = this.getPart(tracker, rate.perSecond)
    // Without a part, the request only probes whether the limit still applies; any key will do.
    if (scope === RateLimitScope.AssignedKeys && part.maxRequests > 0) {
      const { aimedRequests, budget: { windowMs } } = part
      const keptRatio = this.getKeptKeys(registration.id).update({ sentCount: rate.sentCount, demandRequests: rate.demand.count(windowMs, now), aimedRequests, windowMs }, now)
      if (!isKeptKey(key, registration.id, keptRatio)) return false
    }
    return this.getAvailableAt(tracker, now) <= now
  }

  /** @returns when this VM's part of the worker's rate limit permits the next request */
  getAvailableAt (tracker: UpstreamTracker, now: Instant): Instant {
    const { rate } = tracker
    if (rate.perSecond === undefined) return now
    const { maySpend, maxRequests, isProber, budget: { windowMs } } = this.getPart(tracker, rate.perSecond)
    if (!maySpend) return now + MEMBERSHIP_RECHECK_MS
    if (maxRequests > 0) return rate.sends.getNextAllowedAt(maxRequests, getSendWindowMs(windowMs), now)
    return isProber ? Math.max(now, rate.lastContactAt + PROBE_INTERVAL_MS) : Math.max(now, rate.lastContactAt) + PROBE_INTERVAL_MS
  }

  /** @returns the present division of a worker's limit and what this VM has sent; undefined if the worker reported none */
  readDivision (tracker: UpstreamTracker, now: Instant): RateDivisionUse | undefined {
    const { perSecond, sends } = tracker.rate
    if (perSecond === undefined) return undefined
    const part = this.getPart(tracker, perSecond)
    return { ...describePart(tracker.registration.id, part), sentRequests: sends.count(getSendWindowMs(part.budget.windowMs), now) }
  }

  private getKeptKeys (workerId: string): KeptKeysControl {
    let control = this.keptKeysByWorker.get(workerId)
    if (control === undefined) {
      control = new KeptKeysControl()
      this.keptKeysByWorker.set(workerId, control)
    }
    return control
  }

  private getPart ({ registration }: UpstreamTracker, perSecond: number): CachedPart {
    const { sharers: { ownDomain: sharers }, mayShare } = this.context
    const cached = this.partsByWorker.get(registration.id)
    const maySpend = mayShare(cached?.budget.windowMs ?? computeRateBudget({ perSecond, tolerance: this.context.rateTolerance }).windowMs)
    if (cached !== undefined && cached.perSecond === perSecond && cached.sharers === sharers && cached.maySpend === maySpend) return cached
    const part = this.computePart(registration, perSecond, sharers, maySpend)
    this.partsByWorker.set(registration.id, part)
    if (!hasSameResult(cached, part)) this.context.onDivided?.(describePart(registration.id, part))
    return part
  }

  private computePart ({ id, domain }: UpstreamTracker['registration'], perSecond: number, sharers: SharerList, maySpend: boolean): CachedPart {
    const { rateTolerance, regionByDomain } = this.context
    const budget = computeRateBudget({ perSecond, tolerance: rateTolerance })
    const domainPart = divideAmongDomains(budget, { workerId: id, domain }, regionByDomain).get(this.context.domain) ?? 0
    const maxRequests = computeUsablePart(domainPart, sharers.getRank(id), sharers.count)
    const isProber = this.context.sharers.fleet.getRank(id) < budget.maxProbers
    return { perSecond, sharers, maySpend, budget, maxRequests, aimedRequests: this.computeAim(id, budget, domainPart, maxRequests), isProber }
  }

  /** @returns the part of the limit itself that is intended for this VM's domain, in proportion to this VM's part of the domain's requests */
  private computeAim (workerId: string, { maxRequests }: RateBudget, domainPart: number, ownPart: number): number {
    if (domainPart === 0) return 0
    const demand = this.context.computeDemandByDomain(workerId)
    const totalDemand = [...demand.values()].reduce((sum, share) => sum + share, 0)
    const domainShare = totalDemand === 0 ? 1 / this.context.regionByDomain.size : (demand.get(this.context.domain) ?? 0) / totalDemand
    return Math.min(ownPart, maxRequests * domainShare * ownPart / domainPart)
  }
}

function describePart (workerId: string, { perSecond, aimedRequests, maxRequests, sharers, maySpend }: CachedPart): RateDivision {
  return { workerId, perSecond, aimedRequests, maxRequests, domainSharers: sharers.count, maySpend }
}

function hasSameResult (first: CachedPart | undefined, second: CachedPart): boolean {
  return first?.perSecond === second.perSecond && first.maxRequests === second.maxRequests && first.maySpend === second.maySpend
}
