/** The target of a service and one step toward it. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import { computeDomainLoads, computeLinkUse, computeWarmPart, findLinkCapacity, findPlaceCapacity } from '../../../src/common/plan/placeLoad.js'
import { predictDrain } from '../../../src/common/plan/predictDrain.js'
import { computeTargetPlan } from '../../../src/common/plan/servicePlan.js'
import type { Weights } from '../../../src/common/plan/servicePlan.js'
import { decideServiceStep, OVERLOAD, type ServiceStepInput, StepVerdict } from '../../../src/common/plan/serviceStep.js'
import { computeShift } from '../../../src/common/plan/stepPlan.js'
import { buildDrained, demandArbitrary, DOMAINS, EPSILON, REGIONS, SEED, SERVICE, topologyArbitrary, weightsArbitrary } from './planArbitraries.js'

const RUNS = { seed: SEED, numRuns: 300 }
const drainedArbitrary = fc.subarray(DOMAINS, { maxLength: 2 })

function buildInput (configuration: SteeringConfiguration, current: Weights, demand: Record<string, number>): ServiceStepInput {
  return { configuration, service: SERVICE, current, demand, linkUse: {}, failed: new Set(), warmingForMs: {}, utilization: {}, isMoving: true }
}

const inputArbitrary = fc.record({ topology: topologyArbitrary, drained: drainedArbitrary, current: weightsArbitrary, demand: demandArbitrary })
  .map(({ topology, drained, current, demand }) => buildInput(buildDrained(topology, drained), current, demand))

describe('decideServiceStep', () => {
  it('cap: no client region moves more than the planned cap', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const step = decideServiceStep(input)
      assert.ok(computeShift(input.current, step.weights) <= input.configuration.shiftCaps.planned + EPSILON)
    }), RUNS)
  })

  it('emergency cap: moves away from a failed place keep within the emergency cap', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), (input, failed) => {
      const step = decideServiceStep({ ...input, failed: new Set([failed]) })
      const { planned, emergency } = input.configuration.shiftCaps
      assert.ok(computeShift(input.current, step.weights) <= (step.isEmergency ? emergency : planned) + EPSILON)
    }), RUNS)
  })

  it('places: no step puts more on a place than it bears, also before losses have shown', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const before = computeDomainLoads(input.current, input.demand)
      const { weights } = decideServiceStep(input)
      for (const domain of DOMAINS) {
        const gained = REGIONS.reduce((sum, client) => sum +
          Math.max(0, (weights[client]?.[domain] ?? 0) - (input.current[client]?.[domain] ?? 0)) * (input.demand[client] ?? 0), 0)
        if (gained < EPSILON) continue
        assert.ok((before.get(domain) ?? 0) + gained <= findPlaceCapacity(input.configuration, SERVICE, domain) + EPSILON)
      }
    }), RUNS)
  })

  it('links: no step puts more on a link than it bears', () => {
    fc.assert(fc.property(inputArbitrary, fc.integer({ min: 1, max: 6 }), (input, maxConcurrency) => {
      const links = input.configuration.links.map((link) => ({ ...link, maxConcurrency }))
      const narrow = { ...input, configuration: { ...input.configuration, links } }
      const before = computeLinkUse(narrow.configuration, [{ weights: input.current, demand: input.demand }])
      const after = computeLinkUse(narrow.configuration, [{ weights: decideServiceStep(narrow).weights, demand: input.demand }])
      for (const from of REGIONS) {
        for (const to of REGIONS) {
          const [old, load] = [before[from]?.[to] ?? 0, after[from]?.[to] ?? 0]
          if (load > old + EPSILON) assert.ok(load <= findLinkCapacity(narrow.configuration, from, to) + EPSILON)
        }
      }
    }), RUNS)
  })

  it('drained places never gain weight', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const { weights } = decideServiceStep(input)
      for (const domain of input.configuration.drains.failureDomains) {
        for (const client of REGIONS) assert.ok((weights[client]?.[domain] ?? 0) <= (input.current[client]?.[domain] ?? 0) + EPSILON)
      }
    }), RUNS)
  })

  it('failed places never gain weight', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), (input, failed) => {
      const { weights } = decideServiceStep({ ...input, failed: new Set([failed]) })
      for (const client of REGIONS) assert.ok((weights[client]?.[failed] ?? 0) <= (input.current[client]?.[failed] ?? 0) + EPSILON)
    }), RUNS)
  })

  it('overload pauses: an overloaded place gains nothing', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), (input, overloaded) => {
      const { weights } = decideServiceStep({ ...input, utilization: { [overloaded]: OVERLOAD } })
      for (const client of REGIONS) assert.ok((weights[client]?.[overloaded] ?? 0) <= (input.current[client]?.[overloaded] ?? 0) + EPSILON)
    }), RUNS)
  })

  it('warm-up: a cold place gains no more than its slow start allows', () => {
    fc.assert(fc.property(inputArbitrary, fc.constantFrom(...DOMAINS), fc.integer({ min: 0, max: 12_000 }), (input, cold, warmingForMs) => {
      const { weights } = decideServiceStep({ ...input, warmingForMs: { [cold]: warmingForMs } })
      const before = computeDomainLoads(input.current, input.demand).get(cold) ?? 0
      const after = computeDomainLoads(weights, input.demand).get(cold) ?? 0
      const limit = findPlaceCapacity(input.configuration, SERVICE, cold) * computeWarmPart(warmingForMs, 10_000)
      assert.ok(after <= Math.max(before, limit) + EPSILON)
    }), RUNS)
  })

  it('hysteresis: a gain below the threshold starts no move', () => {
    fc.assert(fc.property(topologyArbitrary, demandArbitrary, fc.integer({ min: 1, max: 45 }), (configuration, demand, permille) => {
      const light = Object.fromEntries(Object.entries(demand).map(([client, value]) => [client, value / 4]))
      const target = computeTargetPlan(configuration, SERVICE, new Set(), light, {}, 0.8).weights
      const part = permille / 1000
      const current = { ...target, klang: { ...computeScaled(target.klang ?? {}, 1 - part), 'penang-a': part } }
      const step = decideServiceStep({ ...buildInput(configuration, current, light), isMoving: false })
      assert.equal(step.verdict, StepVerdict.Settled)
    }), RUNS)
  })

  it('nearness: with room at home nothing is planned abroad', () => {
    fc.assert(fc.property(topologyArbitrary, (configuration) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 4]))
      const { target } = decideServiceStep(buildInput(configuration, {}, demand))
      for (const region of REGIONS) {
        for (const domain of Object.keys(target[region] ?? {})) assert.ok(domain.startsWith(region))
      }
    }), RUNS)
  })
})

function computeScaled (weights: Readonly<Record<string, number>>, part: number): Record<string, number> {
  return Object.fromEntries(Object.entries(weights).map(([domain, weight]) => [domain, weight * part]))
}

describe('predictDrain', () => {
  const startArbitrary = fc.record({ topology: topologyArbitrary, drained: fc.constantFrom(...DOMAINS), demand: demandArbitrary })

  it('every drain that fits ends, without weight on what is drained', () => {
    fc.assert(fc.property(startArbitrary, ({ topology, drained, demand }) => {
      const current = computeTargetPlan(topology, SERVICE, new Set(), demand, {}, 0.8).weights
      const configuration = buildDrained(topology, [drained])
      const prediction = predictDrain({ configuration, weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      assert.ok(prediction.fits)
      const place = prediction.places.find(({ failureDomain }) => failureDomain === drained)
      assert.ok((place?.loadAfter ?? 1) < EPSILON)
    }), RUNS)
  })

  it('a drain takes no more steps than its weight divided by the cap, where places are warm and have room', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), (topology, drained) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 2]))
      const current = computeTargetPlan(topology, SERVICE, new Set(), demand, {}, 0.8).weights
      const largest = Math.max(...REGIONS.map((client) => current[client]?.[drained] ?? 0))
      const prediction = predictDrain({ configuration: buildDrained(topology, [drained]), weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      assert.equal(prediction.steps.length, Math.ceil(largest / topology.shiftCaps.planned - EPSILON))
    }), RUNS)
  })

  it('two drains that together do not fit are told as misfits with the service', () => {
    fc.assert(fc.property(topologyArbitrary, fc.subarray(DOMAINS, { minLength: 4, maxLength: 5 }), (topology, drained) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 8]))
      const current = computeTargetPlan(topology, SERVICE, new Set(), demand).weights
      const prediction = predictDrain({ configuration: buildDrained(topology, drained), weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      assert.equal(prediction.fits, false)
      assert.equal(prediction.reasons[0]?.service, SERVICE)
    }), RUNS)
  })

  it('undrain: the step schedule keeps within the slow start of the place that comes back', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), (topology, back) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 5]))
      const current = computeTargetPlan(buildDrained(topology, [back]), SERVICE, new Set(), demand, {}, 0.8).weights
      const prediction = predictDrain({ configuration: topology, weights: { [SERVICE]: current }, demand: { [SERVICE]: demand }, failed: {} })
      const place = prediction.places.find(({ failureDomain }) => failureDomain === back)
      const capacity = place?.capacity ?? 0
      const lastAt = prediction.steps.at(-1)?.afterMs ?? 0
      assert.ok((place?.loadAfter ?? 0) > 0)
      assert.ok((place?.loadAfter ?? 0) <= capacity * computeWarmPart(lastAt, 10_000) + EPSILON)
    }), RUNS)
  })
})
