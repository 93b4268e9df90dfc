/**
 * Computes which share of the requests that arrive in each failure domain is intended for each
 * worker. Every entry VM computes the same shares from the same worker list and demand, without
 * coordination.
 *
 * Nearby workers are preferred, and every worker gets requests in proportion to its slots, also
 * when there are more requests than all of them can serve. Together this is an optimal transport
 * problem; Sinkhorn's algorithm solves its regularized form in a few iterations. All domains of a
 * region have the same shares, and so have equal workers of a region: the problem is solved for
 * regions and groups of workers.
 */
import { Proximity } from './proximity.js'

/** The properties of a worker that its share depends on. */
export interface WorkerCapacity {
  readonly id: string
  readonly domain: string
  readonly slots: number
}

/** What regions need and can serve, beyond the list of workers. */
export interface RegionDemand {
  /** Requests that arrive in each region, relative to each other. */
  readonly demandByRegion: ReadonlyMap<string, number>
  /** The part of the slots of a region's workers that can be used now, above 0 and at most 1; 1 for regions without an entry. */
  readonly usableByRegion: ReadonlyMap<string, number>
}

/**
 * Weight of a worker by its proximity to the requests. With evenly distributed capacity, these
 * values keep about nine tenths of a domain's requests in its region. A stronger preference
 * changes little; a weaker one transfers bytes between regions for nothing. All domains of a
 * region have the same weight: their callers request the same objects, and if each domain
 * preferred its own workers, each object would have one worker per domain, with a cache miss
 * at both.
 */
const PREFERENCE_BY_PROXIMITY: Readonly<Record<Proximity, number>> = {
  [Proximity.SameDomain]: 1,
  [Proximity.SameRegion]: 1,
  [Proximity.OtherRegion]: 0.05
}
/**
 * Limit on a worker's load relative to its even share, for keeping requests nearby. A worker
 * caches only a few dozen objects. With more, each request is a cache miss, which costs far
 * more than the round trip to another region.
 */
const MAX_LOAD_RATIO = 1.05
/** Iterations of the scaling; with the preferences above, the shares then add up within a percent. */
const SCALING_ROUNDS = 30

/** Shares by worker id, for requests that arrive in one failure domain. */
export type WorkerShares = ReadonlyMap<string, number>

/** For each region where requests arrive, the part of them that each region serves. */
export type RegionDivision = ReadonlyMap<string, ReadonlyMap<string, number>>

/** Workers of one region with the same number of slots; undefined as region if their failure domain has none. */
interface WorkerGroup {
  readonly region: string | undefined
  readonly slots: number
  readonly workers: WorkerCapacity[]
}

/** Requests that arrive in one region, and the share of them that is intended for each worker of a group. */
interface SupplyRow {
  readonly region: string
  readonly supply: number
  readonly shares: number[]
}

/**
 * @param workers the workers that may get requests
 * @param regionByDomain all failure domains with their regions
 * @param demand the demand by region; if omitted, it is equal in all domains
 * @returns the shares of the workers for each domain; each domain's shares add up to 1
 */
export function computeWorkerShares (workers: readonly WorkerCapacity[], regionByDomain: ReadonlyMap<string, string>, demand?: RegionDemand): Map<string, WorkerShares> {
  const groups = buildGroups(workers, regionByDomain)
  const sharesByRegion = new Map<string, WorkerShares>()
  for (const { region, shares } of divideDemand(groups, regionByDomain, demand)) {
    const shareById = new Map<string, number>()
    for (const [index, group] of groups.entries()) {
      for (const { id } of group.workers) shareById.set(id, shares[index]!)
    }
    sharesByRegion.set(region, shareById)
  }
  return new Map([...regionByDomain].map(([domain, region]) => [domain, sharesByRegion.get(region)!]))
}

/**
 * @param workers the workers that may get requests
 * @param regionByDomain all failure domains with their regions
 * @returns computes the part of each region's requests that each region serves, for one demand or
 *   another
 */
export function buildDivision (workers: readonly WorkerCapacity[], regionByDomain: ReadonlyMap<string, string>): (demand: RegionDemand | undefined) => RegionDivision {
  const groups = buildGroups(workers, regionByDomain)
  return (demand) => new Map(divideDemand(groups, regionByDomain, demand).map(({ region, shares }) => {
    const servedBy = new Map<string, number>()
    for (const [index, group] of groups.entries()) {
      if (group.region !== undefined) servedBy.set(group.region, (servedBy.get(group.region) ?? 0) + shares[index]! * group.workers.length)
    }
    return [region, servedBy]
  }))
}

/**
 * @param regionByDomain all failure domains with their regions
 * @returns the number of failure domains of each region
 */
export function countDomains (regionByDomain: ReadonlyMap<string, string>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const region of regionByDomain.values()) counts.set(region, (counts.get(region) ?? 0) + 1)
  return counts
}

function buildGroups (workers: readonly WorkerCapacity[], regionByDomain: ReadonlyMap<string, string>): WorkerGroup[] {
  const groups = new Map<string, WorkerGroup>()
  for (const worker of workers) {
    const region = regionByDomain.get(worker.domain)
    const name = `${worker.slots} ${region ?? ''}`
    const group = groups.get(name)
    if (group === undefined) groups.set(name, { region, slots: worker.slots, workers: [worker] })
    else group.workers.push(worker)
  }
  return [...groups.values()]
}

function divideDemand (groups: readonly WorkerGroup[], regionByDomain: ReadonlyMap<string, string>, demand: RegionDemand | undefined): SupplyRow[] {
  const supplies = demand?.demandByRegion ?? countDomains(regionByDomain)
  const rows = [...new Set(regionByDomain.values())].map((region): SupplyRow => ({
    region,
    supply: supplies.get(region) ?? 0,
    shares: groups.map((group) => PREFERENCE_BY_PROXIMITY[group.region === region ? Proximity.SameRegion : Proximity.OtherRegion])
  }))
  const slots = groups.map((group) => group.slots * (demand?.usableByRegion.get(group.region ?? '') ?? 1))
  const totalSlots = groups.reduce((sum, group, index) => sum + slots[index]! * group.workers.length, 0)
  const totalSupply = rows.reduce((sum, { supply }) => sum + supply, 0)
  const targets = slots.map((count) => MAX_LOAD_RATIO * totalSupply * count / totalSlots)
  for (let round = 0; round < SCALING_ROUNDS; round++) {
    scaleColumns(rows, targets)
    scaleRows(rows, groups)
  }
  return rows
}

/** Scales down only: a remote worker need not get its even share. */
function scaleColumns (rows: readonly SupplyRow[], targets: readonly number[]): void {
  for (const [column, target] of targets.entries()) {
    let sum = 0
    for (const { supply, shares } of rows) sum += supply * shares[column]!
    if (sum <= target) continue
    for (const { shares } of rows) shares[column]! *= target / sum
  }
}

function scaleRows (rows: readonly SupplyRow[], groups: readonly WorkerGroup[]): void {
  for (const { shares } of rows) {
    const sum = shares.reduce((total, share, column) => total + share * groups[column]!.workers.length, 0)
    for (const column of shares.keys()) shares[column]! /= sum
  }
}
