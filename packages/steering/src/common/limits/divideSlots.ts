/** How the slots and connections of workers are divided among entry VMs. */
import { rankByRendezvous } from '../lookup/rendezvous.js'

/** A worker's limits, or one entry VM's part of them. */
export interface SlotShare {
  /** Requests at a time. */
  readonly slots: number
  /** Connections at a time. */
  readonly connections: number
}

/** What is divided, and among whom. */
export interface SlotDivision {
  readonly service: string
  /** By worker id. */
  readonly workers: Readonly<Record<string, SlotShare>>
  /** Node ids of the service's entry VMs in the workers' region, in any order, each once. */
  readonly entries: readonly string[]
  /** The entry VM whose part is wanted. */
  readonly selfId: string
}

/**
 * Divides one whole number: everybody gets the same, and what is left goes one
 * by one to the first in rank.
 */
function computePart (total: number, rank: number, entryCount: number): number {
  const base = Math.floor(total / entryCount)
  return rank < total % entryCount ? base + 1 : base
}

/**
 * Computes one entry VM's part of every worker. The parts of all entries sum to
 * exactly the worker's limits. Each worker is divided by a rank of its own, so a
 * change to one worker moves no part of another: entry VMs that for a moment
 * hold different configurations still agree on every worker that both have.
 * @param division what is divided, and among whom
 * @returns the part by worker id; zero throughout if `selfId` is no entry
 */
export function divideSlots (division: SlotDivision): Map<string, SlotShare> {
  const { service, workers, entries, selfId } = division
  const parts = new Map<string, SlotShare>()
  for (const [workerId, worker] of Object.entries(workers)) {
    const rank = rankByRendezvous(`${service}/${workerId}`, entries).indexOf(selfId)
    parts.set(workerId, rank < 0
      ? { slots: 0, connections: 0 }
      : {
          slots: computePart(worker.slots, rank, entries.length),
          connections: computePart(worker.connections, rank, entries.length)
        })
  }
  return parts
}
