/** Where one service's traffic should go next: the target, and one bounded step toward it. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { isPlaceDrained } from './placeCapacity.js'
import { computeDomainLoads, computeLinkUse, computeWarmPart, findLinkCapacity, findPlaceCapacity, mapDomainsToRegions } from './placeLoad.js'
import type { LinkUse } from './placement.js'
import { stepRegionWithin } from './regionStep.js'
import { computeTargetPlan, findUnplaced } from './servicePlan.js'
import type { Demand, DomainWeights, Weights } from './servicePlan.js'
import { computeShift } from './stepPlan.js'

/** The part of capacity up to which the target fills places and links, so that demand may grow between two steps. */
export const TARGET_LOAD = 0.8
/** A place or link above this part of its capacity is relieved; the gap to `TARGET_LOAD` prevents moves to and fro. */
export const RELIEF_LOAD = 0.9
/** Moves that only bring traffic nearer wait until so much of a client region's traffic gains by it. */
export const LEAST_GAIN = 0.05
/** Mean utilization of a place's workers from which it counts as overloaded and gets nothing more. */
export const OVERLOAD = 0.95

const SETTLED_SHIFT = 1e-6

/** Everything that a step of one service depends on. */
export interface ServiceStepInput {
  readonly configuration: SteeringConfiguration
  readonly service: string
  readonly current: Weights
  readonly demand: Demand
  /** What other services put on links. */
  readonly linkUse: LinkUse
  /** Failure domains where the service has failed. */
  readonly failed: ReadonlySet<string>
  /** How long a place has had traffic, in milliseconds; places left out are warm. */
  readonly warmingForMs: Readonly<Record<string, number>>
  /** Mean utilization of the workers by failure domain, measured lately. */
  readonly utilization: Readonly<Record<string, number>>
  /** Whether the last step belonged to a move that has not arrived. */
  readonly isMoving: boolean
}

/** Why a service does or does not move. */
export enum StepVerdict {
  /** Nothing to gain. */
  Settled = 'settled',
  Moves = 'moves',
  /** It should move, but no place that could take traffic has room now: overload, warm-up or full links. */
  Paused = 'paused'
}

/** The next step of one service. */
export interface ServiceStep {
  readonly verdict: StepVerdict
  /** The weights after the step; the current ones unless it moves. */
  readonly weights: Weights
  readonly target: Weights
  /** The largest part of a client region's traffic that moves. */
  readonly shift: number
  readonly isEmergency: boolean
}

/**
 * @param input configuration and failures
 * @returns failure domains where the service must not be
 */
export function listForbidden (input: Pick<ServiceStepInput, 'configuration' | 'service' | 'failed'>): Set<string> {
  const { configuration, service, failed } = input
  const forbidden = new Set(failed)
  for (const [domain, region] of mapDomainsToRegions(configuration)) {
    if (isPlaceDrained(configuration, service, region, domain)) forbidden.add(domain)
  }
  return forbidden
}

/** Halvings between the target load and the whole capacity; finds the fill level to 1/160. */
const FILL_ROUNDS = 5

/**
 * Fills places to the target load, or evenly higher if the demand needs it. A
 * jump from the target load to the whole capacity would let demand that varies
 * around that border move traffic to and fro.
 */
function computeTarget (input: ServiceStepInput): Weights {
  const { configuration, service, failed, demand, linkUse } = input
  const isPlaced = (loadLimit: number): boolean =>
    Object.keys(findUnplaced(configuration, service, failed, demand, linkUse, loadLimit)).length === 0
  let loadLimit = TARGET_LOAD
  if (!isPlaced(loadLimit)) {
    loadLimit = 1
    let tooLow = TARGET_LOAD
    for (let round = 0; round < FILL_ROUNDS; round++) {
      const middle = (tooLow + loadLimit) / 2
      if (isPlaced(middle)) loadLimit = middle
      else tooLow = middle
    }
  }
  return computeTargetPlan(configuration, service, failed, demand, linkUse, loadLimit).weights
}

/** Whether the present weights put more on a place or link than the relief limit. */
function isAboveRelief (input: ServiceStepInput): boolean {
  const { configuration, service, current, demand, linkUse } = input
  for (const [domain, load] of computeDomainLoads(current, demand)) {
    if (load > RELIEF_LOAD * findPlaceCapacity(configuration, service, domain) && load > 0) return true
  }
  const own = computeLinkUse(configuration, [{ weights: current, demand }])
  return Object.entries(own).some(([from, row]) => Object.entries(row).some(([to, load]) => {
    return load > 0 && load + (linkUse[from]?.[to] ?? 0) > RELIEF_LOAD * findLinkCapacity(configuration, from, to)
  }))
}

function hasWeightOn (weights: Weights, domains: ReadonlySet<string>): boolean {
  return Object.values(weights).some((region) => Object.entries(region).some(([domain, weight]) => weight > 0 && domains.has(domain)))
}

/** Nothing planned for a region that could be served is refused traffic; it moves at once. */
function hasRefused (current: Weights, target: Weights): boolean {
  const countPlanned = (weights: DomainWeights | undefined): number => Object.values(weights ?? {}).reduce((total, weight) => total + weight, 0)
  return Object.keys(target).some((client) => countPlanned(target[client]) - countPlanned(current[client]) > SETTLED_SHIFT)
}

function shouldMove (input: ServiceStepInput, target: Weights, forbidden: ReadonlySet<string>): boolean {
  const shift = computeShift(input.current, target)
  if (shift <= SETTLED_SHIFT) return false
  if (input.isMoving || shift >= LEAST_GAIN) return true
  return hasWeightOn(input.current, forbidden) || hasRefused(input.current, target) || isAboveRelief(input)
}

/**
 * Room of places and links while a step is put together. Only gains are counted:
 * entry VMs take a step over one after another, so for a moment a place may
 * already have what it gains and still have what it loses.
 */
class StepRoom {
  private readonly loads: Map<string, number>
  private readonly used: ReadonlySet<string>
  private readonly links: Record<string, Record<string, number>> = {}
  private readonly regionOf: ReadonlyMap<string, string>

  constructor (private readonly input: ServiceStepInput) {
    const { configuration, current, demand, linkUse } = input
    this.loads = computeDomainLoads(current, demand)
    this.used = new Set(this.loads.keys())
    this.regionOf = mapDomainsToRegions(configuration)
    const own = computeLinkUse(configuration, [{ weights: current, demand }])
    for (const from of Object.keys(configuration.regions)) {
      const row: Record<string, number> = {}
      for (const to of Object.keys(configuration.regions)) row[to] = (own[from]?.[to] ?? 0) + (linkUse[from]?.[to] ?? 0)
      this.links[from] = row
    }
  }

  /** The part of a client region's traffic that a failure domain can still take, its region's link considered. */
  getRoom (client: string, domain: string): number {
    const { configuration, service, demand, warmingForMs, utilization } = this.input
    const region = this.regionOf.get(domain) ?? ''
    const wanted = demand[client] ?? 0
    if ((utilization[domain] ?? 0) >= OVERLOAD) return 0
    if (findLinkCapacity(configuration, client, region) === 0) return 0
    if (wanted === 0) return Infinity
    const warmUpSpanMs = configuration.services[service]?.warmUpMs ?? 0
    // A place that has no traffic at all has nothing in its caches.
    const knownWarm = this.used.has(domain) ? Infinity : 0
    const warmPart = computeWarmPart(warmingForMs[domain] ?? knownWarm, warmUpSpanMs)
    const placeRoom = findPlaceCapacity(configuration, service, domain) * warmPart - (this.loads.get(domain) ?? 0)
    const linkRoom = findLinkCapacity(configuration, client, region) - (this.links[client]?.[region] ?? 0)
    return Math.max(0, Math.min(placeRoom, linkRoom / this.countDomains(region))) / wanted
  }

  /** Takes a region's step into account. */
  add (client: string, from: DomainWeights, to: DomainWeights): void {
    const wanted = this.input.demand[client] ?? 0
    for (const [domain, weight] of Object.entries(to)) {
      const gain = Math.max(0, weight - (from[domain] ?? 0)) * wanted
      const region = this.regionOf.get(domain) ?? ''
      this.loads.set(domain, (this.loads.get(domain) ?? 0) + gain)
      const row = this.links[client]
      if (row !== undefined) row[region] = (row[region] ?? 0) + gain
    }
  }

  /** Domains of one region share its link: each gets an equal part, so that together they never exceed it. */
  private countDomains (region: string): number {
    return this.input.configuration.regions[region]?.failureDomains.length ?? 1
  }
}

/**
 * Decides one step of one service.
 * @param input what it depends on
 * @returns the step; its shift never exceeds the operators' cap
 */
export function decideServiceStep (input: ServiceStepInput): ServiceStep {
  const { configuration, current, failed } = input
  const target = computeTarget(input)
  const forbidden = listForbidden(input)
  const isEmergency = hasWeightOn(current, failed)
  const settled = { weights: current, target, shift: 0, isEmergency }
  if (!shouldMove(input, target, forbidden)) return { ...settled, verdict: StepVerdict.Settled }
  const cap = isEmergency ? configuration.shiftCaps.emergency : configuration.shiftCaps.planned
  const room = new StepRoom(input)
  const weights: Record<string, DomainWeights> = {}
  for (const [client, wanted] of Object.entries(target)) {
    const from = current[client]
    if (from === undefined) {
      weights[client] = wanted
      continue
    }
    weights[client] = stepRegionWithin(from, wanted, { cap, urgent: forbidden, getRoom: (domain) => room.getRoom(client, domain) })
    room.add(client, from, weights[client])
  }
  const shift = computeShift(current, weights)
  if (shift <= SETTLED_SHIFT) return { ...settled, verdict: StepVerdict.Paused }
  return { verdict: StepVerdict.Moves, weights, target, shift, isEmergency }
}
