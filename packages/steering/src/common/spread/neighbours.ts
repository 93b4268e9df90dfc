/**
 * With whom a node compares digests: its successors on a ring of hashes in its
 * region, one more node of the region and a few of other regions by chance. The
 * ring alone keeps a region connected; the chance keeps its diameter small and
 * ties the regions together.
 */
import type { IRandomSource } from '@umberspar/base/common/random'
import { computeHash32 } from '../hash/xxHash.js'
import type { SpreadNode } from './spreadNode.js'

/** Successors on the region's ring; with today's four nodes to a region, all of it. */
export const RING_NEIGHBOURS = 3
/** Nodes of other regions to speak to in one round. */
export const REMOTE_NEIGHBOURS = 2
/** Up to so many nodes a round comes every second, and every digest tells of all nodes. */
export const SMALL_FLEET = 32

const ROUND_SPAN_MS = 1000
const MAX_ROUND_SPAN_MS = 5000

/** Whom to speak to in a round. */
export interface Neighbours {
  /** The same in every round while the list of nodes stands. */
  readonly ring: readonly string[]
  /** Drawn anew for every round. */
  readonly random: readonly string[]
}

interface RingPlace {
  readonly nodeId: string
  readonly hash: number
}

function comparePlaces (left: RingPlace, right: RingPlace): number {
  if (left.hash !== right.hash) return left.hash - right.hash
  return left.nodeId < right.nodeId ? -1 : 1
}

/**
 * @param nodeIds nodes of one region, the asking one included
 * @param selfId the asking node
 * @returns its successors on the ring, the nearest first
 */
export function listRingSuccessors (nodeIds: readonly string[], selfId: string): string[] {
  const all = [...new Set([...nodeIds, selfId])]
  const ring = all.map((nodeId) => ({ nodeId, hash: computeHash32(`ring/${nodeId}`) })).sort(comparePlaces).map((place) => place.nodeId)
  const start = ring.indexOf(selfId)
  const others = [...ring.slice(start + 1), ...ring.slice(0, start)]
  return others.slice(0, RING_NEIGHBOURS)
}

function chooseByChance (ids: readonly string[], count: number, random: IRandomSource): string[] {
  const left = [...ids]
  const drawn: string[] = []
  while (drawn.length < count && left.length > 0) {
    const index = Math.floor(random.next() * left.length)
    drawn.push(...left.splice(index, 1))
  }
  return drawn
}

/**
 * @param nodes all nodes that are not known to be gone, suspected ones too, so that a cut that heals is found out
 * @param self this node
 * @param random the source of chance
 * @returns whom to speak to in this round
 */
export function chooseNeighbours (nodes: readonly SpreadNode[], self: SpreadNode, random: IRandomSource): Neighbours {
  const others = nodes.filter((node) => node.nodeId !== self.nodeId)
  const regional = others.filter((node) => node.region === self.region).map((node) => node.nodeId)
  const ring = listRingSuccessors(regional, self.nodeId)
  const rest = regional.filter((nodeId) => !ring.includes(nodeId))
  const remote = others.filter((node) => node.region !== self.region).map((node) => node.nodeId)
  return { ring, random: [...chooseByChance(rest, 1, random), ...chooseByChance(remote, REMOTE_NEIGHBOURS, random)] }
}

/**
 * @param nodeCount how many entry VMs there are
 * @returns the span between two rounds, in milliseconds, before jitter
 */
export function computeRoundSpan (nodeCount: number): number {
  return Math.min(MAX_ROUND_SPAN_MS, ROUND_SPAN_MS * Math.max(1, nodeCount / SMALL_FLEET))
}
