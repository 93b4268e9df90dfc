/** Configurations of any size: client blocks of both families, services in many failure domains. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'

/** How large. */
export interface ScaleSizes {
  readonly clientBlocks: number
  /** Places: one service in one failure domain. */
  readonly sites: number
  /** Workers of each site; the first site of a service has at least one. */
  readonly workersPerSite: number
  readonly regions?: number
  readonly failureDomains?: number
}

/** The size of two years from now, from the developers' page. */
export const TARGET = {
  nodes: 4600, clientBlocks: 150_000, sites: 3500, regions: 21, failureDomains: 82, changesPerDay: 7100, lookupsPerSecond: 5_100_000
} as const

const BYTE_VALUES = 256
const GROUP_VALUES = 65_536

/**
 * @param index number of a block
 * @returns a prefix of its own, /24 and /48 by turns
 */
export function formatBlock (index: number): string {
  const place = index >> 1
  if (index % 2 === 0) return `2001:${(BYTE_VALUES + Math.floor(place / GROUP_VALUES)).toString(16)}:${(place % GROUP_VALUES).toString(16)}::/48`
  return `${11 + Math.floor(place / GROUP_VALUES)}.${Math.floor(place / BYTE_VALUES) % BYTE_VALUES}.${place % BYTE_VALUES}.0/24`
}

/**
 * @param index number of a block
 * @returns an address of it
 */
export function formatBlockAddress (index: number): string {
  return formatBlock(index).replace('::/48', ':17:2:30ab:4:5').replace('.0/24', '.77')
}

/**
 * @param index number of a region
 * @returns its name
 */
export function formatRegion (index: number): string {
  return `region-${index}`
}

function buildRegions (sizes: Required<ScaleSizes>): Record<string, { failureDomains: string[], clientBlocks: string[] }> {
  const regions = Array.from({ length: sizes.regions }, () => ({ failureDomains: [] as string[], clientBlocks: [] as string[] }))
  for (let index = 0; index < sizes.failureDomains; index++) {
    const region = index % sizes.regions
    regions[region]?.failureDomains.push(formatDomain(sizes, index))
  }
  for (let index = 0; index < sizes.clientBlocks; index++) regions[index % sizes.regions]?.clientBlocks.push(formatBlock(index))
  return Object.fromEntries(regions.map((region, index) => [formatRegion(index), region]))
}

function formatDomain (sizes: Required<ScaleSizes>, index: number): string {
  return `${formatRegion(index % sizes.regions)}-${Math.floor(index / sizes.regions)}`
}

function buildServices (sizes: Required<ScaleSizes>): Record<string, object> {
  const services: Record<string, { places: Record<string, object> }> = {}
  for (let site = 0; site < sizes.sites; site++) {
    const service = Math.floor(site / sizes.failureDomains)
    const domain = site % sizes.failureDomains
    const count = Math.max(sizes.workersPerSite, domain === 0 ? 1 : 0)
    const workers = Object.fromEntries(Array.from({ length: count }, (_, worker) => {
      // Nothing listens there: what is measured is the daemon's state, not the workers.
      return [`worker-${worker}`, { address: `127.${100 + (service % 100)}.${domain}.${worker + 1}:9`, slots: 4, connections: 360 }]
    }))
    const known = services[`service-${service}`] ??= { places: {} }
    known.places[formatDomain(sizes, domain)] = { workers }
  }
  return services
}

/**
 * @param sizes how large
 * @returns a valid configuration, all regions linked with each other
 */
export function buildScaleConfiguration (sizes: ScaleSizes): SteeringConfiguration {
  const complete = { regions: TARGET.regions, failureDomains: TARGET.failureDomains, ...sizes }
  const names = Array.from({ length: complete.regions }, (_, index) => formatRegion(index))
  const links = names.flatMap((from) => names.filter((to) => to !== from).map((to) => ({ from, to, oneWayMs: 20, maxConcurrency: 1000 })))
  const input = {
    deployment: 'scale',
    regions: buildRegions(complete),
    links,
    services: buildServices(complete),
    shiftCaps: { planned: 0.1, emergency: 0.5 }
  }
  return validateConfiguration(input).unwrap()
}
