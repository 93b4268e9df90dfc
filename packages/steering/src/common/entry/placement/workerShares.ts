/**
 * Computes which share of the requests that arrive in each failure domain is intended for each
 * worker. Every entry VM computes the same shares from the same worker list, without
 * coordination.
 *
 * Nearby workers are preferred, and every worker gets requests in proportion to its slots.
 * Together this is an optimal transport problem with equal supply in each domain; Sinkhorn's
 * algorithm solves its regularized form in a few iterations.
 */
import { classifyProximity, Proximity } from './proximity.js'

/** The properties of a worker that its share depends on. */
export interface WorkerCapacity {
  readonly id: string
  readonly domain: string
  readonly slots: number
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

/**
 * @param workers the workers that may get requests
 * @param regionByDomain all failure domains with their regions
 * @returns the shares of the workers for each domain; each domain's shares add up to 1
 */
export function computeWorkerShares (workers: readonly WorkerCapacity[], regionByDomain: ReadonlyMap<string, string>): Map<string, WorkerShares> {
  const domains = [...regionByDomain.keys()]
  const totalSlots = workers.reduce((sum, { slots }) => sum + slots, 0)
  const matrix = domains.map((domain) => workers.map((worker) => PREFERENCE_BY_PROXIMITY[classifyProximity(domain, worker.domain, regionByDomain)]))
  const targets = workers.map(({ slots }) => MAX_LOAD_RATIO * domains.length * slots / totalSlots)
  for (let round = 0; round < SCALING_ROUNDS; round++) {
    scaleColumns(matrix, targets)
    scaleRows(matrix)
  }
  return new Map(domains.map((domain, row) => [domain, new Map(workers.map(({ id }, column) => [id, matrix[row]![column]!]))]))
}

/** Scales down only: a remote worker need not get its even share. */
function scaleColumns (matrix: number[][], targets: readonly number[]): void {
  for (const [column, target] of targets.entries()) {
    let sum = 0
    for (const row of matrix) sum += row[column]!
    if (sum <= target) continue
    for (const row of matrix) row[column]! *= target / sum
  }
}

function scaleRows (matrix: number[][]): void {
  for (const row of matrix) {
    const sum = row.reduce((total, value) => total + value, 0)
    for (const column of row.keys()) row[column]! /= sum
  }
}
