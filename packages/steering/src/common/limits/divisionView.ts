/** One state of the world by which limits are divided: a configuration and a roster. */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computeHash64 } from '../hash/xxHash.js'
import { type EntryCandidate, listServiceEntries } from '../lookup/decideLookup.js'
import { divideSlots, type SlotShare } from './divideSlots.js'
import { computeDividedConnections } from './probeConnections.js'
import { buildPlaceKey, buildSlotKey } from './slotKey.js'

/** What a view is made from. */
export interface DivisionInput {
  readonly selfId: string
  /** Limits of other regions' places are never this node's own. */
  readonly region: string
  readonly configuration: SteeringConfiguration
  readonly configurationVersion: number
  /** Of the configuration's body. */
  readonly configurationDigest: string
  readonly listVersion: number
  readonly members: readonly EntryCandidate[]
}

/** A view and this node's parts under it. */
export interface DivisionView {
  /** Equal at two nodes only if both hold the same configuration and roster. */
  readonly stamp: string
  readonly listVersion: number
  /** Node ids of the roster. */
  readonly members: readonly string[]
  /** This node's part by slot key; what is missing is zero. */
  readonly parts: ReadonlyMap<string, SlotShare>
  /** This node's part of a place's own limit by place key; Infinity where the operators set none. */
  readonly placeParts: ReadonlyMap<string, number>
}

/** The place's own limit is divided like a worker with this id, which no worker can have. */
const PLACE_LIMIT_ID = '*'
const PLACE_CONNECTIONS = 0

/**
 * @param input a configuration and a roster
 * @returns the view
 */
export function buildDivisionView (input: DivisionInput): DivisionView {
  const parts = new Map<string, SlotShare>()
  const placeParts = new Map<string, number>()
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
        parts.set(buildSlotKey(service, failureDomain, workerId, address), share)
      }
      const limit = { [PLACE_LIMIT_ID]: { slots: place.maxConcurrency ?? 0, connections: PLACE_CONNECTIONS } }
      const part = divideSlots({ ...division, service: buildPlaceKey(service, failureDomain), workers: limit }).get(PLACE_LIMIT_ID)
      placeParts.set(buildPlaceKey(service, failureDomain), place.maxConcurrency === undefined ? Infinity : part?.slots ?? 0)
    }
  }
  return { stamp: buildStamp(input), listVersion: input.listVersion, members: input.members.map(({ nodeId }) => nodeId), parts, placeParts }
}

function buildStamp (input: DivisionInput): string {
  const members = input.members.map(({ nodeId, failureDomain }) => [nodeId, failureDomain])
  return computeHash64(JSON.stringify([input.configurationVersion, input.configurationDigest, input.listVersion, members]))
}
