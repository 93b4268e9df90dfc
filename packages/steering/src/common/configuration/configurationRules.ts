/** Rules between the fields of a configuration that passed the schema. */
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

function createProblem (path: string, expected: string, found: string): ConfigurationProblem {
  return { path, expected, message: `expected ${expected}, but ${found}` }
}

/** Values seen so far, with the path of each; tells of the first place where a value stands again. */
class SeenValues {
  private readonly pathByValue = new Map<string, string>()

  /** Notes a value; returns where it stood before. */
  record (value: string, path: string): string | undefined {
    const before = this.pathByValue.get(value)
    if (before === undefined) this.pathByValue.set(value, path)
    return before
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
    .map(({ name, path }) => createProblem(path, 'a name that JavaScript objects do not have by themselves', `'${name}' is reserved`))
}

const checkDomains: Rule = ({ regions }) => {
  const seen = new SeenValues()
  const problems: ConfigurationProblem[] = []
  for (const [name, region] of Object.entries(regions)) {
    for (const [index, domain] of region.failureDomains.entries()) {
      const path = `regions.${name}.failureDomains.${index}`
      const before = seen.record(domain, path)
      if (before !== undefined) problems.push(createProblem(path, 'a failure domain of one region only', `'${domain}' stands at ${before} too`))
    }
  }
  return problems
}

const checkLinks: Rule = ({ regions, links }) => {
  const seen = new SeenValues()
  const problems: ConfigurationProblem[] = []
  for (const [index, link] of links.entries()) {
    const path = `links.${index}`
    for (const end of ['from', 'to'] as const) {
      if (!Object.hasOwn(regions, link[end])) problems.push(createProblem(`${path}.${end}`, 'the name of a region', `there is no region '${link[end]}'`))
    }
    if (link.from === link.to) problems.push(createProblem(`${path}.to`, 'another region than from', `both are '${link.from}'`))
    const before = seen.record(`${link.from}/${link.to}`, path)
    if (before !== undefined) problems.push(createProblem(path, 'one link for each direction', `${before} has the same ends`))
  }
  return problems
}

const checkClientBlocks: Rule = ({ regions }) => {
  const blocks = Object.entries(regions).flatMap(([name, { clientBlocks }]) => clientBlocks.map((block, index) => ({ name, block, index })))
  const formatPath = (at: number): string => `regions.${blocks[at]?.name}.clientBlocks.${blocks[at]?.index}`
  // There may be very many blocks: paths are formatted for faulty ones only.
  const positionByKey = new Map<string, number>()
  const problems: ConfigurationProblem[] = []
  const words = new Uint32Array(WORDS_PER_IPV6)
  for (const [position, { block }] of blocks.entries()) {
    const prefix = parseClientPrefix(block, words)
    if (prefix === undefined) {
      problems.push(createProblem(formatPath(position), 'a CIDR prefix, like 10.0.0.0/8 or 2001:db8::/32', `'${block}' is none`))
      continue
    }
    const key = formatPrefixKey(prefix, words)
    const before = positionByKey.get(key)
    if (before === undefined) positionByKey.set(key, position)
    else problems.push(createProblem(formatPath(position), 'each client block once', `'${block}' stands at ${formatPath(before)} too`))
  }
  return problems
}

/** The schema checks the shape of an address; here its numbers. */
function isAddress (address: string): boolean {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  const port = Number(address.slice(colon + 1))
  const isHost = host.includes(':') ? ipaddr.IPv6.isValid(host) : ipaddr.IPv4.isValidFourPartDecimal(host)
  return isHost && port >= 1 && port <= MAX_PORT
}

const checkWorkers: Rule = ({ services }) => {
  const seen = new SeenValues()
  const problems: ConfigurationProblem[] = []
  for (const [service, { places }] of Object.entries(services)) {
    for (const [domain, place] of Object.entries(places)) {
      for (const [workerId, { address }] of Object.entries(place.workers)) {
        const path = `services.${service}.places.${domain}.workers.${workerId}.address`
        if (!isAddress(address)) problems.push(createProblem(path, 'an IP number and a port from 1 to 65535', `'${address}' is none`))
        const before = seen.record(address, path)
        if (before !== undefined) problems.push(createProblem(path, 'an address of one worker only', `'${address}' stands at ${before} too`))
      }
    }
  }
  return problems
}

function checkRoutes (service: ServiceConfiguration, path: string): ConfigurationProblem[] {
  const seen = new SeenValues()
  return service.routes.flatMap((route, index) => {
    const before = seen.record(route.prefix, `${path}.routes.${index}`)
    if (before === undefined) return []
    return [createProblem(`${path}.routes.${index}.prefix`, 'each prefix once', `'${route.prefix}' stands at ${before} too`)]
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
      problems.push(createProblem(`${path}.refusal.header`, 'the name of an HTTP header', `'${service.refusal.header}' is none`))
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

/** Without a place left, every request of the service would be refused. */
const checkRemainingPlaces: Rule = (configuration) => {
  const problems: ConfigurationProblem[] = []
  for (const [name, service] of Object.entries(configuration.services)) {
    const usable = Object.entries(service.places).filter(([, place]) => computePlaceCapacity(place) > 0)
    const left = usable.filter(([domain]) => {
      const region = findRegion(configuration, domain)
      return region !== undefined && !isPlaceDrained(configuration, name, region, domain)
    })
    if (left.length > 0) continue
    const isDrained = usable.length > 0
    const path = isDrained ? 'drains' : `services.${name}.places`
    const found = isDrained
      ? `the drains take out every place of '${name}' (${usable.map(([domain]) => domain).join(', ')})`
      : `no place of '${name}' has a worker`
    problems.push(createProblem(path, `at least one place with a worker left for service '${name}'`, found))
  }
  return problems
}

/** The regions of the places of a service that are in use, with room for at least one request. */
function listServingRegions (configuration: SteeringConfiguration, name: string): string[] {
  const places = Object.entries(configuration.services[name]?.places ?? {})
  return places.flatMap(([domain, place]) => {
    const region = findRegion(configuration, domain)
    const isServing = region !== undefined && computePlaceCapacity(place) > 0 && !isPlaceDrained(configuration, name, region, domain)
    return isServing ? [region] : []
  })
}

/** A region whose clients can reach no place of a service any more has all their requests refused. */
const checkReachablePlaces: Rule = (configuration) => {
  const { regions, links, services } = configuration
  const problems: ConfigurationProblem[] = []
  for (const name of Object.keys(services)) {
    const serving = listServingRegions(configuration, name)
    if (serving.length === 0) continue
    for (const [region, { clientBlocks }] of Object.entries(regions)) {
      const isReachable = serving.includes(region) || links.some((link) => link.from === region && serving.includes(link.to))
      if (clientBlocks.length === 0 || isReachable) continue
      const found = `clients of '${region}' have neither a place nor a link to one (${[...new Set(serving)].join(', ')})`
      problems.push(createProblem(`services.${name}.places`, `a place or a link to one for clients of '${region}'`, found))
    }
  }
  return problems
}

const RULES: readonly Rule[] = [
  checkNames, checkDomains, checkLinks, checkClientBlocks, checkWorkers, checkServices, checkDrainNames, checkRemainingPlaces,
  checkReachablePlaces
]

/**
 * @param configuration a configuration that passed the schema
 * @returns every rule that it breaks
 */
export function listRuleProblems (configuration: SteeringConfiguration): ConfigurationProblem[] {
  return RULES.flatMap((rule) => rule(configuration))
}
