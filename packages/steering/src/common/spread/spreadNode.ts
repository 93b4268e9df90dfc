/** What the spread of documents needs to know of an entry VM. */

/** One entry VM. */
export interface SpreadNode {
  readonly nodeId: string
  readonly region: string
}

/**
 * @param nodes entry VMs
 * @param region which region
 * @returns the ids of those in the region, in the order given
 */
export function listNodeIdsOf (nodes: readonly SpreadNode[], region: string): string[] {
  return nodes.filter((node) => node.region === region).map((node) => node.nodeId)
}
