/**
 * Who follows the store, and from whom the others learn.
 *
 * The load pattern: each call to the store is priced and its rates grow more slowly
 * than the fleet, while each change must reach every entry VM within seconds. So
 * two VMs of each region watch it, and tell the others along a tree of bounded
 * fan-out. Every VM works the tree out from the list of VMs alone, without an
 * election: VMs whose lists differ for a moment follow once too often or ask a VM
 * further up, and both do no harm.
 *
 * Within a failure domain VMs stand in pairs, those with the largest links first and
 * alike ones by rendezvous rank: who watches the store receives each configuration
 * whole, and who tells others sends each change several times. Each VM learns from
 * both of the pair above its own, so that one VM that dies, is cut off, or is paused
 * delays nobody. The first pair of a domain learns from the region's two followers,
 * which lie in two domains where the region has two.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'
import type { EntryNode } from './records.js'

/** One may be paused or die; the other goes on. */
const FOLLOWERS_PER_REGION = 2
/** VMs that share their sources. */
const PAIR_SIZE = 2
/** Pairs that learn from one pair: each VM tells at most eight others of its domain, which reaches 42 VMs in three steps. */
const CHILD_PAIRS_PER_PAIR = 4

/** What one VM is to do. */
export interface FollowPlan {
  /** Whether this VM watches the store. */
  readonly isFollower: boolean
  /** VMs to learn from, the best first; a VM keeps to the first two that serve it. */
  readonly sources: readonly EntryNode[]
}

/** Where the VMs are. */
export type RegionByDomain = ReadonlyMap<string, string>

function rankNodes (key: string, nodes: readonly EntryNode[]): EntryNode[] {
  const byName = new Map(nodes.map((node) => [node.name, node]))
  return rankByRendezvous(key, [...byName.keys()]).map((name) => byName.get(name)!)
}

function splitNodes (nodes: readonly EntryNode[], getGroup: (node: EntryNode) => string): Map<string, EntryNode[]> {
  const groups = new Map<string, EntryNode[]>()
  for (const node of nodes) {
    const group = getGroup(node)
    const members = groups.get(group)
    if (members === undefined) groups.set(group, [node])
    else members.push(node)
  }
  return groups
}

/** Links that differ by less than a factor of two count alike, so that the rank spreads the work. */
function classifyLinkSpeed ({ linkMbps = 1 }: EntryNode): number {
  return Math.floor(Math.log2(linkMbps))
}

/** The VMs with the largest links first. */
function rankByLink (key: string, nodes: readonly EntryNode[]): EntryNode[] {
  return rankNodes(key, nodes).sort((left, right) => classifyLinkSpeed(right) - classifyLinkSpeed(left))
}

/** The VMs of one failure domain in the order in which they hear. */
function rankMembers (domain: string, members: readonly EntryNode[]): EntryNode[] {
  return rankByLink(`follow/${domain}`, members)
}

/** The followers of one region: the first VM of each of two domains, or the first two of its only one. */
function chooseFollowers (nodes: readonly EntryNode[]): EntryNode[] {
  const rankedByDomain = [...splitNodes(nodes, ({ domain }) => domain)].map(([domain, members]) => rankMembers(domain, members))
  if (rankedByDomain.length === 1) return rankedByDomain[0]!.slice(0, FOLLOWERS_PER_REGION)
  const firstOfEachDomain = rankedByDomain.map((members) => members[0]!)
  return rankByLink('follow', firstOfEachDomain).slice(0, FOLLOWERS_PER_REGION)
}

/** The pair above a VM within its domain; undefined for the first pair. */
function findParentPair (ranked: readonly EntryNode[], name: string): EntryNode[] | undefined {
  const pairIndex = Math.floor(ranked.findIndex((node) => node.name === name) / PAIR_SIZE)
  if (pairIndex === 0) return undefined
  const parentIndex = Math.floor((pairIndex - 1) / CHILD_PAIRS_PER_PAIR)
  return ranked.slice(parentIndex * PAIR_SIZE, (parentIndex + 1) * PAIR_SIZE)
}

/**
 * @param nodes the entry VMs known, this one included or not
 * @param self this VM
 * @param regionByDomain all failure domains with their regions
 * @returns whether this VM watches the store, and whom it learns from otherwise
 */
export function planFollowing (nodes: Iterable<EntryNode>, self: EntryNode, regionByDomain: RegionByDomain): FollowPlan {
  const allNodes = [...[...nodes].filter(({ name }) => name !== self.name), self]
  const regions = splitNodes(allNodes, ({ domain }) => regionByDomain.get(domain) ?? '')
  const ownRegion = regionByDomain.get(self.domain) ?? ''
  const followersByRegion = new Map([...regions].map(([region, members]) => [region, chooseFollowers(members)]))
  const followers = followersByRegion.get(ownRegion)!
  const domainMembers = rankMembers(self.domain, allNodes.filter(({ domain }) => domain === self.domain))
  const parents = findParentPair(domainMembers, self.name) ?? followers
  const remoteFollowers = [...followersByRegion].filter(([region]) => region !== ownRegion).flatMap(([, members]) => members)
  // What remains is ranked anew for each VM, so that VMs that lost the same sources ask different ones.
  const fallbacks = rankNodes(`spare/${self.name}`, [...followers, ...domainMembers.slice(0, PAIR_SIZE)])
  const sources = [...parents, ...fallbacks, ...rankNodes(`spare/${self.name}`, remoteFollowers)].filter(({ name }) => name !== self.name)
  return { isFollower: followers.some(({ name }) => name === self.name), sources: [...new Set(sources)] }
}
