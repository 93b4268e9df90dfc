/** The load that weights and demand put on places and links, and the capacity of those. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computePlaceCapacity } from './placeCapacity.js'
import type { LinkLoads } from './placement.js'
import type { Demand, Weights } from './servicePlan.js'

/** The fraction of its capacity that a cold place may receive at once; the rest is added linearly during the warm-up. */
const COLD_CAPACITY_RATIO = 0.1

/**
 * @param configuration regions and their failure domains
 * @returns the region of every failure domain
 */
export function mapDomainsToRegions (configuration: SteeringConfiguration): Map<string, string> {
  return new Map(Object.entries(configuration.regions).flatMap(([region, { failureDomains }]) =>
    failureDomains.map((domain): [string, string] => [domain, region])))
}

/**
 * @param weights weights of one service
 * @param demand its concurrent requests by client region
 * @returns concurrent requests by failure domain
 */
export function computeDomainLoads (weights: Weights, demand: Demand): Map<string, number> {
  const loads = new Map<string, number>()
  for (const [clientRegion, domains] of Object.entries(weights)) {
    for (const [domain, weight] of Object.entries(domains)) {
      loads.set(domain, (loads.get(domain) ?? 0) + weight * (demand[clientRegion] ?? 0))
    }
  }
  return loads
}

/** One service's weights and demand. */
export interface ServiceLoad {
  readonly weights: Weights
  readonly demand: Demand
}

/**
 * @param configuration regions
 * @param services weights and demand of the services that share the links
 * @returns concurrent requests on every link, by client region and serving region
 */
export function computeLinkLoads (configuration: SteeringConfiguration, services: Iterable<ServiceLoad>): LinkLoads {
  const regionByDomain = mapDomainsToRegions(configuration)
  const loads: Record<string, Record<string, number>> = {}
  for (const { weights, demand } of services) {
    for (const [clientRegion, domains] of Object.entries(weights)) {
      for (const [domain, weight] of Object.entries(domains)) {
        const region = regionByDomain.get(domain)
        if (region === undefined || region === clientRegion) continue
        const loadByRegion = loads[clientRegion] ??= {}
        loadByRegion[region] = (loadByRegion[region] ?? 0) + weight * (demand[clientRegion] ?? 0)
      }
    }
  }
  return loads
}

/**
 * @param configuration links
 * @param clientRegion the region that the traffic comes from
 * @param servingRegion the region that serves it
 * @returns the link's capacity in concurrent requests; Infinity within one region, 0 without a link
 */
export function findLinkCapacity (configuration: SteeringConfiguration, clientRegion: string, servingRegion: string): number {
  if (clientRegion === servingRegion) return Infinity
  return configuration.links.find((link) => link.from === clientRegion && link.to === servingRegion)?.maxConcurrency ?? 0
}

/**
 * Slow start of a place: while its caches are cold, requests take longer, so the
 * same request rate occupies more slots.
 * @param warmingForMs how long the place has received traffic; Infinity if it is warm
 * @param warmUpMs how long a warm-up takes
 * @returns the fraction of its capacity that may be planned, above 0 to 1
 */
export function computeWarmUpRatio (warmingForMs: number, warmUpMs: number): number {
  if (warmingForMs >= warmUpMs) return 1
  return COLD_CAPACITY_RATIO + (1 - COLD_CAPACITY_RATIO) * Math.max(0, warmingForMs) / warmUpMs
}

/**
 * @param configuration places
 * @param service the service
 * @param failureDomain the failure domain
 * @returns capacity in concurrent requests; 0 if the service has no place there
 */
export function findPlaceCapacity (configuration: SteeringConfiguration, service: string, failureDomain: string): number {
  const place = configuration.services[service]?.places[failureDomain]
  return place === undefined ? 0 : computePlaceCapacity(place)
}
