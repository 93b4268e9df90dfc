import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { KeyRanking } from '../../../../src/common/entry/placement/keyRanking.js'
import { computeMovedRatio } from '../../../../src/common/entry/placement/demandSteps.js'
import { buildDivision, computeWorkerShares, type RegionDemand, type WorkerCapacity } from '../../../../src/common/entry/placement/workerShares.js'

const SEED = 20261204
const REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c']])

const workersInput = fc.array(fc.record({ domain: fc.constantFrom(...REGIONS.keys(), 'unknown-1'), slots: fc.integer({ min: 1, max: 16 }) }), { minLength: 1, maxLength: 40 })
  .map((list): WorkerCapacity[] => list.map((worker, index) => ({ ...worker, id: `w-${index}` })))
const part = fc.double({ min: 0.01, max: 1, noNaN: true })
const demandInput = fc.record({ a: part, b: part, c: part, usableA: part, usableB: part, usableC: part })
  .map(({ a, b, c, usableA, usableB, usableC }): RegionDemand => ({ demandByRegion: new Map([['a', a], ['b', b], ['c', c]]), usableByRegion: new Map([['a', usableA], ['b', usableB], ['c', usableC]]) }))

/** The same problem with a row for each domain and a column for each worker. */
function computeByDomain (workers: readonly WorkerCapacity[]): number[][] {
  const domains = [...REGIONS.keys()]
  const totalSlots = workers.reduce((sum, { slots }) => sum + slots, 0)
  const matrix = domains.map((domain) => workers.map((worker) => REGIONS.get(domain) === REGIONS.get(worker.domain) ? 1 : 0.05))
  for (let round = 0; round < 30; round++) {
    for (const [column, { slots }] of workers.entries()) {
      const target = 1.05 * domains.length * slots / totalSlots
      const sum = matrix.reduce((total, row) => total + row[column]!, 0)
      if (sum > target) for (const row of matrix) row[column]! *= target / sum
    }
    for (const row of matrix) {
      const sum = row.reduce((total, value) => total + value, 0)
      for (const column of row.keys()) row[column]! /= sum
    }
  }
  return matrix
}

describe('the shares of workers by demand', () => {
  it('are those of equal domains if no demand is known', () => {
    fc.assert(fc.property(workersInput, (workers) => {
      const shares = computeWorkerShares(workers, REGIONS)
      const expected = computeByDomain(workers)
      for (const [row, domain] of [...REGIONS.keys()].entries()) {
        for (const [column, { id }] of workers.entries()) assert.ok(Math.abs(shares.get(domain)!.get(id)! - expected[row]![column]!) < 1e-12)
        const [ranking, expectedRanking] = [new KeyRanking(shares.get(domain)!), new KeyRanking(new Map(workers.map(({ id }, column) => [id, expected[row]![column]!])))]
        for (let key = 0; key < 5; key++) assert.deepEqual(ranking.rank(`${key}`), expectedRanking.rank(`${key}`))
      }
    }), { seed: SEED, numRuns: 200 })
  })

  it('add up to one and are the same in all domains of a region, whatever the demand', () => {
    fc.assert(fc.property(workersInput, demandInput, (workers, demand) => {
      const shares = computeWorkerShares(workers, REGIONS, demand)
      for (const byWorker of shares.values()) {
        const total = [...byWorker.values()].reduce((sum, share) => sum + share, 0)
        assert.ok(Math.abs(total - 1) < 1e-9)
      }
      assert.deepEqual(shares.get('a-1'), shares.get('a-2'))
    }), { seed: SEED, numRuns: 300 })
  })

  it('load every worker in proportion to its slots when a region needs more than it has', () => {
    // Guards against a region with a fourteenth of the workers keeping more than they can serve, also when the
    // total demand exceeds the capacity: shares depend on relative demand only.
    const workers = Array.from({ length: 28 }, (_, index): WorkerCapacity => ({ id: `w-${index}`, domain: ['a-1', 'b-1', 'c-1'][index < 13 ? 0 : index < 26 ? 1 : 2]!, slots: 4 }))
    for (const total of [0.1, 1, 1_000]) {
      const demandByRegion = new Map([['a', total * 1.55], ['b', total * 0.7], ['c', total * 0.75]])
      const shares = computeWorkerShares(workers, REGIONS, { demandByRegion, usableByRegion: new Map() })
      const domainOf = new Map([['a', 'a-1'], ['b', 'b-1'], ['c', 'c-1']])
      for (const { id } of workers) {
        const load = [...demandByRegion].reduce((sum, [region, demand]) => sum + demand * shares.get(domainOf.get(region)!)!.get(id)!, 0)
        assert.ok(load <= 1.07 * 3 * total / workers.length, `${id} has ${load}`)
      }
    }
  })

  it('keep requests in their region while it has room', () => {
    const workers = Array.from({ length: 30 }, (_, index): WorkerCapacity => ({ id: `w-${index}`, domain: ['a-1', 'b-1', 'c-1'][index % 3]!, slots: 4 }))
    const division = buildDivision(workers, REGIONS)({ demandByRegion: new Map([['a', 1], ['b', 1], ['c', 1]]), usableByRegion: new Map() })
    for (const region of ['a', 'b', 'c']) assert.ok(division.get(region)!.get(region)! >= 0.9)
  })

  it('move no more objects than twice the part of the shares that changes', () => {
    const keys = Array.from({ length: 400 }, (_, index) => `object-${index}`)
    fc.assert(fc.property(demandInput, demandInput, (before, after) => {
      const workers = Array.from({ length: 15 }, (_, index): WorkerCapacity => ({ id: `w-${index}`, domain: ['a-1', 'b-1', 'c-1'][index % 3]!, slots: 4 }))
      const [sharesBefore, sharesAfter] = [before, after].map((demand) => computeWorkerShares(workers, REGIONS, demand).get('a-1')!)
      const changed = workers.reduce((sum, { id }) => sum + Math.max(0, sharesAfter!.get(id)! - sharesBefore!.get(id)!), 0)
      const [rankingBefore, rankingAfter] = [new KeyRanking(sharesBefore!), new KeyRanking(sharesAfter!)]
      const moved = keys.filter((key) => rankingBefore.rank(key)[0] !== rankingAfter.rank(key)[0]).length / keys.length
      const expected = 2 * changed / (1 + changed)
      // Four standard deviations of the sample.
      assert.ok(moved <= expected + 4 * Math.sqrt(expected * (1 - expected) / keys.length) + 1 / keys.length, `${moved} of the objects moved for ${changed}`)
    }), { seed: SEED, numRuns: 100 })
  })

  it('are computed from groups of workers: a division costs the same for one worker of a kind as for many', () => {
    const one = buildDivision([{ id: 'w', domain: 'a-1', slots: 2 }, { id: 'v', domain: 'b-1', slots: 2 }], REGIONS)(undefined)
    const many = buildDivision(Array.from({ length: 20 }, (_, index) => ({ id: `w-${index}`, domain: index % 2 === 0 ? 'a-1' : 'b-1', slots: 2 })), REGIONS)(undefined)
    for (const region of ['a', 'b', 'c']) assert.ok(computeMovedRatio(one, many, region) < 1e-9)
  })
})
