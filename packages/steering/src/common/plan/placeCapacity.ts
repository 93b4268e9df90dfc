/** The capacity of places and regions for a service. A place is one service's deployment in one failure domain. */
import type { PlaceConfiguration, SteeringConfiguration } from '../configuration/configurationSchema.js'

/** A region's capacity for a service, in concurrent requests. */
export interface RegionCapacity {
  /** The sum over the usable failure domains. */
  readonly total: number
  /** Capacity by failure domain; those that must not be used or have no capacity are left out. */
  readonly domains: Readonly<Record<string, number>>
}

/**
 * @param place a service's deployment in a failure domain
 * @returns concurrent requests: the sum of the workers' slots, or the configured limit if it is lower
 */
export function computePlaceCapacity (place: PlaceConfiguration): number {
  const slots = Object.values(place.workers).reduce((sum, worker) => sum + worker.slots, 0)
  return Math.min(slots, place.maxConcurrency ?? Infinity)
}

/**
 * @param configuration holds the configured drains
 * @param service the service
 * @param region the region of the failure domain
 * @param failureDomain the failure domain
 * @returns whether the place, its failure domain or its region is drained
 */
export function isPlaceDrained (
  configuration: SteeringConfiguration, service: string, region: string, failureDomain: string
): boolean {
  const { drains } = configuration
  if (drains.regions.includes(region) || drains.failureDomains.includes(failureDomain)) return true
  return drains.places.some((place) => place.service === service && place.failureDomain === failureDomain)
}

/**
 * @param configuration places and drains
 * @param service the service
 * @param unavailable failure domains that must not be used
 * @param maxLoadRatio the fraction of each place's capacity that may be filled, above 0 to 1
 * @returns the usable capacity of every region, by region name
 */
export function computeRegionCapacities (
  configuration: SteeringConfiguration, service: string, unavailable: ReadonlySet<string>, maxLoadRatio = 1
): Map<string, RegionCapacity> {
  const places = new Map(Object.entries(configuration.services[service]?.places ?? {}))
  const capacities = new Map<string, RegionCapacity>()
  for (const [region, { failureDomains }] of Object.entries(configuration.regions)) {
    const domains: Record<string, number> = {}
    for (const domain of failureDomains) {
      const place = places.get(domain)
      if (place === undefined || unavailable.has(domain)) continue
      if (isPlaceDrained(configuration, service, region, domain)) continue
      const capacity = computePlaceCapacity(place) * maxLoadRatio
      if (capacity > 0) domains[domain] = capacity
    }
    capacities.set(region, { total: Object.values(domains).reduce((sum, value) => sum + value, 0), domains })
  }
  return capacities
}
