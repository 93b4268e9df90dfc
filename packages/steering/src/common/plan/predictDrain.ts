/**
 * Predicts the effect of a change of drains: the steps that the planner would take at
 * the current demand, the load of each place before and after, and the total time. It
 * calls the planner's own step decision, so that both agree.
 */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computeDomainLoads, computeLinkLoads, findPlaceCapacity, mapDomainsToRegions } from './placeLoad.js'
import type { LinkLoads } from './placement.js'
import { computeRegionCapacities } from './placeCapacity.js'
import type { Demand, Weights } from './servicePlan.js'
import { findUnplacedDemand } from './servicePlan.js'
import { decideServiceStep, listUnusableDomains, type ServiceStep, StepVerdict } from './serviceStep.js'

/** The input of a prediction. */
export interface DrainPredictionInput {
  /** The configuration with the drains to predict. */
  readonly configuration: SteeringConfiguration
  /** Current weights by service. */
  readonly weights: Readonly<Record<string, Weights>>
  /** Concurrent requests by service and client region. */
  readonly demand: Readonly<Record<string, Demand>>
  /** Failure domains where a service has failed, by service. */
  readonly failed: Readonly<Record<string, ReadonlySet<string>>>
}

/** One predicted step. */
export interface PredictedStep {
  readonly service: string
  /** Time since the change of drains. */
  readonly afterMs: number
  /** The largest fraction of any client region's traffic that moves. */
  readonly shift: number
}

/** One place, before the first and after the last step. */
export interface PredictedPlace {
  readonly service: string
  readonly failureDomain: string
  /** Its capacity in concurrent requests; 0 if the place is drained or has failed. */
  readonly capacity: number
  /** Concurrent requests planned there before the first step. */
  readonly loadBefore: number
  /** Concurrent requests planned there after the last step. */
  readonly loadAfter: number
  /** The fraction of its capacity that stays free; 0 if the place is drained or has failed. */
  readonly headroom: number
}

/** A service whose demand exceeds the capacity that a change of drains leaves. */
export interface CapacityShortfall {
  readonly service: string
  /** Concurrent requests that exceed the capacity of places and links. */
  readonly unplaced: number
  readonly demand: number
  readonly capacity: number
  readonly message: string
}

/** The predicted effect of a change of drains. */
export interface DrainPrediction {
  readonly fits: boolean
  readonly reasons: readonly CapacityShortfall[]
  readonly steps: readonly PredictedStep[]
  readonly places: readonly PredictedPlace[]
  /** Time until the last step has settled, without waiting for requests that run longer. */
  readonly totalMs: number
}

/** A prediction ends after this many rounds of one step for each service; every drain that fits needs fewer. */
const MAX_ROUNDS = 1000

function computeSum (values: Iterable<number>): number {
  return [...values].reduce((sum, value) => sum + value, 0)
}

function computeOtherLinkLoads (input: DrainPredictionInput, weights: Readonly<Record<string, Weights>>, service: string): LinkLoads {
  const others = Object.entries(weights).filter(([other]) => other !== service)
  return computeLinkLoads(input.configuration, others.map(([other, own]) => ({ weights: own, demand: input.demand[other] ?? {} })))
}

/**
 * @param input configuration and demand
 * @returns every service whose demand would exceed the capacity; empty if all demand fits
 */
export function findCapacityShortfalls (input: DrainPredictionInput): CapacityShortfall[] {
  const { configuration } = input
  return Object.keys(configuration.services).flatMap((service) => {
    const demand = input.demand[service] ?? {}
    const failed = input.failed[service] ?? new Set<string>()
    const unplaced = computeSum(Object.values(findUnplacedDemand(configuration, service, failed, demand, computeOtherLinkLoads(input, input.weights, service), 1)))
    if (unplaced <= 0) return []
    const capacity = computeSum([...computeRegionCapacities(configuration, service, failed).values()].map((region) => region.total))
    const total = computeSum(Object.values(demand))
    const message = `service '${service}' has ${total.toFixed(1)} concurrent requests; with these drains its places and the links to them can serve only ${(total - unplaced).toFixed(1)}`
    return [{ service, unplaced, demand: total, capacity, message }]
  })
}

/** The simulated state of one service. */
interface SimulatedService {
  readonly service: string
  weights: Weights
  isMoving: boolean
  warmingSinceMs: Record<string, number>
}

function decideSimulatedStep (input: DrainPredictionInput, allServices: readonly SimulatedService[], simulated: SimulatedService, atMs: number): ServiceStep {
  const weights = Object.fromEntries(allServices.map((each) => [each.service, each.weights]))
  return decideServiceStep({
    configuration: input.configuration,
    service: simulated.service,
    current: simulated.weights,
    demand: input.demand[simulated.service] ?? {},
    otherLinkLoads: computeOtherLinkLoads(input, weights, simulated.service),
    failed: input.failed[simulated.service] ?? new Set(),
    warmingForMs: Object.fromEntries(Object.entries(simulated.warmingSinceMs).map(([domain, warmingSinceMs]) => [domain, atMs - warmingSinceMs])),
    utilization: {},
    isMoving: simulated.isMoving
  })
}

function applySimulatedStep (simulated: SimulatedService, step: ServiceStep, atMs: number): void {
  const before = computeDomainLoads(simulated.weights, {})
  for (const domain of computeDomainLoads(step.weights, {}).keys()) {
    if (!before.has(domain)) simulated.warmingSinceMs[domain] = atMs
  }
  simulated.weights = step.weights
  simulated.isMoving = true
}

/**
 * @param input configuration, current weights, demand and failures
 * @returns steps, loads and time; if the demand doesn't fit, the steps up to where the move stops
 */
export function predictDrain (input: DrainPredictionInput): DrainPrediction {
  const { configuration } = input
  const { settleMs } = configuration.shiftCaps
  const simulatedServices: SimulatedService[] = Object.entries(input.weights)
    .filter(([service]) => configuration.services[service] !== undefined)
    .map(([service, weights]) => ({ service, weights, isMoving: false, warmingSinceMs: {} }))
  const steps: PredictedStep[] = []
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const atMs = round * settleMs
    let isMoving = false
    for (const simulated of simulatedServices) {
      const step = decideSimulatedStep(input, simulatedServices, simulated, atMs)
      if (step.verdict === StepVerdict.Settled) continue
      isMoving ||= step.verdict === StepVerdict.Moves || isWarming(configuration, simulated, atMs)
      if (step.verdict !== StepVerdict.Moves) continue
      applySimulatedStep(simulated, step, atMs)
      steps.push({ service: simulated.service, afterMs: atMs, shift: step.shift })
    }
    if (!isMoving) break
  }
  const reasons = findCapacityShortfalls(input)
  const totalMs = steps.length === 0 ? 0 : (steps.at(-1)?.afterMs ?? 0) + settleMs
  return { fits: reasons.length === 0, reasons, steps, places: listPlaces(input, simulatedServices), totalMs }
}

function isWarming (configuration: SteeringConfiguration, simulated: SimulatedService, atMs: number): boolean {
  const warmUpMs = configuration.services[simulated.service]?.warmUpMs ?? 0
  return Object.values(simulated.warmingSinceMs).some((warmingSinceMs) => atMs - warmingSinceMs < warmUpMs)
}

function listPlaces (input: DrainPredictionInput, simulatedServices: readonly SimulatedService[]): PredictedPlace[] {
  const { configuration } = input
  const domains = [...mapDomainsToRegions(configuration).keys()]
  return simulatedServices.flatMap(({ service, weights }) => {
    const demand = input.demand[service] ?? {}
    const before = computeDomainLoads(input.weights[service] ?? {}, demand)
    const after = computeDomainLoads(weights, demand)
    const unusableDomains = listUnusableDomains({ configuration, service, failed: input.failed[service] ?? new Set() })
    return domains.filter((domain) => configuration.services[service]?.places[domain] !== undefined).map((failureDomain) => {
      const capacity = unusableDomains.has(failureDomain) ? 0 : findPlaceCapacity(configuration, service, failureDomain)
      const loadAfter = after.get(failureDomain) ?? 0
      const headroom = capacity === 0 ? 0 : 1 - loadAfter / capacity
      return { service, failureDomain, capacity, loadBefore: before.get(failureDomain) ?? 0, loadAfter, headroom }
    })
  })
}
