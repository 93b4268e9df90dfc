/** The location of entry VMs, as needed for distributing documents to them. */

/** An entry VM and its region. */
export interface NodeLocation {
  readonly nodeId: string
  readonly region: string
}

/**
 * @param nodes entry VMs
 * @param region a region
 * @returns ids of the entry VMs in the region, in the given order
 */
export function listNodeIdsInRegion (nodes: readonly NodeLocation[], region: string): string[] {
  return nodes.filter((node) => node.region === region).map((node) => node.nodeId)
}
