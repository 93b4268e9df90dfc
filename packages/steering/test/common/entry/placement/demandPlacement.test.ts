import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DemandPlacement, type PlacedWorker } from '../../../../src/common/entry/placement/demandPlacement.js'
import { KeyRanking } from '../../../../src/common/entry/placement/keyRanking.js'
import { buildDivision, computeWorkerShares, type RegionDemand, type WorkerCapacity } from '../../../../src/common/entry/placement/workerShares.js'

const MAX_SHIFT = 0.15
const REGION_NAMES = ['a', 'b', 'c']
const REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c'], ['c-2', 'c']])
/** The last region has a fourteenth of the workers. */
const COUNT_BY_DOMAIN: Readonly<Record<string, number>> = { 'a-1': 13, 'a-2': 13, 'b-1': 13, 'b-2': 13, 'c-1': 2, 'c-2': 2 }
const WORKERS = Object.entries(COUNT_BY_DOMAIN).flatMap(([domain, count]) => Array.from({ length: count }, (_, index): PlacedWorker => ({ id: `${domain}/${index}`, domain, slots: 4, isPaused: false, isCold: false })))
const STEP_MS = 1_000
const WAVE_PERIOD_MS = 36_000
const WAVE_HEIGHT = 0.55
/** Time constant of the measured rates, and the time that rows are under way. */
const MEASURING_MS = 2_000
const ROW_DELAY_MS = 1_000

type DemandAt = (now: number) => number[]

const computeWaves: DemandAt = (now) => REGION_NAMES.map((_, index) => 100 * (1 + WAVE_HEIGHT * Math.sin(2 * Math.PI * (now / WAVE_PERIOD_MS + index / REGION_NAMES.length))))

/**
 * @param getDemand the demand in force in a region
 * @returns the utilization of the busiest region's workers, relative to the mean
 */
function computePeak (workers: readonly WorkerCapacity[], values: readonly number[], getDemand: (region: string) => RegionDemand | undefined): number {
  const computeDivision = buildDivision(workers, REGIONS)
  const division = new Map(REGION_NAMES.map((region) => [region, computeDivision(getDemand(region)).get(region)!]))
  const total = values.reduce((sum, value) => sum + value, 0)
  return Math.max(...REGION_NAMES.map((servedBy) => {
    const load = REGION_NAMES.reduce((sum, region, index) => sum + values[index]! * (division.get(region)!.get(servedBy) ?? 0), 0)
    const count = workers.filter(({ domain }) => REGIONS.get(domain) === servedBy).length
    return count === 0 ? 0 : load / total * workers.length / count
  }))
}

/** @returns the mean and the largest peak utilization, with measured and with equal demand, and the number of changes */
function runPlacement (computeDemand: DemandAt, listWorkers: (now: number) => readonly PlacedWorker[], untilMs: number): { mean: number, evenMean: number, worst: number, evenWorst: number, changes: number, maxMoved: number } {
  const placements = new Map(REGION_NAMES.map((region) => [region, new DemandPlacement(MAX_SHIFT, `${region}-1`, REGIONS)]))
  const measured = REGION_NAMES.map(() => 100)
  const peaks: number[] = []
  const evenPeaks: number[] = []
  let changes = 0
  let maxMoved = 0
  for (let now = 0; now < untilMs; now += STEP_MS) {
    const arrived = computeDemand(now - ROW_DELAY_MS)
    for (const index of measured.keys()) measured[index]! += (1 - Math.exp(-STEP_MS / MEASURING_MS)) * (arrived[index]! - measured[index]!)
    const workers = listWorkers(now)
    for (const placement of placements.values()) {
      if (placement.update({ perSecondByRegion: new Map(REGION_NAMES.map((region, index) => [region, measured[index]!])), coldPerSecond: 2, objectCount: 100, listWorkers: () => workers }, now)) changes++
      maxMoved = Math.max(maxMoved, placement.state?.step?.movedRatio ?? 0)
    }
    peaks.push(computePeak(workers, computeDemand(now), (region) => placements.get(region)!.demand))
    evenPeaks.push(computePeak(workers, computeDemand(now), () => undefined))
  }
  const computeMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  return { mean: computeMean(peaks), evenMean: computeMean(evenPeaks), worst: Math.max(...peaks), evenWorst: Math.max(...evenPeaks), changes, maxMoved }
}

describe('placement by demand', () => {
  it('keeps the busiest workers closer to the mean than equal demand while demand moves between regions in waves', () => {
    const { mean, evenMean, worst, evenWorst, changes, maxMoved } = runPlacement(computeWaves, () => WORKERS, 5 * WAVE_PERIOD_MS)
    assert.ok(mean - 1 < 0.6 * (evenMean - 1), `${mean} instead of ${evenMean}`)
    assert.ok(worst < evenWorst)
    assert.ok(2 * maxMoved <= MAX_SHIFT)
    assert.ok(changes <= 3 * 5 * WAVE_PERIOD_MS / 2_000)
  })

  it('follows a region that takes most of the clients of another, within the limit of each step', () => {
    const computeDemand: DemandAt = (now) => now < 20_000 ? [100, 100, 100] : [20, 180, 100]
    const { mean, evenMean, maxMoved } = runPlacement(computeDemand, () => WORKERS, 60_000)
    assert.ok(mean - 1 < 0.5 * (evenMean - 1), `${mean} instead of ${evenMean}`)
    assert.ok(2 * maxMoved <= MAX_SHIFT)
  })

  it('moves little for clients that are away for a few seconds only', () => {
    // Shifts of 80 % of a domain's clients to a domain of another region last 2 to 7 s.
    const computeDemand: DemandAt = (now) => now >= 20_000 && now < 24_000 ? [60, 140, 100] : [100, 100, 100]
    const { changes } = runPlacement(computeDemand, () => WORKERS, 60_000)
    assert.ok(changes <= 3 * 8)
  })

  it('sends nothing to evacuated workers from the first request on, and divides the rest by demand', () => {
    const remaining = WORKERS.filter(({ domain }) => domain !== 'a-1')
    const { mean, evenMean, maxMoved } = runPlacement(computeWaves, (now) => now >= 30_000 && now < 90_000 ? remaining : WORKERS, 5 * WAVE_PERIOD_MS)
    assert.ok(mean < evenMean)
    assert.ok(2 * maxMoved <= MAX_SHIFT)
  })

  it('moves no more objects to other regions with a step than the limit on shifts', () => {
    const keys = Array.from({ length: 400 }, (_, index) => `object-${index}`)
    const placement = new DemandPlacement(MAX_SHIFT, 'c-1', REGIONS)
    const regionByWorker = new Map(WORKERS.map(({ id, domain }) => [id, REGIONS.get(domain)!]))
    const listRegions = (): string[] => {
      const ranking = new KeyRanking(computeWorkerShares(WORKERS, REGIONS, placement.demand).get('c-1')!)
      return keys.map((key) => regionByWorker.get(ranking.rank(key)[0]!)!)
    }
    let before = listRegions()
    let steps = 0
    for (let now = 0; now < 2 * WAVE_PERIOD_MS; now += STEP_MS) {
      const perSecondByRegion = new Map(REGION_NAMES.map((region, index) => [region, computeWaves(now)[index]!]))
      if (!placement.update({ perSecondByRegion, coldPerSecond: 2, objectCount: 0, listWorkers: () => WORKERS }, now)) continue
      steps++
      const after = listRegions()
      const moved = after.filter((region, index) => region !== before[index]).length / keys.length
      assert.ok(moved <= MAX_SHIFT, `${moved} of the objects moved`)
      before = after
    }
    assert.ok(steps > 5)
  })

  it('counts cold workers by their limit and paused ones not at all', () => {
    const workers = WORKERS.map((worker) => ({ ...worker, isCold: worker.domain === 'a-1', isPaused: worker.domain === 'b-1' }))
    const placement = new DemandPlacement(MAX_SHIFT, 'c-1', REGIONS)
    const perSecondByRegion = new Map([['a', 100], ['b', 100], ['c', 100]])
    const before = buildDivision(WORKERS, REGIONS)(undefined).get('c')!
    for (let now = 0; now < 60_000; now += STEP_MS) placement.update({ perSecondByRegion, coldPerSecond: 1, objectCount: 0, listWorkers: () => workers }, now)
    assert.equal(placement.state!.usableSlotsByRegion.get('b'), 52)
    const aSlots = placement.state!.usableSlotsByRegion.get('a')!
    assert.ok(aSlots > 52 && aSlots < 104)
    assert.ok(buildDivision(WORKERS, REGIONS)(placement.demand).get('c')!.get('b')! < before.get('b')!)
  })

  it('is that of equal demand where no demand is known', () => {
    const placement = new DemandPlacement(MAX_SHIFT, 'c-1', REGIONS)
    for (let now = 0; now < 60_000; now += STEP_MS) assert.equal(placement.update({ perSecondByRegion: undefined, coldPerSecond: 1, objectCount: 0, listWorkers: () => WORKERS }, now), false)
    assert.equal(placement.demand, undefined)
  })
})
