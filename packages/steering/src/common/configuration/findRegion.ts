/** Where a failure domain stands. */
import type { SteeringConfiguration } from './configurationSchema.js'

/**
 * @param configuration a configuration that passed the schema
 * @param failureDomain a failure domain's name
 * @returns the region it belongs to, or undefined if no region names it
 */
export function findRegion (configuration: SteeringConfiguration, failureDomain: string): string | undefined {
  const regions = Object.entries(configuration.regions)
  return regions.find(([, region]) => region.failureDomains.includes(failureDomain))?.[0]
}
