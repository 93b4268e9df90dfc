/** Divides the slots and connections of workers among entry VMs. */
import { rankByRendezvous } from '../lookup/rendezvous.js'

/** The limits of a worker, or one entry VM's share of them. */
export interface SlotShare {
  /** Maximum number of concurrent requests. */
  readonly slots: number
  /** Maximum number of concurrent connections. */
  readonly connections: number
}

/** Input of {@link divideSlots}. */
export interface SlotDivision {
  readonly service: string
  /** Limits to divide, by worker id. */
  readonly workers: Readonly<Record<string, SlotShare>>
  /** Node ids of the service's entry VMs in the workers' region, in any order, without duplicates. */
  readonly entries: readonly string[]
  /** The entry VM whose share is computed. */
  readonly selfId: string
}

/** Divides `total` evenly; the entry VMs of the lowest ranks get one more each until the remainder is used up. */
function computeShare (total: number, rank: number, entryCount: number): number {
  const base = Math.floor(total / entryCount)
  return rank < total % entryCount ? base + 1 : base
}

/**
 * Computes one entry VM's share of every worker. The shares of all entry VMs add
 * up to exactly the worker's limits. Entry VMs are ranked for each worker
 * separately, so a change to one worker leaves the shares of the others as they
 * are: entry VMs that temporarily hold different configurations still agree on
 * every worker that both configurations contain.
 * @param division the limits and the entry VMs
 * @returns the share by worker id; all zero if `selfId` is not among the entries
 */
export function divideSlots (division: SlotDivision): Map<string, SlotShare> {
  const { service, workers, entries, selfId } = division
  const shares = new Map<string, SlotShare>()
  for (const [workerId, worker] of Object.entries(workers)) {
    const rank = rankByRendezvous(`${service}/${workerId}`, entries).indexOf(selfId)
    shares.set(workerId, rank < 0
      ? { slots: 0, connections: 0 }
      : {
          slots: computeShare(worker.slots, rank, entries.length),
          connections: computeShare(worker.connections, rank, entries.length)
        })
  }
  return shares
}
