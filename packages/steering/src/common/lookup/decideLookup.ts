/** Decides which entry VMs a caller should use. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { NodeState } from '../state/nodeState.js'
import { rankByRendezvous } from './rendezvous.js'
import { rankRegionsByDelay } from './regionDistance.js'

export { NodeState } from '../state/nodeState.js'

/** An entry VM with the properties that lookups need. */
export interface LookupNode {
  readonly nodeId: string
  readonly region: string
  readonly failureDomain: string
  /** `host:port` on which it accepts callers' requests. */
  readonly address: string
  readonly state: NodeState
}

/** One entry VM in an answer. */
export interface LookupEntry {
  readonly nodeId: string
  /** `host:port` on which it accepts callers' requests. */
  readonly address: string
  /** The fraction of the caller's requests to send there; the weights of an answer sum to 1. */
  readonly weight: number
}

/** The body of a lookup response. */
export interface LookupAnswer {
  readonly service: string
  /** The region of the caller's client block. */
  readonly region: string
  readonly configurationVersion: number
  /** How long the caller may cache the answer. */
  readonly cacheForMs: number
  /** Empty if no entry VM is live. */
  readonly entries: readonly LookupEntry[]
}

/** The input of a lookup. */
export interface LookupInput {
  readonly service: string
  /** The region of the caller's client block. */
  readonly region: string
  readonly nodes: readonly LookupNode[]
  readonly configuration: SteeringConfiguration
  /** The version of the configuration. */
  readonly version: number
}

/** The properties of an entry VM that {@link listServiceEntries} needs. */
export type EntryCandidate = Pick<LookupNode, 'nodeId' | 'region' | 'failureDomain'>

/**
 * Selects the entry VMs of a region that serve a service: the first of each failure
 * domain by rendezvous rank, then the second of each, and so on. Node states are
 * ignored: lookups pass live nodes only, while the division of limits also passes others.
 * @param service the service
 * @param region the region
 * @param nodes the candidates; those of other regions are ignored
 * @param entriesPerRegion the maximum number of entry VMs
 * @returns node ids in the order of preference
 */
export function listServiceEntries (
  service: string, region: string, nodes: readonly EntryCandidate[], entriesPerRegion: number
): string[] {
  const domainById = new Map<string, string>()
  for (const node of nodes) {
    if (node.region === region) domainById.set(node.nodeId, node.failureDomain)
  }
  const ranked = rankByRendezvous(`${service}/${region}`, [...domainById.keys()])
  const countByDomain = new Map<string, number>()
  const domainRanks = ranked.map((nodeId) => {
    const domain = domainById.get(nodeId) ?? ''
    const rankInDomain = countByDomain.get(domain) ?? 0
    countByDomain.set(domain, rankInDomain + 1)
    return { nodeId, rankInDomain }
  })
  // The sort is stable, so that nodes of equal rank in their failure domains keep the rendezvous order.
  domainRanks.sort((left, right) => left.rankInDomain - right.rankInDomain)
  return domainRanks.slice(0, entriesPerRegion).map((entry) => entry.nodeId)
}

/** The live entry VMs by region; grouped only once, because there can be thousands. */
type LiveNodesByRegion = ReadonlyMap<string, readonly LookupNode[]>

function listLiveNodesByRegion (nodes: readonly LookupNode[]): LiveNodesByRegion {
  const byRegion = new Map<string, LookupNode[]>()
  for (const node of nodes) {
    if (node.state !== NodeState.Live) continue
    const regionNodes = byRegion.get(node.region)
    if (regionNodes === undefined) byRegion.set(node.region, [node])
    else regionNodes.push(node)
  }
  return byRegion
}

/**
 * Decides a lookup: the answer names live entry VMs of the caller's region or, if
 * there are none, of the nearest region that has some.
 * @param input the caller's service and region, the entry VMs and the configuration
 * @returns the answer; without entries if no entry VM is live anywhere
 */
export function decideLookup (input: LookupInput): LookupAnswer {
  return buildAnswer(input, listLiveNodesByRegion(input.nodes))
}

function buildAnswer (input: Omit<LookupInput, 'nodes'>, liveNodes: LiveNodesByRegion): LookupAnswer {
  const { service, region, configuration, version } = input
  return {
    service,
    region,
    configurationVersion: version,
    cacheForMs: configuration.lookupCacheMs,
    entries: decideEntries(service, region, liveNodes, configuration)
  }
}

function decideEntries (service: string, callerRegion: string, liveNodes: LiveNodesByRegion, configuration: SteeringConfiguration): LookupEntry[] {
  for (const { region } of rankRegionsByDelay(configuration, callerRegion)) {
    const nodes = liveNodes.get(region) ?? []
    const ids = listServiceEntries(service, region, nodes, configuration.entriesPerRegion)
    if (ids.length === 0) continue
    const addressById = new Map(nodes.map((node) => [node.nodeId, node.address]))
    return ids.map((nodeId) => ({ nodeId, address: addressById.get(nodeId) ?? '', weight: 1 / ids.length }))
  }
  return []
}

/**
 * The lookup answers of one configuration and one set of nodes. Each is computed on
 * its first request and then cached: with dozens of services and regions and thousands
 * of nodes, computing all of them would block the event loop at every membership
 * change, while a node mostly receives lookups for its own region.
 */
export class LookupIndex {
  private readonly answers = new Map<string, Map<string, LookupAnswer>>()

  private constructor (
    private readonly configuration: SteeringConfiguration,
    private readonly version: number,
    private readonly liveNodes: LiveNodesByRegion
  ) {}

  /**
   * @param configuration the configuration in force
   * @param version its version
   * @param nodes the entry VMs
   * @returns an index, which must be replaced when any of these changes
   */
  static build (configuration: SteeringConfiguration, version: number, nodes: readonly LookupNode[]): LookupIndex {
    return new LookupIndex(configuration, version, listLiveNodesByRegion(nodes))
  }

  /**
   * @param service the requested service
   * @param region the caller's region
   * @returns the answer, or undefined if the configuration has no such service or region
   */
  find (service: string, region: string): LookupAnswer | undefined {
    return this.answers.get(service)?.get(region) ?? this.decideAnswer(service, region)
  }

  private decideAnswer (service: string, region: string): LookupAnswer | undefined {
    const { configuration, version } = this
    // Names come from callers, so that inherited properties of Object.prototype must not count as services or regions.
    if (!Object.hasOwn(configuration.services, service) || !Object.hasOwn(configuration.regions, region)) return undefined
    const answer = buildAnswer({ service, region, configuration, version }, this.liveNodes)
    const byRegion = this.answers.get(service)
    if (byRegion === undefined) this.answers.set(service, new Map([[region, answer]]))
    else byRegion.set(region, answer)
    return answer
  }
}
