/** What is known of the other entry VMs, and which of them have a newer configuration. */
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import { rankNodes, type RegionByDomain } from '@umberspar/steering/common/entry/replicationPlan'

/** VMs to try when several have a newer configuration than this one. */
const MAX_NEWER_SOURCES = 6

/** This VM and the other entry VMs of the deployment. */
export interface FleetInfo {
  readonly self: EntryNode
  readonly regionByDomain: RegionByDomain
  /** @returns the known entry VMs */
  listNodes(): Iterable<EntryNode>
  /** @returns `host:port` of the seed VMs, which are tried last */
  listSeeds(): readonly string[]
  /** @returns whether a configuration has been read */
  hasConfiguration(): boolean
  /** @returns the entry VMs that have a newer configuration than this one; empty if this VM's is the newest */
  listNodesWithNewerConfiguration(): readonly EntryNode[]
}

/**
 * @param fleet the entry VMs
 * @returns the addresses of VMs that have a configuration which the store has lost and this VM lacks
 */
export function listNewerSources (fleet: FleetInfo): string[] {
  const newer = rankNodes(`newer/${fleet.self.name}`, fleet.listNodesWithNewerConfiguration())
  return newer.slice(0, MAX_NEWER_SOURCES).map(({ peerAddress }) => peerAddress)
}
