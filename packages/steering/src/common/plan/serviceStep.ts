/** Computes the target weights of one service and the next bounded step toward them. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { isPlaceDrained } from './placeCapacity.js'
import { computeDomainLoads, computeLinkLoads, computeWarmUpRatio, findLinkCapacity, findPlaceCapacity, mapDomainsToRegions } from './placeLoad.js'
import type { LinkLoads } from './placement.js'
import { stepRegionWithinBounds } from './regionStep.js'
import { computeTargetPlan, findUnplacedDemand } from './servicePlan.js'
import type { Demand, DomainWeights, Weights } from './servicePlan.js'
import { computeShift } from './stepPlan.js'

/** The target fills places and links up to this fraction of their capacity, so that demand can grow between two steps. */
export const TARGET_LOAD_RATIO = 0.8
/** Traffic moves off a place or link above this fraction of its capacity; the gap to {@link TARGET_LOAD_RATIO} prevents oscillation. */
export const RELIEF_LOAD_RATIO = 0.9
/** A move whose only benefit is a shorter distance starts once it shifts at least this fraction of a client region's traffic. */
export const MIN_SHIFT_RATIO = 0.05
/** A place whose workers reach this mean utilization is overloaded and gains no traffic. */
export const OVERLOAD_UTILIZATION_RATIO = 0.95

/** Shifts up to this count as none, to absorb rounding errors. */
const MAX_SETTLED_SHIFT_RATIO = 1e-6

/** The input of one step of one service. */
export interface ServiceStepInput {
  readonly configuration: SteeringConfiguration
  readonly service: string
  readonly current: Weights
  readonly demand: Demand
  /** Concurrent requests of other services on the links. */
  readonly otherLinkLoads: LinkLoads
  /** Failure domains where the service has failed. */
  readonly failed: ReadonlySet<string>
  /** How long a place has received traffic, by failure domain; a place that is left out is warm if it has traffic, else cold. */
  readonly warmingForMs: Readonly<Record<string, number>>
  /** Recently measured mean utilization of the workers, by failure domain. */
  readonly utilization: Readonly<Record<string, number>>
  /** Whether the last step belonged to a move that has not reached its target. */
  readonly isMoving: boolean
}

/** The outcome of a step decision. */
export enum StepVerdict {
  /** The weights are at the target, or a move isn't worthwhile. */
  Settled = 'settled',
  Moves = 'moves',
  /** The service should move, but no target place can gain traffic now, because of overload, warm-up or full links. */
  Paused = 'paused'
}

/** The next step of one service. */
export interface ServiceStep {
  readonly verdict: StepVerdict
  /** The weights after the step; the current ones unless the verdict is {@link StepVerdict.Moves}. */
  readonly weights: Weights
  readonly target: Weights
  /** The largest fraction of any client region's traffic that moves. */
  readonly shift: number
  /** Whether a failed place still has weight, so that the emergency cap applies. */
  readonly isEmergency: boolean
}

/**
 * @param input configuration and failures
 * @returns failure domains that the service must not use: failed or drained
 */
export function listUnusableDomains (input: Pick<ServiceStepInput, 'configuration' | 'service' | 'failed'>): Set<string> {
  const { configuration, service, failed } = input
  const unusableDomains = new Set(failed)
  for (const [domain, region] of mapDomainsToRegions(configuration)) {
    if (isPlaceDrained(configuration, service, region, domain)) unusableDomains.add(domain)
  }
  return unusableDomains
}

/** Bisection steps between the target load and the full capacity; they find the load ratio to within 1/160. */
const LOAD_RATIO_SEARCH_ROUNDS = 5

/**
 * Fills places up to the target load, or up to the lowest load ratio at which all
 * demand fits. A jump from the target load to the full capacity would make traffic
 * oscillate when the demand varies around what fits at the target load.
 */
function computeTargetWeights (input: ServiceStepInput): Weights {
  const { configuration, service, failed, demand, otherLinkLoads } = input
  const canPlaceAll = (loadRatio: number): boolean =>
    Object.keys(findUnplacedDemand(configuration, service, failed, demand, otherLinkLoads, loadRatio)).length === 0
  let maxLoadRatio = TARGET_LOAD_RATIO
  if (!canPlaceAll(maxLoadRatio)) {
    maxLoadRatio = 1
    let insufficientRatio = TARGET_LOAD_RATIO
    for (let round = 0; round < LOAD_RATIO_SEARCH_ROUNDS; round++) {
      const middleRatio = (insufficientRatio + maxLoadRatio) / 2
      if (canPlaceAll(middleRatio)) maxLoadRatio = middleRatio
      else insufficientRatio = middleRatio
    }
  }
  return computeTargetPlan(configuration, service, failed, demand, otherLinkLoads, maxLoadRatio).weights
}

/** Whether the current weights load a place or link above {@link RELIEF_LOAD_RATIO}. */
function isAboveReliefLoad (input: ServiceStepInput): boolean {
  const { configuration, service, current, demand, otherLinkLoads } = input
  for (const [domain, load] of computeDomainLoads(current, demand)) {
    if (load > RELIEF_LOAD_RATIO * findPlaceCapacity(configuration, service, domain) && load > 0) return true
  }
  const ownLinkLoads = computeLinkLoads(configuration, [{ weights: current, demand }])
  return Object.entries(ownLinkLoads).some(([clientRegion, loadByRegion]) => Object.entries(loadByRegion).some(([servingRegion, load]) => {
    return load > 0 && load + (otherLinkLoads[clientRegion]?.[servingRegion] ?? 0) > RELIEF_LOAD_RATIO * findLinkCapacity(configuration, clientRegion, servingRegion)
  }))
}

function hasWeightOn (weights: Weights, domains: ReadonlySet<string>): boolean {
  return Object.values(weights).some((region) => Object.entries(region).some(([domain, weight]) => weight > 0 && domains.has(domain)))
}

/** Whether traffic is refused because it has no weights although the target can serve it; such a move starts at once. */
function hasServableUnplannedTraffic (current: Weights, target: Weights): boolean {
  const computePlannedWeight = (weights: DomainWeights | undefined): number => Object.values(weights ?? {}).reduce((total, weight) => total + weight, 0)
  return Object.keys(target).some((clientRegion) => computePlannedWeight(target[clientRegion]) - computePlannedWeight(current[clientRegion]) > MAX_SETTLED_SHIFT_RATIO)
}

function shouldMove (input: ServiceStepInput, target: Weights, unusableDomains: ReadonlySet<string>): boolean {
  const shift = computeShift(input.current, target)
  if (shift <= MAX_SETTLED_SHIFT_RATIO) return false
  if (input.isMoving || shift >= MIN_SHIFT_RATIO) return true
  return hasWeightOn(input.current, unusableDomains) || hasServableUnplannedTraffic(input.current, target) || isAboveReliefLoad(input)
}

/**
 * Free capacity of places and links while a step is computed. Only gains are
 * counted, not losses: entry VMs apply a step one after another, so for a short time
 * a place may already have the traffic it gains and still have what it loses.
 */
class FreeStepCapacity {
  private readonly domainLoads: Map<string, number>
  private readonly usedDomains: ReadonlySet<string>
  private readonly linkLoads: Record<string, Record<string, number>> = {}
  private readonly regionByDomain: ReadonlyMap<string, string>

  constructor (private readonly input: ServiceStepInput) {
    const { configuration, current, demand, otherLinkLoads } = input
    this.domainLoads = computeDomainLoads(current, demand)
    this.usedDomains = new Set(this.domainLoads.keys())
    this.regionByDomain = mapDomainsToRegions(configuration)
    const ownLinkLoads = computeLinkLoads(configuration, [{ weights: current, demand }])
    for (const clientRegion of Object.keys(configuration.regions)) {
      const loadByRegion: Record<string, number> = {}
      for (const servingRegion of Object.keys(configuration.regions)) loadByRegion[servingRegion] = (ownLinkLoads[clientRegion]?.[servingRegion] ?? 0) + (otherLinkLoads[clientRegion]?.[servingRegion] ?? 0)
      this.linkLoads[clientRegion] = loadByRegion
    }
  }

  /** @returns the fraction of a client region's traffic that a failure domain can still gain, limited by its own capacity and its region's link */
  computeMaxGain (clientRegion: string, domain: string): number {
    const { configuration, service, demand, warmingForMs, utilization } = this.input
    const region = this.regionByDomain.get(domain) ?? ''
    const regionDemand = demand[clientRegion] ?? 0
    if ((utilization[domain] ?? 0) >= OVERLOAD_UTILIZATION_RATIO) return 0
    if (findLinkCapacity(configuration, clientRegion, region) === 0) return 0
    if (regionDemand === 0) return Infinity
    const warmUpMs = configuration.services[service]?.warmUpMs ?? 0
    // A place without any traffic has cold caches.
    const defaultWarmingForMs = this.usedDomains.has(domain) ? Infinity : 0
    const warmUpRatio = computeWarmUpRatio(warmingForMs[domain] ?? defaultWarmingForMs, warmUpMs)
    const freePlaceCapacity = findPlaceCapacity(configuration, service, domain) * warmUpRatio - (this.domainLoads.get(domain) ?? 0)
    const freeLinkCapacity = findLinkCapacity(configuration, clientRegion, region) - (this.linkLoads[clientRegion]?.[region] ?? 0)
    return Math.max(0, Math.min(freePlaceCapacity, freeLinkCapacity / this.countFailureDomains(region))) / regionDemand
  }

  /** Adds the gains of one client region's step to the loads. */
  addGains (clientRegion: string, before: DomainWeights, after: DomainWeights): void {
    const regionDemand = this.input.demand[clientRegion] ?? 0
    for (const [domain, weight] of Object.entries(after)) {
      const gain = Math.max(0, weight - (before[domain] ?? 0)) * regionDemand
      const region = this.regionByDomain.get(domain) ?? ''
      this.domainLoads.set(domain, (this.domainLoads.get(domain) ?? 0) + gain)
      const loadByRegion = this.linkLoads[clientRegion]
      if (loadByRegion !== undefined) loadByRegion[region] = (loadByRegion[region] ?? 0) + gain
    }
  }

  /** The failure domains of a region share its link: each gets an equal part, so that together they never exceed it. */
  private countFailureDomains (region: string): number {
    return this.input.configuration.regions[region]?.failureDomains.length ?? 1
  }
}

/**
 * Decides one step of one service.
 * @param input configuration, current weights and measurements
 * @returns the step; its shift never exceeds the configured cap
 */
export function decideServiceStep (input: ServiceStepInput): ServiceStep {
  const { configuration, current, failed } = input
  const target = computeTargetWeights(input)
  const unusableDomains = listUnusableDomains(input)
  const isEmergency = hasWeightOn(current, failed)
  const unmovedStep = { weights: current, target, shift: 0, isEmergency }
  if (!shouldMove(input, target, unusableDomains)) return { ...unmovedStep, verdict: StepVerdict.Settled }
  const maxShift = isEmergency ? configuration.shiftCaps.emergency : configuration.shiftCaps.planned
  const freeCapacity = new FreeStepCapacity(input)
  const weights: Record<string, DomainWeights> = {}
  for (const [clientRegion, targetWeights] of Object.entries(target)) {
    const currentWeights = current[clientRegion]
    if (currentWeights === undefined) {
      weights[clientRegion] = targetWeights
      continue
    }
    weights[clientRegion] = stepRegionWithinBounds(currentWeights, targetWeights, { maxShift, urgent: unusableDomains, getMaxGain: (domain) => freeCapacity.computeMaxGain(clientRegion, domain) })
    freeCapacity.addGains(clientRegion, currentWeights, weights[clientRegion])
  }
  const shift = computeShift(current, weights)
  if (shift <= MAX_SETTLED_SHIFT_RATIO) return { ...unmovedStep, verdict: StepVerdict.Paused }
  return { verdict: StepVerdict.Moves, weights, target, shift, isEmergency }
}
