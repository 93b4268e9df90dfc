/**
 * Chooses the entry VMs that callers of a failure domain are told to use: those of their own
 * domain, else of their region, else all. Callers pick among them with equal probability
 * whatever a VM's capacity; the smallest VM used a tenth of its processor share when this was
 * measured (docs/MEASUREMENTS.md).
 */
import type { EntryNode } from './records.js'

/** Callers use at most this many addresses. */
const MAX_ADDRESSES = 64

/** Location of the callers. */
export interface CallerLocation {
  readonly region: string
  readonly domain: string
}

/**
 * @param nodes the entry VMs that serve requests
 * @param location the callers' location
 * @param regionByDomain all failure domains with their regions
 * @returns the addresses of the nearest VMs
 */
export function chooseEntryVms (nodes: Iterable<EntryNode>, location: CallerLocation, regionByDomain: ReadonlyMap<string, string>): string[] {
  const all = [...nodes].sort((left, right) => (left.name < right.name ? -1 : 1))
  const sameDomain = all.filter(({ domain }) => domain === location.domain)
  const sameRegion = all.filter(({ domain }) => regionByDomain.get(domain) === location.region)
  const nearest = [sameDomain, sameRegion, all].find((list) => list.length > 0) ?? []
  return nearest.slice(0, MAX_ADDRESSES).map(({ address }) => address)
}
