/** Distances between regions, measured by the delay of the links between them. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'

/** A region and its distance from another one. */
export interface RegionDistance {
  readonly region: string
  /** One-way delay of the idle link; 0 for the region itself, Infinity without a link. */
  readonly oneWayMs: number
  /** The link's capacity in concurrent requests; Infinity for the region itself, 0 without a link. */
  readonly maxConcurrency: number
}

function compareDistance (left: RegionDistance, right: RegionDistance): number {
  if (left.oneWayMs !== right.oneWayMs) return left.oneWayMs < right.oneWayMs ? -1 : 1
  return left.region < right.region ? -1 : 1
}

/**
 * Lists all regions, the nearest first and those without a link last. Equal
 * distances are ordered by name, so that all nodes agree.
 * @param configuration the regions and links
 * @param from the region from which distances are measured; it comes first if it exists
 * @returns every region of the configuration with its distance
 */
export function rankRegionsByDelay (configuration: SteeringConfiguration, from: string): RegionDistance[] {
  const links = configuration.links.filter((link) => link.from === from)
  const distances = Object.keys(configuration.regions).map((region): RegionDistance => {
    if (region === from) return { region, oneWayMs: 0, maxConcurrency: Infinity }
    const link = links.find((candidate) => candidate.to === region)
    return { region, oneWayMs: link?.oneWayMs ?? Infinity, maxConcurrency: link?.maxConcurrency ?? 0 }
  })
  const others = distances.filter((distance) => distance.region !== from).sort(compareDistance)
  return [...distances.filter((distance) => distance.region === from), ...others]
}
