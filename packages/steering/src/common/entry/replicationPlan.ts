/**
 * Plans which entry VMs watch the store (the followers), and from which VMs the others
 * replicate.
 *
 * Each call to the store has a cost, and its rate limits grow more slowly than the fleet,
 * while each change must reach every entry VM within seconds. So two VMs of each region watch
 * the store, and the others get the changes along a tree of bounded fan-out. Every VM computes
 * the tree from the list of VMs alone, without an election. VMs whose lists differ for a
 * moment watch the store needlessly or replicate from a VM further up the tree; both are
 * harmless.
 *
 * Within a failure domain VMs form pairs, ordered by link speed and, for similar links, by
 * rendezvous rank: a VM that watches the store receives each configuration in full, and one
 * that updates others sends each change several times. Each VM replicates from both VMs of its
 * parent pair, so that one VM that fails, is cut off, or is paused delays no other. The first
 * pair of a domain replicates from the region's two followers, which are in two domains where
 * the region has two.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'
import type { EntryNode } from './records.js'

/** If one of them is paused or fails, the other goes on. */
const FOLLOWERS_PER_REGION = 2
/** VMs that replicate from the same sources. */
const PAIR_SIZE = 2
/**
 * Pairs that replicate from one pair. Each VM then updates at most eight others of its domain,
 * which reaches 42 VMs in three steps.
 */
const CHILD_PAIRS_PER_PAIR = 4

/** The role of one VM. */
export interface ReplicationPlan {
  /** Whether this VM watches the store. */
  readonly isFollower: boolean
  /** VMs to replicate from, the preferred ones first; a VM uses the first two that serve it. */
  readonly sources: readonly EntryNode[]
}

/** Regions by failure domain. */
export type RegionByDomain = ReadonlyMap<string, string>

/**
 * @param key ranks the same VMs differently for each value
 * @param nodes entry VMs
 * @returns the VMs by their rendezvous rank
 */
export function rankNodes (key: string, nodes: readonly EntryNode[]): EntryNode[] {
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

/** Links that differ by less than a factor of two count as equal, so that the rendezvous rank spreads the load. */
function classifyLinkSpeed ({ linkMbps = 1 }: EntryNode): number {
  return Math.floor(Math.log2(linkMbps))
}

/** Ranks VMs by link speed, the fastest first, then by rendezvous rank. */
function rankByLink (key: string, nodes: readonly EntryNode[]): EntryNode[] {
  return rankNodes(key, nodes).sort((left, right) => classifyLinkSpeed(right) - classifyLinkSpeed(left))
}

/**
 * Ranks the VMs of one failure domain by their position in the tree.
 * @param domain the failure domain
 * @param members its VMs
 * @returns the VMs, the first pair of the tree first
 */
export function rankMembers (domain: string, members: readonly EntryNode[]): EntryNode[] {
  return rankByLink(`follow/${domain}`, members)
}

/** Chooses the followers of one region: the first VM of each of two domains, or the first two of its only domain. */
function chooseFollowers (nodes: readonly EntryNode[]): EntryNode[] {
  const rankedByDomain = [...splitNodes(nodes, ({ domain }) => domain)].map(([domain, members]) => rankMembers(domain, members))
  if (rankedByDomain.length === 1) return rankedByDomain[0]!.slice(0, FOLLOWERS_PER_REGION)
  const firstOfEachDomain = rankedByDomain.map((members) => members[0]!)
  return rankByLink('follow', firstOfEachDomain).slice(0, FOLLOWERS_PER_REGION)
}

/** Finds the pair that a VM of a domain replicates from; undefined for the first pair. */
function findParentPair (ranked: readonly EntryNode[], name: string): EntryNode[] | undefined {
  const pairIndex = Math.floor(ranked.findIndex((node) => node.name === name) / PAIR_SIZE)
  if (pairIndex === 0) return undefined
  const parentIndex = Math.floor((pairIndex - 1) / CHILD_PAIRS_PER_PAIR)
  return ranked.slice(parentIndex * PAIR_SIZE, (parentIndex + 1) * PAIR_SIZE)
}

/**
 * @param nodes the known entry VMs; this one may be missing
 * @param self this VM
 * @param regionByDomain all failure domains with their regions
 * @returns whether this VM watches the store, and from whom it replicates otherwise
 */
export function planReplication (nodes: Iterable<EntryNode>, self: EntryNode, regionByDomain: RegionByDomain): ReplicationPlan {
  const allNodes = [...[...nodes].filter(({ name }) => name !== self.name), self]
  const regions = splitNodes(allNodes, ({ domain }) => regionByDomain.get(domain) ?? '')
  const ownRegion = regionByDomain.get(self.domain) ?? ''
  const followersByRegion = new Map([...regions].map(([region, members]) => [region, chooseFollowers(members)]))
  const followers = followersByRegion.get(ownRegion)!
  const domainMembers = rankMembers(self.domain, allNodes.filter(({ domain }) => domain === self.domain))
  const parents = findParentPair(domainMembers, self.name) ?? followers
  const remoteFollowers = [...followersByRegion].filter(([region]) => region !== ownRegion).flatMap(([, members]) => members)
  // The fallbacks are ranked differently for each VM, so that VMs that lost the same sources replicate from
  // different ones.
  const fallbacks = rankNodes(`spare/${self.name}`, [...followers, ...domainMembers.slice(0, PAIR_SIZE)])
  const sources = [...parents, ...fallbacks, ...rankNodes(`spare/${self.name}`, remoteFollowers)].filter(({ name }) => name !== self.name)
  return { isFollower: followers.some(({ name }) => name === self.name), sources: [...new Set(sources)] }
}
