/** One bounded step of one client region. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { stepRegionWithin } from '../../../src/common/plan/regionStep.js'
import type { DomainWeights } from '../../../src/common/plan/servicePlan.js'
import { capArbitrary, computeSum, DOMAINS, EPSILON, regionWeightsArbitrary, SEED } from './planArbitraries.js'

const RUNS = { seed: SEED, numRuns: 400 }
const roomsArbitrary = fc.array(fc.integer({ min: 0, max: 40 }).map((percent) => percent / 100), { minLength: DOMAINS.length, maxLength: DOMAINS.length })
const urgentArbitrary = fc.subarray(DOMAINS, { maxLength: 2 }).map((domains): ReadonlySet<string> => new Set(domains))

function getWeight (weights: DomainWeights, domain: string): number {
  return weights[domain] ?? 0
}

function computeMoved (from: DomainWeights, to: DomainWeights): number {
  return DOMAINS.reduce((sum, domain) => sum + Math.max(0, getWeight(to, domain) - getWeight(from, domain)), 0)
}

describe('stepRegionWithin', () => {
  it('cap: one step never moves more than the cap', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, roomsArbitrary, (from, to, cap, urgent, rooms) => {
      const next = stepRegionWithin(from, to, { cap, urgent, getRoom: (domain) => rooms[DOMAINS.indexOf(domain)] ?? 0 })
      assert.ok(computeMoved(from, next) <= cap + EPSILON)
    }), RUNS)
  })

  it('conservation: a step neither loses nor invents traffic', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, roomsArbitrary, (from, to, cap, urgent, rooms) => {
      const next = stepRegionWithin(from, to, { cap, urgent, getRoom: (domain) => rooms[DOMAINS.indexOf(domain)] ?? 0 })
      assert.ok(Math.abs(computeSum(next) - 1) < EPSILON)
    }), RUNS)
  })

  it('direction: each weight stays between its value before and the one wanted', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, roomsArbitrary, (from, to, cap, urgent, rooms) => {
      const next = stepRegionWithin(from, to, { cap, urgent, getRoom: (domain) => rooms[DOMAINS.indexOf(domain)] ?? 0 })
      for (const domain of DOMAINS) {
        const [low, high] = [getWeight(from, domain), getWeight(to, domain)].sort((one, other) => one - other)
        assert.ok(getWeight(next, domain) >= (low ?? 0) - EPSILON && getWeight(next, domain) <= (high ?? 1) + EPSILON)
      }
    }), RUNS)
  })

  it('room: no failure domain gains more than it has room for', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, roomsArbitrary, (from, to, cap, rooms) => {
      const next = stepRegionWithin(from, to, { cap, urgent: new Set(), getRoom: (domain) => rooms[DOMAINS.indexOf(domain)] ?? 0 })
      for (const domain of DOMAINS) {
        assert.ok(getWeight(next, domain) - getWeight(from, domain) <= (rooms[DOMAINS.indexOf(domain)] ?? 0) + EPSILON)
      }
    }), RUNS)
  })

  it('urgency: others lose nothing while an urgent domain still has what it must lose', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, (from, to, cap, urgent) => {
      const next = stepRegionWithin(from, to, { cap, urgent, getRoom: () => Infinity })
      const isUrgentLeft = DOMAINS.some((domain) => urgent.has(domain) && getWeight(next, domain) > getWeight(to, domain) + EPSILON)
      if (!isUrgentLeft) return
      for (const domain of DOMAINS) {
        if (!urgent.has(domain)) assert.ok(getWeight(next, domain) >= getWeight(from, domain) - EPSILON)
      }
    }), RUNS)
  })

  it('arrival: without bounds of room the target is reached exactly, in as many steps as the cap needs', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, (from, to, cap, urgent) => {
      const needed = Math.ceil(computeMoved(from, to) / cap - EPSILON)
      let current = from
      for (let step = 0; step < needed; step++) current = stepRegionWithin(current, to, { cap, urgent, getRoom: () => Infinity })
      assert.ok(needed === 0 || computeMoved(current, to) < EPSILON)
    }), RUNS)
  })
})
