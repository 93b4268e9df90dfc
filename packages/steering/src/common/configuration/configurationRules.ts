/** Rules across several fields of a configuration that conforms to the schema. */
import ipaddr from 'ipaddr.js'
import { WORDS_PER_IPV6 } from '../lookup/addressWords.js'
import { formatPrefixKey, parseClientPrefix } from '../lookup/clientPrefix.js'
import { computePlaceCapacity, isPlaceDrained } from '../plan/placeCapacity.js'
import type { ServiceConfiguration, SteeringConfiguration } from './configurationSchema.js'
import { findRegion } from './findRegion.js'
import type { ConfigurationProblem } from './configurationProblem.js'
import { isReservedName } from './reservedNames.js'

const HEADER_NAME = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/
const MAX_PORT = 65_535

type Rule = (configuration: SteeringConfiguration) => ConfigurationProblem[]

function createProblem (path: string, expected: string, actual: string): ConfigurationProblem {
  return { path, expected, message: `expected ${expected}, but ${actual}` }
}

/** Records values with their paths, to detect duplicates. */
class SeenValues {
  private readonly pathByValue = new Map<string, string>()

  /** Records a value; returns the path where it occurred first, or undefined if it is new. */
  record (value: string, path: string): string | undefined {
    const previousPath = this.pathByValue.get(value)
    if (previousPath === undefined) this.pathByValue.set(value, path)
    return previousPath
  }
}

const checkNames: Rule = ({ regions, services }) => {
  const paths = [
    ...Object.keys(regions).map((name) => ({ name, path: `regions.${name}` })),
    ...Object.entries(regions).flatMap(([region, { failureDomains }]) => {
      return failureDomains.map((name, index) => ({ name, path: `regions.${region}.failureDomains.${index}` }))
    }),
    ...Object.entries(services).flatMap(([service, { places }]) => [
      { name: service, path: `services.${service}` },
      ...Object.entries(places).flatMap(([domain, { workers }]) => {
        return Object.keys(workers).map((name) => ({ name, path: `services.${service}.places.${domain}.workers.${name}` }))
      })
    ])
  ]
  return paths
    .filter(({ name }) => isReservedName(name))
    .map(({ name, path }) => createProblem(path, 'a name that is not a built-in property of JavaScript objects', `'${name}' is reserved`))
}

const checkDomains: Rule = ({ regions }) => {
  const seenValues = new SeenValues()
  const problems: ConfigurationProblem[] = []
  for (const [name, region] of Object.entries(regions)) {
    for (const [index, domain] of region.failureDomains.entries()) {
      const path = `regions.${name}.failureDomains.${index}`
      const previousPath = seenValues.record(domain, path)
      if (previousPath !== undefined) problems.push(createProblem(path, 'a failure domain that belongs to only one region', `'${domain}' already occurs at ${previousPath}`))
    }
  }
  return problems
}

const checkLinks: Rule = ({ regions, links }) => {
  const seenValues = new SeenValues()
  const problems: ConfigurationProblem[] = []
  for (const [index, link] of links.entries()) {
    const path = `links.${index}`
    for (const end of ['from', 'to'] as const) {
      if (!Object.hasOwn(regions, link[end])) problems.push(createProblem(`${path}.${end}`, 'the name of a region', `there is no region '${link[end]}'`))
    }
    if (link.from === link.to) problems.push(createProblem(`${path}.to`, 'a region other than \'from\'', `both are '${link.from}'`))
    const previousPath = seenValues.record(`${link.from}/${link.to}`, path)
    if (previousPath !== undefined) problems.push(createProblem(path, 'only one link for each direction', `${previousPath} connects the same regions`))
  }
  return problems
}

const checkClientBlocks: Rule = ({ regions }) => {
  const blocks = Object.entries(regions).flatMap(([name, { clientBlocks }]) => clientBlocks.map((block, index) => ({ name, block, index })))
  const formatPath = (position: number): string => `regions.${blocks[position]?.name}.clientBlocks.${blocks[position]?.index}`
  // There may be a large number of blocks, so paths are formatted only for invalid ones.
  const positionByKey = new Map<string, number>()
  const problems: ConfigurationProblem[] = []
  const words = new Uint32Array(WORDS_PER_IPV6)
  for (const [position, { block }] of blocks.entries()) {
    const prefix = parseClientPrefix(block, words)
    if (prefix === undefined) {
      problems.push(createProblem(formatPath(position), 'a CIDR prefix, like 10.0.0.0/8 or 2001:db8::/32', `'${block}' is not valid`))
      continue
    }
    const key = formatPrefixKey(prefix, words)
    const previousPosition = positionByKey.get(key)
    if (previousPosition === undefined) positionByKey.set(key, position)
    else problems.push(createProblem(formatPath(position), 'each client block only once', `'${block}' already occurs at ${formatPath(previousPosition)}`))
  }
  return problems
}

/** The schema checks only the format of an address; this checks the ranges of its numbers. */
function isAddress (address: string): boolean {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  const port = Number(address.slice(colon + 1))
  const isHost = host.includes(':') ? ipaddr.IPv6.isValid(host) : ipaddr.IPv4.isValidFourPartDecimal(host)
  return isHost && port >= 1 && port <= MAX_PORT
}

const checkWorkers: Rule = ({ services }) => {
  const seenValues = new SeenValues()
  const problems: ConfigurationProblem[] = []
  for (const [service, { places }] of Object.entries(services)) {
    for (const [domain, place] of Object.entries(places)) {
      for (const [workerId, { address }] of Object.entries(place.workers)) {
        const path = `services.${service}.places.${domain}.workers.${workerId}.address`
        if (!isAddress(address)) problems.push(createProblem(path, 'an IP address and a port from 1 to 65535', `'${address}' is not valid`))
        const previousPath = seenValues.record(address, path)
        if (previousPath !== undefined) problems.push(createProblem(path, 'an address that only one worker uses', `'${address}' already occurs at ${previousPath}`))
      }
    }
  }
  return problems
}

function checkRoutes (service: ServiceConfiguration, path: string): ConfigurationProblem[] {
  const seenValues = new SeenValues()
  return service.routes.flatMap((route, index) => {
    const previousPath = seenValues.record(route.prefix, `${path}.routes.${index}`)
    if (previousPath === undefined) return []
    return [createProblem(`${path}.routes.${index}.prefix`, 'each prefix only once', `'${route.prefix}' already occurs at ${previousPath}`)]
  })
}

const checkServices: Rule = (configuration) => {
  const domains = new Set(Object.values(configuration.regions).flatMap(({ failureDomains }) => failureDomains))
  const problems: ConfigurationProblem[] = []
  for (const [name, service] of Object.entries(configuration.services)) {
    const path = `services.${name}`
    for (const domain of Object.keys(service.places)) {
      if (domains.has(domain)) continue
      problems.push(createProblem(`${path}.places.${domain}`, 'the name of a failure domain', `no region has '${domain}'`))
    }
    if (!HEADER_NAME.test(service.refusal.header)) {
      problems.push(createProblem(`${path}.refusal.header`, 'the name of an HTTP header', `'${service.refusal.header}' is not valid`))
    }
    problems.push(...checkRoutes(service, path))
  }
  return problems
}

const checkDrainNames: Rule = (configuration) => {
  const { drains, regions, services } = configuration
  const problems: ConfigurationProblem[] = []
  const checkDomain = (domain: string, path: string): void => {
    if (findRegion(configuration, domain) === undefined) problems.push(createProblem(path, 'the name of a failure domain', `no region has '${domain}'`))
  }
  drains.failureDomains.forEach((domain, index) => checkDomain(domain, `drains.failureDomains.${index}`))
  drains.regions.forEach((region, index) => {
    if (!Object.hasOwn(regions, region)) problems.push(createProblem(`drains.regions.${index}`, 'the name of a region', `there is no region '${region}'`))
  })
  drains.places.forEach((place, index) => {
    const path = `drains.places.${index}`
    checkDomain(place.failureDomain, `${path}.failureDomain`)
    if (!Object.hasOwn(services, place.service)) {
      problems.push(createProblem(`${path}.service`, 'the name of a service', `there is no service '${place.service}'`))
    } else if (!Object.hasOwn(services[place.service]?.places ?? {}, place.failureDomain)) {
      problems.push(createProblem(path, 'a place of the service', `'${place.service}' does not run in '${place.failureDomain}'`))
    }
  })
  return problems
}

/** Without a remaining place, all requests for the service would be refused. */
const checkRemainingPlaces: Rule = (configuration) => {
  const problems: ConfigurationProblem[] = []
  for (const [name, service] of Object.entries(configuration.services)) {
    const usablePlaces = Object.entries(service.places).filter(([, place]) => computePlaceCapacity(place) > 0)
    const remainingPlaces = usablePlaces.filter(([domain]) => {
      const region = findRegion(configuration, domain)
      return region !== undefined && !isPlaceDrained(configuration, name, region, domain)
    })
    if (remainingPlaces.length > 0) continue
    const isDrained = usablePlaces.length > 0
    const path = isDrained ? 'drains' : `services.${name}.places`
    const actual = isDrained
      ? `the drains exclude every place of '${name}' (${usablePlaces.map(([domain]) => domain).join(', ')})`
      : `no place of '${name}' has a worker`
    problems.push(createProblem(path, `at least one place with a worker left for service '${name}'`, actual))
  }
  return problems
}

/** The regions of a service's places that are not drained and can run at least one request at a time. */
function listServingRegions (configuration: SteeringConfiguration, name: string): string[] {
  const places = Object.entries(configuration.services[name]?.places ?? {})
  return places.flatMap(([domain, place]) => {
    const region = findRegion(configuration, domain)
    const isServing = region !== undefined && computePlaceCapacity(place) > 0 && !isPlaceDrained(configuration, name, region, domain)
    return isServing ? [region] : []
  })
}

/** All requests for a service are refused in a region whose clients cannot reach any of its places. */
const checkReachablePlaces: Rule = (configuration) => {
  const { regions, links, services } = configuration
  const problems: ConfigurationProblem[] = []
  for (const name of Object.keys(services)) {
    const servingRegions = listServingRegions(configuration, name)
    if (servingRegions.length === 0) continue
    for (const [region, { clientBlocks }] of Object.entries(regions)) {
      const isReachable = servingRegions.includes(region) || links.some((link) => link.from === region && servingRegions.includes(link.to))
      if (clientBlocks.length === 0 || isReachable) continue
      const actual = `clients of '${region}' have neither a place nor a link to one (${[...new Set(servingRegions)].join(', ')})`
      problems.push(createProblem(`services.${name}.places`, `a place or a link to one for clients of '${region}'`, actual))
    }
  }
  return problems
}

const RULES: readonly Rule[] = [
  checkNames, checkDomains, checkLinks, checkClientBlocks, checkWorkers, checkServices, checkDrainNames, checkRemainingPlaces,
  checkReachablePlaces
]

/**
 * @param configuration a configuration that conforms to the schema
 * @returns a problem for each violation of a rule
 */
export function listRuleProblems (configuration: SteeringConfiguration): ConfigurationProblem[] {
  return RULES.flatMap((rule) => rule(configuration))
}
