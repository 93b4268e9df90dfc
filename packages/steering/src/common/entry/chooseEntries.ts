/**
 * Which entry VMs callers of a failure domain are told to use: those of their own
 * domain, else of their region, else all. Callers pick among the names with equal
 * chance, whatever a VM can take: the smallest is busy for a tenth of its processor
 * share where it was measured (docs/MEASUREMENTS.md).
 */
import type { EntryNode } from './records.js'

/** Callers use this many names at most. */
const MAX_ADDRESSES = 64

/** Where callers are. */
export interface CallerLocation {
  readonly region: string
  readonly domain: string
}

/**
 * @param nodes the entry VMs that serve
 * @param location where the callers are
 * @param regionByDomain all failure domains with their regions
 * @returns addresses, the nearest VMs only
 */
export function chooseEntries (nodes: Iterable<EntryNode>, location: CallerLocation, regionByDomain: ReadonlyMap<string, string>): string[] {
  const all = [...nodes].sort((left, right) => (left.name < right.name ? -1 : 1))
  const sameDomain = all.filter(({ domain }) => domain === location.domain)
  const sameRegion = all.filter(({ domain }) => regionByDomain.get(domain) === location.region)
  const nearest = [sameDomain, sameRegion, all].find((list) => list.length > 0) ?? []
  return nearest.slice(0, MAX_ADDRESSES).map(({ address }) => address)
}
