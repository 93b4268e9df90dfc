/**
 * What a change of drains would do: the steps that the planner would take under
 * the demand of now, what the places would carry after each, and how long it
 * takes. It runs the planner's own step decision, so both agree.
 */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computeDomainLoads, computeLinkUse, findPlaceCapacity, mapDomainsToRegions } from './placeLoad.js'
import type { LinkUse } from './placement.js'
import { computeRegionCapacities } from './placeCapacity.js'
import type { Demand, Weights } from './servicePlan.js'
import { findUnplaced } from './servicePlan.js'
import { decideServiceStep, listForbidden, type ServiceStep, StepVerdict } from './serviceStep.js'

/** What a prediction starts from. */
export interface DrainPredictionInput {
  /** With the drains that are asked about. */
  readonly configuration: SteeringConfiguration
  /** Present weights by service. */
  readonly weights: Readonly<Record<string, Weights>>
  /** Requests at a time by service and client region. */
  readonly demand: Readonly<Record<string, Demand>>
  /** Failure domains where a service has failed, by service. */
  readonly failed: Readonly<Record<string, ReadonlySet<string>>>
}

/** One predicted step. */
export interface PredictedStep {
  readonly service: string
  /** Since the change, in milliseconds. */
  readonly afterMs: number
  /** The largest part of a client region's traffic that moves. */
  readonly shift: number
}

/** One place once the steps are done. */
export interface PredictedPlace {
  readonly service: string
  readonly failureDomain: string
  /** Requests at a time that it can take; 0 if drained. */
  readonly capacity: number
  /** Requests at a time planned there before and after. */
  readonly loadBefore: number
  readonly loadAfter: number
  /** The part of its capacity that stays free; 0 if drained. */
  readonly headroom: number
}

/** Why a change does not fit. */
export interface MisfitReason {
  readonly service: string
  /** Requests at a time that find no room. */
  readonly unplaced: number
  readonly demand: number
  readonly capacity: number
  readonly message: string
}

/** The prediction. */
export interface DrainPrediction {
  readonly fits: boolean
  readonly reasons: readonly MisfitReason[]
  readonly steps: readonly PredictedStep[]
  readonly places: readonly PredictedPlace[]
  /** Until the last step has settled, without requests that run longer, in milliseconds. */
  readonly totalMs: number
}

/** A prediction ends after so many steps of one service; every drain that fits needs fewer. */
const MAX_STEPS = 1000

function computeTotal (values: Iterable<number>): number {
  return [...values].reduce((sum, value) => sum + value, 0)
}

function listOthersUse (input: DrainPredictionInput, weights: Readonly<Record<string, Weights>>, service: string): LinkUse {
  const others = Object.entries(weights).filter(([other]) => other !== service)
  return computeLinkUse(input.configuration, others.map(([other, own]) => ({ weights: own, demand: input.demand[other] ?? {} })))
}

/**
 * @param input configuration and demand
 * @returns every service whose demand would find no room; empty if the drains fit together
 */
export function findMisfits (input: DrainPredictionInput): MisfitReason[] {
  const { configuration } = input
  return Object.keys(configuration.services).flatMap((service) => {
    const demand = input.demand[service] ?? {}
    const failed = input.failed[service] ?? new Set<string>()
    const unplaced = computeTotal(Object.values(findUnplaced(configuration, service, failed, demand, listOthersUse(input, input.weights, service), 1)))
    if (unplaced <= 0) return []
    const capacity = computeTotal([...computeRegionCapacities(configuration, service, failed).values()].map((region) => region.total))
    const total = computeTotal(Object.values(demand))
    const message = `'${service}' carries ${total.toFixed(1)} requests at a time; with these drains its places and the links to them have room for ${(total - unplaced).toFixed(1)}`
    return [{ service, unplaced, demand: total, capacity, message }]
  })
}

/** One service during the simulation. */
interface SimulatedService {
  readonly service: string
  weights: Weights
  isMoving: boolean
  warmingFromMs: Record<string, number>
}

function decideSimulated (input: DrainPredictionInput, all: readonly SimulatedService[], one: SimulatedService, atMs: number): ServiceStep {
  const weights = Object.fromEntries(all.map((each) => [each.service, each.weights]))
  return decideServiceStep({
    configuration: input.configuration,
    service: one.service,
    current: one.weights,
    demand: input.demand[one.service] ?? {},
    linkUse: listOthersUse(input, weights, one.service),
    failed: input.failed[one.service] ?? new Set(),
    warmingForMs: Object.fromEntries(Object.entries(one.warmingFromMs).map(([domain, from]) => [domain, atMs - from])),
    utilization: {},
    isMoving: one.isMoving
  })
}

function applySimulated (one: SimulatedService, step: ServiceStep, atMs: number): void {
  const before = computeDomainLoads(one.weights, {})
  for (const domain of computeDomainLoads(step.weights, {}).keys()) {
    if (!before.has(domain)) one.warmingFromMs[domain] = atMs
  }
  one.weights = step.weights
  one.isMoving = true
}

/**
 * @param input what the prediction starts from
 * @returns steps, loads and time; where the change does not fit, the steps up to where it stops
 */
export function predictDrain (input: DrainPredictionInput): DrainPrediction {
  const { configuration } = input
  const { settleMs } = configuration.shiftCaps
  const all: SimulatedService[] = Object.entries(input.weights)
    .filter(([service]) => configuration.services[service] !== undefined)
    .map(([service, weights]) => ({ service, weights, isMoving: false, warmingFromMs: {} }))
  const steps: PredictedStep[] = []
  for (let round = 0; round < MAX_STEPS; round++) {
    const atMs = round * settleMs
    let isMoving = false
    for (const one of all) {
      const step = decideSimulated(input, all, one, atMs)
      if (step.verdict === StepVerdict.Settled) continue
      isMoving ||= step.verdict === StepVerdict.Moves || isWarming(configuration, one, atMs)
      if (step.verdict !== StepVerdict.Moves) continue
      applySimulated(one, step, atMs)
      steps.push({ service: one.service, afterMs: atMs, shift: step.shift })
    }
    if (!isMoving) break
  }
  const reasons = findMisfits(input)
  const totalMs = steps.length === 0 ? 0 : (steps.at(-1)?.afterMs ?? 0) + settleMs
  return { fits: reasons.length === 0, reasons, steps, places: listPlaces(input, all), totalMs }
}

function isWarming (configuration: SteeringConfiguration, one: SimulatedService, atMs: number): boolean {
  const spanMs = configuration.services[one.service]?.warmUpMs ?? 0
  return Object.values(one.warmingFromMs).some((from) => atMs - from < spanMs)
}

function listPlaces (input: DrainPredictionInput, all: readonly SimulatedService[]): PredictedPlace[] {
  const { configuration } = input
  const domains = [...mapDomainsToRegions(configuration).keys()]
  return all.flatMap(({ service, weights }) => {
    const demand = input.demand[service] ?? {}
    const before = computeDomainLoads(input.weights[service] ?? {}, demand)
    const after = computeDomainLoads(weights, demand)
    const forbidden = listForbidden({ configuration, service, failed: input.failed[service] ?? new Set() })
    return domains.filter((domain) => configuration.services[service]?.places[domain] !== undefined).map((failureDomain) => {
      const capacity = forbidden.has(failureDomain) ? 0 : findPlaceCapacity(configuration, service, failureDomain)
      const loadAfter = after.get(failureDomain) ?? 0
      const headroom = capacity === 0 ? 0 : 1 - loadAfter / capacity
      return { service, failureDomain, capacity, loadBefore: before.get(failureDomain) ?? 0, loadAfter, headroom }
    })
  })
}
