/**
 * Chooses the entry VM by way of which a request reaches workers that this VM can't reach itself.
 *
 * The VMs share the relayed requests by how many of them they have, and near ones come first: a
 * request that crosses regions twice is late, but a single VM of the own domain must not get all.
 * VMs that are said to have lost the service come after all others.
 */
import { classifyProximity, Proximity } from '../placement/proximity.js'
import type { EntryNode } from '../records.js'

/** An entry VM that requests may be relayed to. */
export interface RelayCandidate {
  readonly node: EntryNode
  /** Requests of this VM that it has not answered yet. */
  readonly inFlight: number
  /** Whether it has said lately that it doesn't reach the workers either. */
  readonly hasLostService: boolean
}

/** Where this VM is, and where the request may go. */
export interface RelayScope {
  /** This VM's failure domain. */
  readonly domain: string
  readonly regionByDomain: ReadonlyMap<string, string>
  /** The only regions that may serve the request; empty if all may. */
  readonly homeRegions: readonly string[]
}

/** How many more requests in flight a nearer VM may have than one farther away. */
const HANDICAP: Readonly<Record<Proximity, number>> = {
  [Proximity.SameDomain]: 0,
  [Proximity.SameRegion]: 2,
  [Proximity.OtherRegion]: 12
}

/**
 * @param candidates the entry VMs that can take requests now, without this one
 * @param scope where this VM is, and where the request may go
 * @returns the VM to relay the request to; undefined if there is none
 */
export function chooseRelay (candidates: Iterable<RelayCandidate>, { domain, regionByDomain, homeRegions }: RelayScope): EntryNode | undefined {
  let best: RelayCandidate | undefined
  let bestLoad = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    const { node, inFlight, hasLostService } = candidate
    if (homeRegions.length > 0 && !homeRegions.includes(regionByDomain.get(node.domain) ?? '')) continue
    const load = inFlight + HANDICAP[classifyProximity(domain, node.domain, regionByDomain)]
    const isPreferred = best === undefined || (best.hasLostService === hasLostService ? load < bestLoad : !hasLostService)
    if (!isPreferred) continue
    best = candidate
    bestLoad = load
  }
  return best?.node
}
