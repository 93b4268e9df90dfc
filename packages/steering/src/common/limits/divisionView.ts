/** A division view: the shares of all limits that follow from one configuration and one roster of entry VMs. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computeHash64 } from '../hash/xxHash.js'
import { type EntryCandidate, listServiceEntries } from '../lookup/decideLookup.js'
import { divideSlots, type SlotShare } from './divideSlots.js'
import { computeDividedConnections } from './probeConnections.js'
import { buildPlaceKey, buildSlotKey } from './slotKey.js'

/** Input of {@link buildDivisionView}. */
export interface DivisionInput {
  readonly selfId: string
  /** This node's region; it has no share of the limits of places in other regions. */
  readonly region: string
  readonly configuration: SteeringConfiguration
  readonly configurationVersion: number
  /** Digest of the configuration's body. */
  readonly configurationDigest: string
  readonly listVersion: number
  readonly members: readonly EntryCandidate[]
}

/** This node's shares for one configuration and one roster. */
export interface DivisionView {
  /** Hash of the configuration and the roster; two nodes have the same one only if they hold the same of both. */
  readonly fingerprint: string
  readonly listVersion: number
  /** Node ids of the roster. */
  readonly members: readonly string[]
  /** This node's share by slot key; zero for a missing key. */
  readonly shares: ReadonlyMap<string, SlotShare>
  /** This node's share of a place's concurrency limit, by place key; Infinity if the configuration sets no limit. */
  readonly placeShares: ReadonlyMap<string, number>
}

/** The place's concurrency limit is divided like a worker with this id, which no worker can have. */
const PLACE_LIMIT_ID = '*'
/** A place has no connection limit, so this part of its share is never read. */
const PLACE_CONNECTIONS = 0

/**
 * Divides the limits of all workers and places in the node's region.
 * @param input a configuration and a roster
 * @returns the division view of this node
 */
export function buildDivisionView (input: DivisionInput): DivisionView {
  const shares = new Map<string, SlotShare>()
  const placeShares = new Map<string, number>()
  const domains = new Set(input.configuration.regions[input.region]?.failureDomains ?? [])
  for (const [service, { places }] of Object.entries(input.configuration.services)) {
    const entries = listServiceEntries(service, input.region, input.members, input.configuration.entriesPerRegion)
    for (const [failureDomain, place] of Object.entries(places)) {
      if (!domains.has(failureDomain)) continue
      const division = { service, entries, selfId: input.selfId }
      const workers = Object.fromEntries(Object.entries(place.workers).map(([workerId, { slots, connections }]) =>
        [workerId, { slots, connections: computeDividedConnections(connections) }]))
      for (const [workerId, share] of divideSlots({ ...division, workers })) {
        const address = place.workers[workerId]?.address ?? ''
        shares.set(buildSlotKey(service, failureDomain, workerId, address), share)
      }
      const limit = { [PLACE_LIMIT_ID]: { slots: place.maxConcurrency ?? 0, connections: PLACE_CONNECTIONS } }
      const placeShare = divideSlots({ ...division, service: buildPlaceKey(service, failureDomain), workers: limit }).get(PLACE_LIMIT_ID)
      placeShares.set(buildPlaceKey(service, failureDomain), place.maxConcurrency === undefined ? Infinity : placeShare?.slots ?? 0)
    }
  }
  return { fingerprint: computeFingerprint(input), listVersion: input.listVersion, members: input.members.map(({ nodeId }) => nodeId), shares, placeShares }
}

function computeFingerprint (input: DivisionInput): string {
  const members = input.members.map(({ nodeId, failureDomain }) => [nodeId, failureDomain])
  return computeHash64(JSON.stringify([input.configurationVersion, input.configurationDigest, input.listVersion, members]))
}
