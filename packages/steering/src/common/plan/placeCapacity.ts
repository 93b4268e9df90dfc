/** What failure domains and regions can take of a service. */
import type { PlaceConfiguration, SteeringConfiguration } from '../configuration/configurationSchema.js'

/** What a region can take of a service, in requests at a time. */
export interface RegionCapacity {
  /** The sum over its failure domains. */
  readonly total: number
  /** Only failure domains that may be used. */
  readonly domains: Readonly<Record<string, number>>
}

/**
 * @param place a service's presence in a failure domain
 * @returns requests at a time: the workers' slots, or the operators' limit if that is lower
 */
export function computePlaceCapacity (place: PlaceConfiguration): number {
  const slots = Object.values(place.workers).reduce((sum, worker) => sum + worker.slots, 0)
  return Math.min(slots, place.maxConcurrency ?? Infinity)
}

/**
 * @param configuration the drains that operators asked for
 * @param service the service
 * @param region the region of the failure domain
 * @param failureDomain the failure domain
 * @returns whether the place is drained by itself, with its domain or with its region
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
 * @param loadLimit the part of each place's capacity that counts, above 0 to 1
 * @returns the usable capacity of every region, by region name
 */
export function computeRegionCapacities (
  configuration: SteeringConfiguration, service: string, unavailable: ReadonlySet<string>, loadLimit = 1
): Map<string, RegionCapacity> {
  const places = new Map(Object.entries(configuration.services[service]?.places ?? {}))
  const capacities = new Map<string, RegionCapacity>()
  for (const [region, { failureDomains }] of Object.entries(configuration.regions)) {
    const domains: Record<string, number> = {}
    for (const domain of failureDomains) {
      const place = places.get(domain)
      if (place === undefined || unavailable.has(domain)) continue
      if (isPlaceDrained(configuration, service, region, domain)) continue
      const capacity = computePlaceCapacity(place) * loadLimit
      if (capacity > 0) domains[domain] = capacity
    }
    capacities.set(region, { total: Object.values(domains).reduce((sum, value) => sum + value, 0), domains })
  }
  return capacities
}
