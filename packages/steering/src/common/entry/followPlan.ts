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
const GROUP = 2
/** Pairs that learn from one pair: each VM tells at most eight others of its domain, which reaches 42 VMs in three steps. */
const PAIRS_PER_PAIR = 4

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

function splitNodes (nodes: readonly EntryNode[], getPart: (node: EntryNode) => string): Map<string, EntryNode[]> {
  const parts = new Map<string, EntryNode[]>()
  for (const node of nodes) {
    const part = getPart(node)
    const members = parts.get(part)
    if (members === undefined) parts.set(part, [node])
    else members.push(node)
  }
  return parts
}

/** Links that differ by less than a factor of two count alike, so that the rank spreads the work. */
function classifyLink ({ linkMbps = 1 }: EntryNode): number {
  return Math.floor(Math.log2(linkMbps))
}

/** The VMs with the largest links first. */
function rankByLink (key: string, nodes: readonly EntryNode[]): EntryNode[] {
  return rankNodes(key, nodes).sort((left, right) => classifyLink(right) - classifyLink(left))
}

/** The VMs of one failure domain in the order in which they hear. */
function rankMembers (domain: string, members: readonly EntryNode[]): EntryNode[] {
  return rankByLink(`follow/${domain}`, members)
}

/** The followers of one region: the first VM of each of two domains, or the first two of its only one. */
function chooseFollowers (nodes: readonly EntryNode[]): EntryNode[] {
  const ranked = [...splitNodes(nodes, ({ domain }) => domain)].map(([domain, members]) => rankMembers(domain, members))
  if (ranked.length === 1) return ranked[0]!.slice(0, FOLLOWERS_PER_REGION)
  const heads = ranked.map((members) => members[0]!)
  return rankByLink('follow', heads).slice(0, FOLLOWERS_PER_REGION)
}

/** The pair above a VM within its domain; undefined for the first pair. */
function findPairAbove (ranked: readonly EntryNode[], name: string): EntryNode[] | undefined {
  const pair = Math.floor(ranked.findIndex((node) => node.name === name) / GROUP)
  if (pair === 0) return undefined
  const above = Math.floor((pair - 1) / PAIRS_PER_PAIR)
  return ranked.slice(above * GROUP, (above + 1) * GROUP)
}

/**
 * @param nodes the entry VMs known, this one included or not
 * @param self this VM
 * @param regionOf all failure domains with their regions
 * @returns whether this VM watches the store, and whom it learns from otherwise
 */
export function planFollowing (nodes: Iterable<EntryNode>, self: EntryNode, regionOf: RegionByDomain): FollowPlan {
  const all = [...[...nodes].filter(({ name }) => name !== self.name), self]
  const regions = splitNodes(all, ({ domain }) => regionOf.get(domain) ?? '')
  const ownRegion = regionOf.get(self.domain) ?? ''
  const followersByRegion = new Map([...regions].map(([region, members]) => [region, chooseFollowers(members)]))
  const followers = followersByRegion.get(ownRegion)!
  const domainMembers = rankMembers(self.domain, all.filter(({ domain }) => domain === self.domain))
  const first = findPairAbove(domainMembers, self.name) ?? followers
  const elsewhere = [...followersByRegion].filter(([region]) => region !== ownRegion).flatMap(([, members]) => members)
  // What remains is ranked anew for each VM, so that VMs that lost the same sources ask different ones.
  const spare = rankNodes(`spare/${self.name}`, [...followers, ...domainMembers.slice(0, GROUP)])
  const sources = [...first, ...spare, ...rankNodes(`spare/${self.name}`, elsewhere)].filter(({ name }) => name !== self.name)
  return { isFollower: followers.some(({ name }) => name === self.name), sources: [...new Set(sources)] }
}
