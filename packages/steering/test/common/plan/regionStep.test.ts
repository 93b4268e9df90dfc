/** Tests one bounded step of one client region. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { stepRegionWithinBounds } from '../../../src/common/plan/regionStep.js'
import type { DomainWeights } from '../../../src/common/plan/servicePlan.js'
import { capArbitrary, computeSum, DOMAINS, EPSILON, regionWeightsArbitrary, SEED } from './planArbitraries.js'

const PROPERTY_OPTIONS = { seed: SEED, numRuns: 400 }
const maxGainsArbitrary = fc.array(fc.integer({ min: 0, max: 40 }).map((percent) => percent / 100), { minLength: DOMAINS.length, maxLength: DOMAINS.length })
const urgentArbitrary = fc.subarray(DOMAINS, { maxLength: 2 }).map((domains): ReadonlySet<string> => new Set(domains))

function getWeight (weights: DomainWeights, domain: string): number {
  return weights[domain] ?? 0
}

function computeTotalGain (from: DomainWeights, to: DomainWeights): number {
  return DOMAINS.reduce((sum, domain) => sum + Math.max(0, getWeight(to, domain) - getWeight(from, domain)), 0)
}

describe('stepRegionWithin', () => {
  it('cap: one step never moves more than the cap', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, maxGainsArbitrary, (from, to, cap, urgent, maxGains) => {
      const next = stepRegionWithinBounds(from, to, { maxShift: cap, urgent, getMaxGain: (domain) => maxGains[DOMAINS.indexOf(domain)] ?? 0 })
      assert.ok(computeTotalGain(from, next) <= cap + EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('conservation: the weights still sum to 1 after a step', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, maxGainsArbitrary, (from, to, cap, urgent, maxGains) => {
      const next = stepRegionWithinBounds(from, to, { maxShift: cap, urgent, getMaxGain: (domain) => maxGains[DOMAINS.indexOf(domain)] ?? 0 })
      assert.ok(Math.abs(computeSum(next) - 1) < EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('direction: each weight stays between its current and its target value', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, maxGainsArbitrary, (from, to, cap, urgent, maxGains) => {
      const next = stepRegionWithinBounds(from, to, { maxShift: cap, urgent, getMaxGain: (domain) => maxGains[DOMAINS.indexOf(domain)] ?? 0 })
      for (const domain of DOMAINS) {
        const [low, high] = [getWeight(from, domain), getWeight(to, domain)].sort((one, other) => one - other)
        assert.ok(getWeight(next, domain) >= (low ?? 0) - EPSILON && getWeight(next, domain) <= (high ?? 1) + EPSILON)
      }
    }), PROPERTY_OPTIONS)
  })

  it('maximum gain: no failure domain gains more than allowed', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, maxGainsArbitrary, (from, to, cap, maxGains) => {
      const next = stepRegionWithinBounds(from, to, { maxShift: cap, urgent: new Set(), getMaxGain: (domain) => maxGains[DOMAINS.indexOf(domain)] ?? 0 })
      for (const domain of DOMAINS) {
        assert.ok(getWeight(next, domain) - getWeight(from, domain) <= (maxGains[DOMAINS.indexOf(domain)] ?? 0) + EPSILON)
      }
    }), PROPERTY_OPTIONS)
  })

  it('urgency: no other failure domain loses weight while an urgent one is above its target', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, (from, to, cap, urgent) => {
      const next = stepRegionWithinBounds(from, to, { maxShift: cap, urgent, getMaxGain: () => Infinity })
      const isUrgentLeft = DOMAINS.some((domain) => urgent.has(domain) && getWeight(next, domain) > getWeight(to, domain) + EPSILON)
      if (!isUrgentLeft) return
      for (const domain of DOMAINS) {
        if (!urgent.has(domain)) assert.ok(getWeight(next, domain) >= getWeight(from, domain) - EPSILON)
      }
    }), PROPERTY_OPTIONS)
  })

  it('arrival: without maximum gains the target is reached in as many steps as the cap requires', () => {
    fc.assert(fc.property(regionWeightsArbitrary, regionWeightsArbitrary, capArbitrary, urgentArbitrary, (from, to, cap, urgent) => {
      const needed = Math.ceil(computeTotalGain(from, to) / cap - EPSILON)
      let current = from
      for (let step = 0; step < needed; step++) current = stepRegionWithinBounds(current, to, { maxShift: cap, urgent, getMaxGain: () => Infinity })
      assert.ok(needed === 0 || computeTotalGain(current, to) < EPSILON)
    }), PROPERTY_OPTIONS)
  })
})
