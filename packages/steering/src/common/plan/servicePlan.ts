/** The plan of a service: which part of each client region's traffic goes to which failure domain. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { rankRegionsByDelay } from '../lookup/regionDistance.js'
import type { LinkUse, Placement } from './placement.js'
import { computePlacement } from './placement.js'
import { computeRegionCapacities } from './placeCapacity.js'
import type { RegionCapacity } from './placeCapacity.js'

/** Parts of a client region's traffic by failure domain; they sum to 1, or there are none. */
export type DomainWeights = Readonly<Record<string, number>>

/** Weights by client region, then by failure domain. */
export type Weights = Readonly<Record<string, DomainWeights>>

/** The plan document of one service. */
export interface ServicePlan {
  readonly service: string
  /** The document's version in the store; 0 for a plan not yet written. */
  readonly version: number
  readonly weights: Weights
}

/** Requests at a time by client region. */
export type Demand = Readonly<Record<string, number>>

/** Splits a part of traffic over a region's failure domains by their capacity. */
function addRegionWeights (weights: Record<string, number>, region: RegionCapacity, part: number): void {
  for (const [domain, capacity] of Object.entries(region.domains)) {
    weights[domain] = part * (capacity / region.total)
  }
}

function planByDistance (
  configuration: SteeringConfiguration, clientRegion: string, capacities: ReadonlyMap<string, RegionCapacity>
): DomainWeights {
  const weights: Record<string, number> = {}
  for (const { region, maxConcurrency } of rankRegionsByDelay(configuration, clientRegion)) {
    const capacity = capacities.get(region)
    if (capacity === undefined || capacity.total === 0 || maxConcurrency === 0) continue
    addRegionWeights(weights, capacity, 1)
    return weights
  }
  return weights
}

function planByPlacement (
  placement: Placement, clientRegion: string, capacities: ReadonlyMap<string, RegionCapacity>
): DomainWeights {
  const placed = Object.entries(placement.placed[clientRegion] ?? {})
  const total = placed.reduce((sum, [, amount]) => sum + amount, 0)
  const weights: Record<string, number> = {}
  if (total === 0) return weights
  for (const [region, amount] of placed) {
    const capacity = capacities.get(region)
    if (capacity !== undefined && amount > 0) addRegionWeights(weights, capacity, amount / total)
  }
  return weights
}

/**
 * Computes where the traffic of a service should go, whatever it is now.
 *
 * With a demand, each client region fills the nearest capacity first and its
 * overflow goes on to the next nearest, within what links bear. A client region
 * without demand goes wholly to the nearest region that has capacity. Where the
 * whole demand finds no room, the weights still sum to 1 over what was filled:
 * what is above it is refused on admission; `computePlacement` tells how much.
 * A region pair without a link carries nothing.
 * @param configuration capacities, links and drains
 * @param service the service to plan
 * @param unavailable failure domains that must not be used
 * @param demand expected requests at a time by client region
 * @param linkUse what other services already place on links
 * @param loadLimit the part of the capacity of domains and links that may be filled
 * @returns the target, with version 0; a client region with nowhere to go has no weights
 */
export function computeTargetPlan (
  configuration: SteeringConfiguration,
  service: string,
  unavailable: ReadonlySet<string>,
  demand: Demand = {},
  linkUse: LinkUse = {},
  loadLimit = 1
): ServicePlan {
  const capacities = computeRegionCapacities(configuration, service, unavailable, loadLimit)
  const placement = computePlacement({ configuration, capacities, demand, linkUse, linkLimit: loadLimit })
  const weights: Record<string, DomainWeights> = {}
  for (const clientRegion of Object.keys(configuration.regions)) {
    weights[clientRegion] = (demand[clientRegion] ?? 0) > 0
      ? planByPlacement(placement, clientRegion, capacities)
      : planByDistance(configuration, clientRegion, capacities)
  }
  return { service, version: 0, weights }
}

/**
 * @param configuration capacities, links and drains
 * @param service the service
 * @param unavailable failure domains that must not be used
 * @param demand expected requests at a time by client region
 * @param linkUse what other services place on links
 * @param loadLimit the part of capacities that may be filled
 * @returns requests at a time by client region for which there is no room; empty if all fits
 */
export function findUnplaced (
  configuration: SteeringConfiguration,
  service: string,
  unavailable: ReadonlySet<string>,
  demand: Demand,
  linkUse: LinkUse,
  loadLimit: number
): Readonly<Record<string, number>> {
  const capacities = computeRegionCapacities(configuration, service, unavailable, loadLimit)
  return computePlacement({ configuration, capacities, demand, linkUse, linkLimit: loadLimit }).unplaced
}
