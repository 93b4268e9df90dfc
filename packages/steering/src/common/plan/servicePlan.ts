/** The plan of a service: how each client region's traffic is split over failure domains. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { rankRegionsByDelay } from '../lookup/regionDistance.js'
import type { LinkLoads, Placement } from './placement.js'
import { computePlacement } from './placement.js'
import { computeRegionCapacities } from './placeCapacity.js'
import type { RegionCapacity } from './placeCapacity.js'

/** Weights by failure domain: fractions of one client region's traffic that sum to 1, or an empty record if nothing is planned. */
export type DomainWeights = Readonly<Record<string, number>>

/** Weights by client region, then by failure domain. */
export type Weights = Readonly<Record<string, DomainWeights>>

/** The planned weights of one service. */
export interface ServicePlan {
  readonly service: string
  /** The plan's version in the store; 0 for a plan that has not been written. */
  readonly version: number
  readonly weights: Weights
}

/** Concurrent requests by client region. */
export type Demand = Readonly<Record<string, number>>

/** Splits a fraction of traffic over a region's failure domains in proportion to their capacity. */
function addDomainWeights (weights: Record<string, number>, region: RegionCapacity, trafficRatio: number): void {
  for (const [domain, capacity] of Object.entries(region.domains)) {
    weights[domain] = trafficRatio * (capacity / region.total)
  }
}

function planNearestRegion (
  configuration: SteeringConfiguration, clientRegion: string, capacities: ReadonlyMap<string, RegionCapacity>
): DomainWeights {
  const weights: Record<string, number> = {}
  for (const { region, maxConcurrency } of rankRegionsByDelay(configuration, clientRegion)) {
    const capacity = capacities.get(region)
    if (capacity === undefined || capacity.total === 0 || maxConcurrency === 0) continue
    addDomainWeights(weights, capacity, 1)
    return weights
  }
  return weights
}

function planByPlacement (
  placement: Placement, clientRegion: string, capacities: ReadonlyMap<string, RegionCapacity>
): DomainWeights {
  const concurrencyByRegion = Object.entries(placement.placed[clientRegion] ?? {})
  const total = concurrencyByRegion.reduce((sum, [, concurrency]) => sum + concurrency, 0)
  const weights: Record<string, number> = {}
  if (total === 0) return weights
  for (const [region, concurrency] of concurrencyByRegion) {
    const capacity = capacities.get(region)
    if (capacity !== undefined && concurrency > 0) addDomainWeights(weights, capacity, concurrency / total)
  }
  return weights
}

/**
 * Computes where the traffic of a service should go, regardless of the current weights.
 *
 * The demand of a client region fills the nearest capacity first and overflows to
 * the next nearest, within the capacity of the links. All traffic of a client region
 * without demand goes to the nearest region that has capacity. If capacity doesn't
 * suffice for the whole demand, the weights still sum to 1, in proportion to what
 * was placed; admission refuses the excess, which {@link findUnplacedDemand} returns.
 * A region pair without a link carries no traffic.
 * @param configuration capacities, links and drains
 * @param service the service to plan
 * @param unavailable failure domains that must not be used
 * @param demand expected concurrent requests by client region
 * @param otherLinkLoads concurrent requests of other services on the links
 * @param maxLoadRatio the fraction of the capacity of failure domains and links that may be filled, above 0 to 1
 * @returns the target, with version 0; a client region that no usable capacity can serve has no weights
 */
export function computeTargetPlan (
  configuration: SteeringConfiguration,
  service: string,
  unavailable: ReadonlySet<string>,
  demand: Demand = {},
  otherLinkLoads: LinkLoads = {},
  maxLoadRatio = 1
): ServicePlan {
  const capacities = computeRegionCapacities(configuration, service, unavailable, maxLoadRatio)
  const placement = computePlacement({ configuration, capacities, demand, otherLinkLoads, maxLinkLoadRatio: maxLoadRatio })
  const weights: Record<string, DomainWeights> = {}
  for (const clientRegion of Object.keys(configuration.regions)) {
    weights[clientRegion] = (demand[clientRegion] ?? 0) > 0
      ? planByPlacement(placement, clientRegion, capacities)
      : planNearestRegion(configuration, clientRegion, capacities)
  }
  return { service, version: 0, weights }
}

/**
 * @param configuration capacities, links and drains
 * @param service the service
 * @param unavailable failure domains that must not be used
 * @param demand expected concurrent requests by client region
 * @param otherLinkLoads concurrent requests of other services on the links
 * @param maxLoadRatio the fraction of the capacity of failure domains and links that may be filled, above 0 to 1
 * @returns concurrent requests by client region that exceed the capacity; empty if everything fits
 */
export function findUnplacedDemand (
  configuration: SteeringConfiguration,
  service: string,
  unavailable: ReadonlySet<string>,
  demand: Demand,
  otherLinkLoads: LinkLoads,
  maxLoadRatio: number
): Readonly<Record<string, number>> {
  const capacities = computeRegionCapacities(configuration, service, unavailable, maxLoadRatio)
  return computePlacement({ configuration, capacities, demand, otherLinkLoads, maxLinkLoadRatio: maxLoadRatio }).unplaced
}
