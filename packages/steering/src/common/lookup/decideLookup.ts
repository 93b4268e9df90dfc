/** Which entry VMs a caller is told to use. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { NodeState } from '../state/nodeState.js'
import { rankByRendezvous } from './rendezvous.js'
import { rankRegionsByDelay } from './regionDistance.js'

export { NodeState } from '../state/nodeState.js'

/** An entry VM as far as look-ups go. */
export interface LookupNode {
  readonly nodeId: string
  readonly region: string
  readonly failureDomain: string
  /** `host:port` of the callers' listener. */
  readonly address: string
  readonly state: NodeState
}

/** One entry VM in an answer. */
export interface LookupEntry {
  readonly nodeId: string
  /** `host:port` of the callers' listener. */
  readonly address: string
  /** The part of the caller's requests to send there; an answer's weights sum to 1. */
  readonly weight: number
}

/** The body of a look-up's answer. */
export interface LookupAnswer {
  readonly service: string
  /** The region of the caller's client block. */
  readonly region: string
  readonly configurationVersion: number
  /** How long the caller may keep the answer. */
  readonly cacheForMs: number
  /** Empty if no entry VM is live. */
  readonly entries: readonly LookupEntry[]
}

/** What a look-up is decided from. */
export interface LookupInput {
  readonly service: string
  /** The region of the caller's client block. */
  readonly region: string
  readonly nodes: readonly LookupNode[]
  readonly configuration: SteeringConfiguration
  /** The version of the configuration. */
  readonly version: number
}

/** What `listServiceEntries` needs to know of an entry VM. */
export type EntryCandidate = Pick<LookupNode, 'nodeId' | 'region' | 'failureDomain'>

/**
 * Names the entry VMs of a region that serve a service: the best of each failure
 * domain by rendezvous rank, then the second of each, and so on. States are not
 * looked at: look-ups pass live nodes, the division of limits the roster.
 * @param service the service
 * @param region the region
 * @param nodes the candidates; those of other regions are passed over
 * @param entriesPerRegion how many to name at most
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
  const placed = ranked.map((nodeId) => {
    const domain = domainById.get(nodeId) ?? ''
    const round = countByDomain.get(domain) ?? 0
    countByDomain.set(domain, round + 1)
    return { nodeId, round }
  })
  // The sort is stable, so within a round the rendezvous order remains.
  placed.sort((left, right) => left.round - right.round)
  return placed.slice(0, entriesPerRegion).map((entry) => entry.nodeId)
}

/** The live entry VMs of each region; grouped once, since there may be thousands. */
type LiveNodes = ReadonlyMap<string, readonly LookupNode[]>

function listLiveByRegion (nodes: readonly LookupNode[]): LiveNodes {
  const byRegion = new Map<string, LookupNode[]>()
  for (const node of nodes) {
    if (node.state !== NodeState.Live) continue
    const known = byRegion.get(node.region)
    if (known === undefined) byRegion.set(node.region, [node])
    else known.push(node)
  }
  return byRegion
}

/**
 * Decides a look-up: live entry VMs of the caller's region, or, if there is
 * none, those of the nearest region that has one.
 * @param input the caller's service and region, and what is known
 * @returns the answer; without entries if no entry VM is live anywhere
 */
export function decideLookup (input: LookupInput): LookupAnswer {
  return decideFrom(input, listLiveByRegion(input.nodes))
}

function decideFrom (input: Omit<LookupInput, 'nodes'>, live: LiveNodes): LookupAnswer {
  const { service, region, configuration, version } = input
  return {
    service,
    region,
    configurationVersion: version,
    cacheForMs: configuration.lookupCacheMs,
    entries: decideEntries(service, region, live, configuration)
  }
}

function decideEntries (service: string, from: string, live: LiveNodes, configuration: SteeringConfiguration): LookupEntry[] {
  for (const { region } of rankRegionsByDelay(configuration, from)) {
    const nodes = live.get(region) ?? []
    const ids = listServiceEntries(service, region, nodes, configuration.entriesPerRegion)
    if (ids.length === 0) continue
    const addressById = new Map(nodes.map((node) => [node.nodeId, node.address]))
    return ids.map((nodeId) => ({ nodeId, address: addressById.get(nodeId) ?? '', weight: 1 / ids.length }))
  }
  return []
}

/**
 * The look-ups of one configuration and one set of nodes. Each is decided when
 * it is first asked for: with dozens of services and regions and thousands of
 * nodes, deciding all of them would hold the loop at every change of a member,
 * while a node is mostly asked for its own region.
 */
export class LookupIndex {
  private readonly answers = new Map<string, Map<string, LookupAnswer>>()

  private constructor (
    private readonly configuration: SteeringConfiguration,
    private readonly version: number,
    private readonly live: LiveNodes
  ) {}

  /**
   * @param configuration the configuration in force
   * @param version its version
   * @param nodes the entry VMs
   * @returns an index to be replaced when any of these changes
   */
  static build (configuration: SteeringConfiguration, version: number, nodes: readonly LookupNode[]): LookupIndex {
    return new LookupIndex(configuration, version, listLiveByRegion(nodes))
  }

  /**
   * @param service the service asked for
   * @param region the caller's region
   * @returns the answer, or undefined if the configuration knows no such service or region
   */
  find (service: string, region: string): LookupAnswer | undefined {
    return this.answers.get(service)?.get(region) ?? this.decide(service, region)
  }

  private decide (service: string, region: string): LookupAnswer | undefined {
    const { configuration, version } = this
    // Names come from callers: only own fields are services, never those of Object.prototype.
    if (!Object.hasOwn(configuration.services, service) || !Object.hasOwn(configuration.regions, region)) return undefined
    const answer = decideFrom({ service, region, configuration, version }, this.live)
    const byRegion = this.answers.get(service)
    if (byRegion === undefined) this.answers.set(service, new Map([[region, answer]]))
    else byRegion.set(region, answer)
    return answer
  }
}
