/**
 * Which entry VMs watch the store. Two of each region, by rendezvous rank over
 * the VM list: no election, since a third watcher does no harm and a region with
 * none still hears from its neighbours.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'
import { listNodeIdsOf, type SpreadNode } from './spreadNode.js'

/** One may be paused or die; the other goes on. */
export const WATCHERS_PER_REGION = 2

/**
 * @param nodes the entry VMs that are neither leaving nor suspected
 * @param region which region
 * @returns the ids of its watchers, the first in rank first
 */
export function chooseWatchers (nodes: readonly SpreadNode[], region: string): string[] {
  return rankByRendezvous(`watch/${region}`, listNodeIdsOf(nodes, region)).slice(0, WATCHERS_PER_REGION)
}

/**
 * @param nodes the entry VMs that are neither leaving nor suspected
 * @param self the node that asks
 * @returns whether it watches the store
 */
export function isWatcher (nodes: readonly SpreadNode[], self: SpreadNode): boolean {
  return chooseWatchers(nodes, self.region).includes(self.nodeId)
}
