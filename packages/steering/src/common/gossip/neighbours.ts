/**
 * Chooses the gossip neighbours with which a node exchanges digests: its successors on
 * a hash ring of its region, one random other node of the region and a few random nodes
 * of other regions. The ring alone keeps a region connected; the random neighbours keep
 * the diameter small and connect the regions.
 */
import type { IRandomSource } from '@umberspar/base/common/random'
import { computeHash32 } from '../hash/xxHash.js'
import type { NodeLocation } from './nodeLocation.js'

/** Successors on the region's ring; in a region of up to four nodes these are all others. */
export const MAX_RING_NEIGHBOURS = 3
/** Neighbours in other regions in one round. */
export const MAX_REMOTE_NEIGHBOURS = 2
/** Up to this fleet size, rounds take place every second and every digest reports on all nodes. */
export const MAX_SMALL_FLEET_VMS = 32

const MIN_ROUND_INTERVAL_MS = 1000
const MAX_ROUND_INTERVAL_MS = 5000

/** Ids of a node's neighbours in one round. */
export interface Neighbours {
  /** The same in every round as long as the list of nodes doesn't change. */
  readonly ring: readonly string[]
  /** Chosen again in every round. */
  readonly random: readonly string[]
}

interface RingPosition {
  readonly nodeId: string
  readonly hash: number
}

function compareRingPositions (left: RingPosition, right: RingPosition): number {
  if (left.hash !== right.hash) return left.hash - right.hash
  return left.nodeId < right.nodeId ? -1 : 1
}

/**
 * Lists a node's successors on the hash ring of its region.
 * @param nodeIds ids of the nodes of the region
 * @param selfId id of the node
 * @returns ids of its successors, the nearest first
 */
export function listRingSuccessors (nodeIds: readonly string[], selfId: string): string[] {
  const all = [...new Set([...nodeIds, selfId])]
  const ring = all.map((nodeId) => ({ nodeId, hash: computeHash32(`ring/${nodeId}`) })).sort(compareRingPositions).map((position) => position.nodeId)
  const start = ring.indexOf(selfId)
  const others = [...ring.slice(start + 1), ...ring.slice(0, start)]
  return others.slice(0, MAX_RING_NEIGHBOURS)
}

function chooseRandomly (ids: readonly string[], count: number, random: IRandomSource): string[] {
  const remaining = [...ids]
  const chosen: string[] = []
  while (chosen.length < count && remaining.length > 0) {
    const index = Math.floor(random.next() * remaining.length)
    chosen.push(...remaining.splice(index, 1))
  }
  return chosen
}

/**
 * Chooses the neighbours for one round.
 * @param nodes all nodes that are not known to have left; suspected ones are included, so that the end of a network partition is noticed
 * @param self this node
 * @param random source of random numbers
 * @returns the neighbours
 */
export function chooseNeighbours (nodes: readonly NodeLocation[], self: NodeLocation, random: IRandomSource): Neighbours {
  const others = nodes.filter((node) => node.nodeId !== self.nodeId)
  const regional = others.filter((node) => node.region === self.region).map((node) => node.nodeId)
  const ring = listRingSuccessors(regional, self.nodeId)
  const otherRegional = regional.filter((nodeId) => !ring.includes(nodeId))
  const remote = others.filter((node) => node.region !== self.region).map((node) => node.nodeId)
  return { ring, random: [...chooseRandomly(otherRegional, 1, random), ...chooseRandomly(remote, MAX_REMOTE_NEIGHBOURS, random)] }
}

/**
 * @param nodeCount number of entry VMs
 * @returns interval between two rounds in milliseconds, without jitter
 */
export function computeRoundIntervalMs (nodeCount: number): number {
  return Math.min(MAX_ROUND_INTERVAL_MS, MIN_ROUND_INTERVAL_MS * Math.max(1, nodeCount / MAX_SMALL_FLEET_VMS))
}
