import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { computeMovedRatio, DemandSteps, STEP_INTERVAL_MS } from '../../../../src/common/entry/placement/demandSteps.js'
import { buildDivision, type RegionDemand, type RegionDivision, type WorkerCapacity } from '../../../../src/common/entry/placement/workerShares.js'

const SEED = 20261204
const MAX_SHIFT = 0.15
const REGION_NAMES = ['a', 'b', 'c']
const REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c'], ['c-2', 'c']])
const WORKERS = Array.from({ length: 28 }, (_, index): WorkerCapacity => ({ id: `w-${index}`, domain: ['a-1', 'b-1', 'c-1'][index < 13 ? 0 : index < 26 ? 1 : 2]!, slots: 4 }))
const DIVISIONS = [buildDivision(WORKERS, REGIONS), buildDivision(WORKERS.filter(({ domain }) => domain !== 'a-1'), REGIONS)]

function createDemand (values: readonly number[], usable: readonly number[] = [1, 1, 1]): RegionDemand {
  return { demandByRegion: new Map(REGION_NAMES.map((region, index) => [region, values[index]!])), usableByRegion: new Map(REGION_NAMES.map((region, index) => [region, usable[index]!])) }
}

const perSecond = fc.oneof(fc.double({ min: 0, max: 200, noNaN: true }), fc.constantFrom(0, 1e6, 1e300, Infinity, NaN, -5))
const usable = fc.oneof(fc.double({ min: 0, max: 1, noNaN: true }), fc.constantFrom(0, 1))
const measuredInput = fc.option(fc.tuple(fc.tuple(perSecond, perSecond, perSecond), fc.tuple(usable, usable, usable)).map(([values, ratios]) => createDemand(values, ratios)), { nil: undefined })
const historyInput = fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 6_000 }), measured: measuredInput }), { minLength: 1, maxLength: 40 })

describe('the steps towards the measured demand', () => {
  it('move no more of a region\'s requests from one window to the next than the limit, whatever rows arrive', () => {
    // Guards against rows that are missing, late or absurd moving a region's traffic at once.
    fc.assert(fc.property(historyInput, fc.constantFrom(...REGION_NAMES), (history, region) => {
      const steps = new DemandSteps(MAX_SHIFT, region, REGIONS)
      let now = 0
      const changes: Array<{ readonly at: number, readonly divisions: readonly RegionDivision[] }> = [{ at: Number.NEGATIVE_INFINITY, divisions: DIVISIONS.map((compute) => compute(undefined)) }]
      for (const { afterMs, measured } of history) {
        now += afterMs
        if (steps.step(measured, () => DIVISIONS, now) === undefined) continue
        const divisions = DIVISIONS.map((compute) => compute(steps.demand))
        const last = changes.at(-1)!
        assert.ok(now - last.at >= STEP_INTERVAL_MS)
        for (const [index, division] of divisions.entries()) {
          for (const parts of division.values()) assert.ok([...parts.values()].every((value) => value >= 0 && value <= 1 + 1e-9))
          // Each object whose share changes may move twice the net change.
          assert.ok(2 * computeMovedRatio(last.divisions[index]!, division, region) <= MAX_SHIFT, 'moved too much in one step')
        }
        changes.push({ at: now, divisions })
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('together move no more than the limit if each VM knows other rows', () => {
    fc.assert(fc.property(fc.array(historyInput, { minLength: 2, maxLength: 5 }), fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 5, maxLength: 5 }), (histories, weights) => {
      const vms = histories.map((history) => ({ history, steps: new DemandSteps(MAX_SHIFT, 'c', REGIONS) }))
      const total = vms.reduce((sum, _, index) => sum + weights[index]!, 0)
      const computeParts = (): number[] => REGION_NAMES.map((servedBy) => vms.reduce((sum, { steps }, index) => sum + weights[index]! * DIVISIONS[0]!(steps.demand).get('c')!.get(servedBy)! / total, 0))
      let before = computeParts()
      for (let round = 0; round < 20; round++) {
        for (const { history, steps } of vms) steps.step(history[round % history.length]!.measured, () => DIVISIONS, round * STEP_INTERVAL_MS)
        const after = computeParts()
        const moved = after.reduce((sum, value, column) => sum + Math.max(0, value - before[column]!), 0)
        assert.ok(2 * moved <= MAX_SHIFT, `${moved} moved`)
        before = after
      }
    }), { seed: SEED, numRuns: 60 })
  })

  it('are the same at VMs that saw the same rows, and lead to the same demand from different states', () => {
    fc.assert(fc.property(historyInput, historyInput, measuredInput, (first, second, last) => {
      const run = (history: typeof first): DemandSteps => {
        const steps = new DemandSteps(MAX_SHIFT, 'c', REGIONS)
        let now = 0
        for (const { afterMs, measured } of history) steps.step(measured, () => DIVISIONS, now += afterMs)
        return steps
      }
      assert.deepEqual(run(first).demand, run(first).demand)
      const settle = (steps: DemandSteps, from: number): RegionDemand | undefined => {
        for (let index = 0; index < 200; index++) steps.step(last, () => DIVISIONS, from + index * STEP_INTERVAL_MS)
        return steps.demand
      }
      const [left, right] = [settle(run(first), 1e6), settle(run(second), 1e6)]
      for (const region of REGION_NAMES) {
        const parts = [left, right].map((demand) => demand?.demandByRegion.get(region) ?? 1 / 3)
        // Both may have settled within the hysteresis of the last rows.
        assert.ok(Math.abs(parts[0]! - parts[1]!) <= 0.07, `${parts.join(' and ')} in ${region}`)
      }
    }), { seed: SEED, numRuns: 60 })
  })

  it('do not follow small changes', () => {
    const steps = new DemandSteps(MAX_SHIFT, 'c', REGIONS)
    for (let index = 0; index < 50; index++) {
      const noise = (index % 2 === 0 ? 1 : -1) * 0.05
      assert.equal(steps.step(createDemand([100 * (1 + noise), 100 * (1 - noise), 100]), () => DIVISIONS, index * 1_000), undefined)
    }
    assert.equal(steps.demand, undefined)
  })

  it('follow a region whose demand rises by half, also where there are many regions', () => {
    const regions = new Map(Array.from({ length: 12 }, (_, index) => [`d-${index}`, `r-${index}`]))
    const workers = [...regions.keys()].flatMap((domain) => Array.from({ length: 5 }, (_, index): WorkerCapacity => ({ id: `${domain}/${index}`, domain, slots: 4 })))
    const steps = new DemandSteps(MAX_SHIFT, 'r-0', regions)
    const demandByRegion = new Map([...regions.values()].map((region, index) => [region, index === 0 ? 150 : 100]))
    const compute = buildDivision(workers, regions)
    const measured = { demandByRegion, usableByRegion: new Map<string, number>() }
    for (let now = 0; now < 60_000; now += 1_000) steps.step(measured, () => [compute], now)
    const [even, inForce, exact] = [undefined, steps.demand, measured].map((demand) => compute(demand).get('r-0')!.get('r-0')!)
    assert.ok(exact! < even! && Math.abs(inForce! - exact!) <= 0.01, `${inForce} instead of ${exact}, ${even} with equal demand`)
  })

  it('keep the last known demand for a bounded time and then return to equal demand', () => {
    // Guards against all rows missing: neither a jump at once nor a division by demand of long ago.
    const steps = new DemandSteps(MAX_SHIFT, 'c', REGIONS)
    let now = 0
    for (; now < 60_000; now += 1_000) steps.step(createDemand([180, 90, 30]), () => DIVISIONS, now)
    const known = steps.demand
    assert.ok(known !== undefined)
    const silentFrom = now
    for (; now < silentFrom + 10_000; now += 1_000) assert.equal(steps.step(undefined, () => DIVISIONS, now), undefined)
    assert.equal(steps.demand, known)
    for (; now < silentFrom + 60_000; now += 1_000) steps.step(undefined, () => DIVISIONS, now)
    assert.equal(steps.demand, undefined)
  })

  it('follow rows that are not usable no more than missing ones', () => {
    const steps = new DemandSteps(MAX_SHIFT, 'c', REGIONS)
    for (const values of [[0, 0, 0], [NaN, 1, 1], [Infinity, 1, 1]]) assert.equal(steps.step(createDemand(values), () => DIVISIONS, 0), undefined)
  })
})
