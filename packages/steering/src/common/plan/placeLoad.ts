/** What weights and demand put on places and links, and how much those bear. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computePlaceCapacity } from './placeCapacity.js'
import type { LinkUse } from './placement.js'
import type { Demand, Weights } from './servicePlan.js'

/** A cold place may take this part of its capacity at once; the rest comes over the warm-up. */
const COLD_PART = 0.1

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
 * @param demand its requests at a time by client region
 * @returns requests at a time by failure domain
 */
export function computeDomainLoads (weights: Weights, demand: Demand): Map<string, number> {
  const loads = new Map<string, number>()
  for (const [client, domains] of Object.entries(weights)) {
    for (const [domain, weight] of Object.entries(domains)) {
      loads.set(domain, (loads.get(domain) ?? 0) + weight * (demand[client] ?? 0))
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
 * @returns requests at a time on every link
 */
export function computeLinkUse (configuration: SteeringConfiguration, services: Iterable<ServiceLoad>): LinkUse {
  const regionOf = mapDomainsToRegions(configuration)
  const use: Record<string, Record<string, number>> = {}
  for (const { weights, demand } of services) {
    for (const [client, domains] of Object.entries(weights)) {
      for (const [domain, weight] of Object.entries(domains)) {
        const region = regionOf.get(domain)
        if (region === undefined || region === client) continue
        const row = use[client] ??= {}
        row[region] = (row[region] ?? 0) + weight * (demand[client] ?? 0)
      }
    }
  }
  return use
}

/**
 * @param configuration links
 * @param from client region
 * @param to serving region
 * @returns requests at a time that the link bears; 0 without a link
 */
export function findLinkCapacity (configuration: SteeringConfiguration, from: string, to: string): number {
  if (from === to) return Infinity
  return configuration.links.find((link) => link.from === from && link.to === to)?.maxConcurrency ?? 0
}

/**
 * Slow start of a whole place: its caches are cold, so it answers slowly and
 * the same number of requests occupies more slots.
 * @param warmingForMs how long it has had traffic; Infinity if it is warm
 * @param warmUpSpanMs how long a warm-up takes
 * @returns the part of its capacity that may be planned, above 0 to 1
 */
export function computeWarmPart (warmingForMs: number, warmUpSpanMs: number): number {
  if (warmingForMs >= warmUpSpanMs) return 1
  return COLD_PART + (1 - COLD_PART) * Math.max(0, warmingForMs) / warmUpSpanMs
}

/**
 * @param configuration places
 * @param service the service
 * @param failureDomain where
 * @returns requests at a time; 0 where the service does not run
 */
export function findPlaceCapacity (configuration: SteeringConfiguration, service: string, failureDomain: string): number {
  const place = configuration.services[service]?.places[failureDomain]
  return place === undefined ? 0 : computePlaceCapacity(place)
}
