/**
 * How much of the requests that arrive in each failure domain each worker is meant
 * to get, worked out alike by every entry VM from the same worker list, without
 * any talk among them.
 *
 * Near workers are preferred, and every worker gets work in proportion to its
 * slots. Both together are an optimal-transport problem with equal supply in each
 * domain; Sinkhorn's scaling solves its smoothed form in a few rounds.
 */
import { classifyProximity, Proximity } from './proximity.js'

/** A worker, as far as its share depends on it. */
export interface WorkerCapacity {
  readonly id: string
  readonly domain: string
  readonly slots: number
}

/**
 * How strongly nearness counts. With even capacity it keeps about nine tenths of a
 * domain's requests in its region; larger values change little, smaller ones send
 * bytes between regions for nothing. All domains of a region count alike: callers
 * of both ask for the same objects, and preferring a domain's own workers gave each
 * object a worker for either, both of which had to work on it anew.
 */
const PREFERENCE_BY_PROXIMITY: Readonly<Record<Proximity, number>> = {
  [Proximity.SameDomain]: 1,
  [Proximity.SameRegion]: 1,
  [Proximity.OtherRegion]: 0.05
}
/**
 * A worker may get this many times its even part where that keeps requests near.
 * Objects kept at hand are a few dozen a worker; more than that many are worked on
 * anew each time, which costs far more than the way to another region.
 */
const MAX_LOAD_RATIO = 1.05
/** Rounds of scaling; the shares then add up within a percent with the preferences above. */
const SCALING_ROUNDS = 30

/** Shares by worker id, for requests that arrive in one domain. */
export type WorkerShares = ReadonlyMap<string, number>

/**
 * @param workers the workers that may get work
 * @param regionByDomain all failure domains with their regions
 * @returns the shares of the workers for each domain; each domain's add up to 1
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

/** Scales down only: a far worker need not get its even part. */
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
