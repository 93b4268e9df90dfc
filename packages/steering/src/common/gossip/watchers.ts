/**
 * Chooses the entry VMs that watch the store: two of each region, by rendezvous hashing
 * over the VM list. No leader election is needed, since a third watcher does no harm and
 * a region without a watcher still receives changes through gossip.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'
import { listNodeIdsInRegion, type NodeLocation } from './nodeLocation.js'

/** If one of them is paused or fails, the other continues. */
export const MAX_WATCHERS_PER_REGION = 2

/**
 * @param nodes the entry VMs that are neither leaving nor suspected
 * @param region a region
 * @returns ids of its watchers, ordered by rank
 */
export function chooseWatchers (nodes: readonly NodeLocation[], region: string): string[] {
  return rankByRendezvous(`watch/${region}`, listNodeIdsInRegion(nodes, region)).slice(0, MAX_WATCHERS_PER_REGION)
}

/**
 * @param nodes the entry VMs that are neither leaving nor suspected
 * @param self a node
 * @returns whether the node watches the store
 */
export function isWatcher (nodes: readonly NodeLocation[], self: NodeLocation): boolean {
  return chooseWatchers(nodes, self.region).includes(self.nodeId)
}
