/** Tests the target of a service, one step toward it, and the prediction of drains. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import { computeDomainLoads, computeLinkLoads, computeWarmUpRatio, findLinkCapacity, findPlaceCapacity } from '../../../src/common/plan/placeLoad.js'
import { predictDrain } from '../../../src/common/plan/predictDrain.js'
import { computeTargetPlan } from '../../../src/common/plan/servicePlan.js'
import type { Weights } from '../../../src/common/plan/servicePlan.js'
import { decideServiceStep, OVERLOAD_UTILIZATION_RATIO, type ServiceStepInput, StepVerdict } from '../../../src/common/plan/serviceStep.js'
import { computeShift } from '../../../src/common/plan/stepPlan.js'
import { buildDrained, demandArbitrary, DOMAINS, EPSILON, REGIONS, SEED, SERVICE, topologyArbitrary, weightsArbitrary } from './planArbitraries.js'

const PROPERTY_OPTIONS = { seed: SEED, numRuns: 300 }
const drainedArbitrary = fc.subarray(DOMAINS, { maxLength: 2 })

function buildStepInput (configuration: SteeringConfiguration, current: Weights, demand: Record<string, number>): ServiceStepInput {
  return { configuration, service: SERVICE, current, demand, otherLinkLoads: {}, failed: new Set(), warmingForMs: {}, utilization: {}, isMoving: true }
}

const inputArbitrary = fc.record({ topology: topologyArbitrary, drained: drainedArbitrary, current: weightsArbitrary, demand: demandArbitrary })
  .map(({ topology, drained, current, demand }) => buildStepInput(buildDrained(topology, drained), current, demand))

describe('decideServiceStep', () => {
  it('cap: no client region moves more than the planned cap', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const step = decideServiceStep(input)
      assert.ok(computeShift(input.current, step.weights) <= input.configuration.shiftCaps.planned + EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('emergency cap: moves away from a failed place keep within the emergency cap', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), (input, failed) => {
      const step = decideServiceStep({ ...input, failed: new Set([failed]) })
      const { planned, emergency } = input.configuration.shiftCaps
      assert.ok(computeShift(input.current, step.weights) <= (step.isEmergency ? emergency : planned) + EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('places: no step loads a place above its capacity, even before losses take effect', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const before = computeDomainLoads(input.current, input.demand)
      const { weights } = decideServiceStep(input)
      for (const domain of DOMAINS) {
        const gained = REGIONS.reduce((sum, clientRegion) => sum +
          Math.max(0, (weights[clientRegion]?.[domain] ?? 0) - (input.current[clientRegion]?.[domain] ?? 0)) * (input.demand[clientRegion] ?? 0), 0)
        if (gained < EPSILON) continue
        assert.ok((before.get(domain) ?? 0) + gained <= findPlaceCapacity(input.configuration, SERVICE, domain) + EPSILON)
      }
    }), PROPERTY_OPTIONS)
  })

  it('links: no step loads a link above its capacity', () => {
    fc.assert(fc.property(inputArbitrary, fc.integer({ min: 1, max: 6 }), (input, maxConcurrency) => {
      const links = input.configuration.links.map((link) => ({ ...link, maxConcurrency }))
      const narrow = { ...input, configuration: { ...input.configuration, links } }
      const before = computeLinkLoads(narrow.configuration, [{ weights: input.current, demand: input.demand }])
      const after = computeLinkLoads(narrow.configuration, [{ weights: decideServiceStep(narrow).weights, demand: input.demand }])
      for (const from of REGIONS) {
        for (const to of REGIONS) {
          const [loadBefore, load] = [before[from]?.[to] ?? 0, after[from]?.[to] ?? 0]
          if (load > loadBefore + EPSILON) assert.ok(load <= findLinkCapacity(narrow.configuration, from, to) + EPSILON)
        }
      }
    }), PROPERTY_OPTIONS)
  })

  it('drained places never gain weight', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const { weights } = decideServiceStep(input)
      for (const domain of input.configuration.drains.failureDomains) {
        for (const clientRegion of REGIONS) assert.ok((weights[clientRegion]?.[domain] ?? 0) <= (input.current[clientRegion]?.[domain] ?? 0) + EPSILON)
      }
    }), PROPERTY_OPTIONS)
  })

  it('failed places never gain weight', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), (input, failed) => {
      const { weights } = decideServiceStep({ ...input, failed: new Set([failed]) })
      for (const clientRegion of REGIONS) assert.ok((weights[clientRegion]?.[failed] ?? 0) <= (input.current[clientRegion]?.[failed] ?? 0) + EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('overload: an overloaded place gains no weight', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), (input, overloaded) => {
      const { weights } = decideServiceStep({ ...input, utilization: { [overloaded]: OVERLOAD_UTILIZATION_RATIO } })
      for (const clientRegion of REGIONS) assert.ok((weights[clientRegion]?.[overloaded] ?? 0) <= (input.current[clientRegion]?.[overloaded] ?? 0) + EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('warm-up: a cold place gains no more than the slow start allows', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), fc.integer({ min: 0, max: 12_000 }), (input, cold, warmingForMs) => {
      const { weights } = decideServiceStep({ ...input, warmingForMs: { [cold]: warmingForMs } })
      const before = computeDomainLoads(input.current, input.demand).get(cold) ?? 0
      const after = computeDomainLoads(weights, input.demand).get(cold) ?? 0
      const limit = findPlaceCapacity(input.configuration, SERVICE, cold) * computeWarmUpRatio(warmingForMs, 10_000)
      assert.ok(after <= Math.max(before, limit) + EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('hysteresis: a shift below the threshold starts no move', () => {
    fc.assert(fc.property(topologyArbitrary, demandArbitrary, fc.integer({ min: 1, max: 45 }), (configuration, demand, permille) => {
      const light = Object.fromEntries(Object.entries(demand).map(([clientRegion, value]) => [clientRegion, value / 4]))
      const target = computeTargetPlan(configuration, SERVICE, new Set(), light, {}, 0.8).weights
      const part = permille / 1000
      const current = { ...target, klang: { ...scaleWeights(target.klang ?? {}, 1 - part), 'penang-a': part } }
      const step = decideServiceStep({ ...buildStepInput(configuration, current, light), isMoving: false })
      assert.equal(step.verdict, StepVerdict.Settled)
    }), PROPERTY_OPTIONS)
  })

  it('distance: traffic stays in its region while the region has capacity', () => {
    fc.assert(fc.property(topologyArbitrary, (configuration) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 4]))
      const { target } = decideServiceStep(buildStepInput(configuration, {}, demand))
      for (const region of REGIONS) {
        for (const domain of Object.keys(target[region] ?? {})) assert.ok(domain.startsWith(region))
      }
    }), PROPERTY_OPTIONS)
  })
})

function scaleWeights (weights: Readonly<Record<string, number>>, ratio: number): Record<string, number> {
  return Object.fromEntries(Object.entries(weights).map(([domain, weight]) => [domain, weight * ratio]))
}

describe('predictDrain', () => {
  const startArbitrary = fc.record({ topology: topologyArbitrary, drained: fc.constantFrom(...DOMAINS), demand: demandArbitrary })

  it('every drain that fits completes and leaves no load on the drained place', () => {
    fc.assert(fc.property(startArbitrary, ({ topology, drained, demand }) => {
      const current = computeTargetPlan(topology, SERVICE, new Set(), demand, {}, 0.8).weights
      const configuration = buildDrained(topology, [drained])
      const prediction = predictDrain({ configuration, weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      assert.ok(prediction.fits)
      const place = prediction.places.find(({ failureDomain }) => failureDomain === drained)
      assert.ok((place?.loadAfter ?? 1) < EPSILON)
    }), PROPERTY_OPTIONS)
  })

  it('a drain takes as many steps as its weight divided by the cap, if places are warm and have free capacity', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), (topology, drained) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 2]))
      const current = computeTargetPlan(topology, SERVICE, new Set(), demand, {}, 0.8).weights
      const largest = Math.max(...REGIONS.map((clientRegion) => current[clientRegion]?.[drained] ?? 0))
      const prediction = predictDrain({ configuration: buildDrained(topology, [drained]), weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      assert.equal(prediction.steps.length, Math.ceil(largest / topology.shiftCaps.planned - EPSILON))
    }), PROPERTY_OPTIONS)
  })

  it('drains that together exceed the capacity are reported with the service', () => {
    fc.assert(fc.property(topologyArbitrary, fc.subarray(DOMAINS, { minLength: 4, maxLength: 5 }), (topology, drained) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 8]))
      const current = computeTargetPlan(topology, SERVICE, new Set(), demand).weights
      const prediction = predictDrain({ configuration: buildDrained(topology, drained), weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      assert.equal(prediction.fits, false)
      assert.equal(prediction.reasons[0]?.service, SERVICE)
    }), PROPERTY_OPTIONS)
  })

  it('end of a drain: the steps stay within the slow start of the place that returns', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), (topology, back) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 5]))
      const current = computeTargetPlan(buildDrained(topology, [back]), SERVICE, new Set(), demand, {}, 0.8).weights
      const prediction = predictDrain({ configuration: topology, weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      const place = prediction.places.find(({ failureDomain }) => failureDomain === back)
      const capacity = place?.capacity ?? 0
      const lastAt = prediction.steps.at(-1)?.afterMs ?? 0
      assert.ok((place?.loadAfter ?? 0) > 0)
      assert.ok((place?.loadAfter ?? 0) <= capacity * computeWarmUpRatio(lastAt, 10_000) + EPSILON)
    }), PROPERTY_OPTIONS)
  })
})
