/** A small, valid configuration for the tests of this package. */
import type { SteeringConfiguration } from '../../src/common/configuration/configurationSchema.js'
import { configurationSchema } from '../../src/common/configuration/configurationSchema.js'

const REGIONS = ['klang', 'penang', 'kuching']

/** Builds three fully linked regions of two failure domains each, and one service with two workers of 4 slots in each failure domain. */
export function buildSampleInput (): Record<string, unknown> {
  const regions = Object.fromEntries(REGIONS.map((name, index) => [name, {
    failureDomains: [`${name}-a`, `${name}-b`],
    clientBlocks: [`10.${index}.0.0/16`]
  }]))
  const links = REGIONS.flatMap((from) => REGIONS.filter((to) => to !== from).map((to) => {
    return { from, to, oneWayMs: 35, maxConcurrency: 10 }
  }))
  const places = Object.fromEntries(REGIONS.flatMap((name, region) => ['a', 'b'].map((suffix, domain) => {
    const buildAddress = (worker: number): string => `10.9.${region * 2 + domain}.${worker}:8080`
    return [`${name}-${suffix}`, {
      workers: {
        w1: { address: buildAddress(1), slots: 4, connections: 360 },
        w2: { address: buildAddress(2), slots: 4, connections: 360 }
      }
    }]
  })))
  return {
    deployment: 'sample',
    regions,
    links,
    services: { 'escort-svc': { places } },
    shiftCaps: { planned: 0.1, emergency: 0.5 }
  }
}

/** @returns the same configuration, parsed by the schema and with defaults */
export function buildSampleConfiguration (): SteeringConfiguration {
  return configurationSchema.parse(buildSampleInput())
}
