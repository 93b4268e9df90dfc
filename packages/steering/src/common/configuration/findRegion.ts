/** Maps failure domains to regions. */
import type { SteeringConfiguration } from './configurationSchema.js'

/**
 * @param configuration a configuration that conforms to the schema
 * @param failureDomain the name of a failure domain
 * @returns the name of the region that contains it, or undefined if there is none
 */
export function findRegion (configuration: SteeringConfiguration, failureDomain: string): string | undefined {
  const regions = Object.entries(configuration.regions)
  return regions.find(([, region]) => region.failureDomains.includes(failureDomain))?.[0]
}
