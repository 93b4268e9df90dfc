/** Tests that plans fill the nearest capacity first and never exceed it, and that steps never exceed the cap. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import { computeRegionCapacities } from '../../../src/common/plan/placeCapacity.js'
import { computePlacement } from '../../../src/common/plan/placement.js'
import type { Weights } from '../../../src/common/plan/servicePlan.js'
import { computeTargetPlan } from '../../../src/common/plan/servicePlan.js'
import { computeShift, stepToward } from '../../../src/common/plan/stepPlan.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'

const SEED = 20_254
const SERVICE = 'escort-svc'
const REGIONS = ['klang', 'penang', 'kuching']
const DOMAINS = REGIONS.flatMap((region) => [`${region}-a`, `${region}-b`])
const NO_UNAVAILABLE_DOMAINS: ReadonlySet<string> = new Set()
const EPSILON = 1e-6

function computeSum (weights: Readonly<Record<string, number>>): number {
  return Object.values(weights).reduce((sum, weight) => sum + weight, 0)
}

/** Links of random capacity, some missing, and random limits of places. */
const topologyArbitrary = fc.record({
  links: fc.array(fc.record({ oneWayMs: fc.constantFrom(5, 20, 35), maxConcurrency: fc.integer({ min: 1, max: 30 }), isThere: fc.boolean() }), { minLength: 6, maxLength: 6 }),
  limits: fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 6, maxLength: 6 }),
  drained: fc.subarray(DOMAINS, { maxLength: 3 }),
  unavailable: fc.subarray(DOMAINS, { maxLength: 3 }),
  demand: fc.record(Object.fromEntries(REGIONS.map((region) => [region, fc.integer({ min: 0, max: 40 })])))
})

type Topology = typeof topologyArbitrary extends fc.Arbitrary<infer T> ? T : never

function buildTopology (topology: Topology): SteeringConfiguration {
  const configuration = buildSampleConfiguration()
  configuration.links = configuration.links
    .map((link, index) => ({ ...link, ...topology.links[index] }))
    .filter((link) => link.isThere)
  const places = configuration.services[SERVICE]?.places ?? {}
  DOMAINS.forEach((domain, index) => { Object.assign(places[domain] ?? {}, { maxConcurrency: topology.limits[index] }) })
  configuration.drains.failureDomains = topology.drained
  return configuration
}

/** The demand that the best placement can serve: the minimum cut, found by trying every set of client regions. */
function computeMaxFlow (configuration: SteeringConfiguration, demand: Readonly<Record<string, number>>, unavailable: ReadonlySet<string>): number {
  const capacities = computeRegionCapacities(configuration, SERVICE, unavailable)
  let minCut = Infinity
  for (let mask = 0; mask < 2 ** REGIONS.length; mask++) {
    const inside = REGIONS.filter((_, index) => (mask >> index) % 2 === 1)
    let cut = REGIONS.filter((region) => !inside.includes(region)).reduce((sum, region) => sum + (demand[region] ?? 0), 0)
    for (const servingRegion of REGIONS) {
      const links = inside.map((clientRegion) => clientRegion === servingRegion ? Infinity : configuration.links.find((link) => link.from === clientRegion && link.to === servingRegion)?.maxConcurrency ?? 0)
      cut += Math.min(capacities.get(servingRegion)?.total ?? 0, links.reduce((sum, link) => sum + link, 0))
    }
    minCut = Math.min(minCut, cut)
  }
  return minCut
}

describe('computeTargetPlan', () => {
  it('loads no region or link above its capacity, and places as much demand as possible', () => {
    fc.assert(fc.property(topologyArbitrary, (topology) => {
      const configuration = buildTopology(topology)
      const unavailable = new Set(topology.unavailable)
      const demand = topology.demand as Record<string, number>
      const capacities = computeRegionCapacities(configuration, SERVICE, unavailable)
      const { placed, unplaced } = computePlacement({ configuration, capacities, demand, otherLinkLoads: {} })
      for (const servingRegion of REGIONS) {
        const total = REGIONS.reduce((sum, clientRegion) => sum + (placed[clientRegion]?.[servingRegion] ?? 0), 0)
        assert.ok(total <= (capacities.get(servingRegion)?.total ?? 0) + EPSILON, `${servingRegion} takes ${total}`)
        for (const clientRegion of REGIONS) {
          const link = configuration.links.find((candidate) => candidate.from === clientRegion && candidate.to === servingRegion)
          if (clientRegion !== servingRegion) assert.ok((placed[clientRegion]?.[servingRegion] ?? 0) <= (link?.maxConcurrency ?? 0) + EPSILON)
        }
      }
      const served = Object.values(placed).reduce((sum, byServer) => sum + computeSum(byServer), 0)
      assert.ok(Math.abs(served + computeSum(unplaced) - computeSum(demand)) < EPSILON)
      assert.ok(Math.abs(served - computeMaxFlow(configuration, demand, unavailable)) < EPSILON)
    }), { seed: SEED, numRuns: 500 })
  })

  it('uses only usable failure domains, within capacity if the demand fits, with weights that sum to 1 or are empty', () => {
    fc.assert(fc.property(topologyArbitrary, (topology) => {
      const configuration = buildTopology(topology)
      const unavailable = new Set(topology.unavailable)
      const demand = topology.demand as Record<string, number>
      const capacities = computeRegionCapacities(configuration, SERVICE, unavailable)
      const { weights } = computeTargetPlan(configuration, SERVICE, unavailable, demand)
      const loads = new Map<string, number>()
      for (const [clientRegion, byDomain] of Object.entries(weights)) {
        const sum = computeSum(byDomain)
        assert.ok(Object.keys(byDomain).length === 0 || Math.abs(sum - 1) < EPSILON, `weights of ${clientRegion} sum to ${sum}`)
        for (const [domain, weight] of Object.entries(byDomain)) {
          assert.ok(!unavailable.has(domain) && !topology.drained.includes(domain))
          loads.set(domain, (loads.get(domain) ?? 0) + weight * (demand[clientRegion] ?? 0))
        }
      }
      const { unplaced } = computePlacement({ configuration, capacities, demand, otherLinkLoads: {} })
      if (Object.keys(unplaced).length > 0) return
      for (const capacity of capacities.values()) {
        for (const [domain, limit] of Object.entries(capacity.domains)) assert.ok((loads.get(domain) ?? 0) <= limit + EPSILON)
      }
    }), { seed: SEED, numRuns: 500 })
  })

  it('splits a region\'s traffic by capacity, and overflows to the nearest regions', () => {
    const configuration = buildSampleConfiguration()
    Object.assign(configuration.services[SERVICE]?.places['klang-a'] ?? {}, { maxConcurrency: 4 })
    const nearLink = configuration.links.find((link) => link.from === 'klang' && link.to === 'kuching')
    Object.assign(nearLink ?? {}, { oneWayMs: 5, maxConcurrency: 3 })
    const weightsWithoutDemand = computeTargetPlan(configuration, SERVICE, NO_UNAVAILABLE_DOMAINS).weights.klang ?? {}
    assert.deepEqual(weightsWithoutDemand, { 'klang-a': 1 / 3, 'klang-b': 2 / 3 })
    const { klang = {} } = computeTargetPlan(configuration, SERVICE, NO_UNAVAILABLE_DOMAINS, { klang: 20 }).weights
    const expected = { 'klang-a': 4, 'klang-b': 8, 'kuching-a': 1.5, 'kuching-b': 1.5, 'penang-a': 2.5, 'penang-b': 2.5 }
    for (const [domain, load] of Object.entries(expected)) assert.ok(Math.abs((klang[domain] ?? 0) * 20 - load) < EPSILON, domain)
    const weightsWithoutKlang = computeTargetPlan(configuration, SERVICE, new Set(['klang-a', 'klang-b'])).weights.klang
    assert.deepEqual(weightsWithoutKlang, { 'kuching-a': 0.5, 'kuching-b': 0.5 })
    assert.deepEqual(computeTargetPlan(configuration, SERVICE, new Set(DOMAINS)).weights.klang, {})
  })
})

const weightsArbitrary: fc.Arbitrary<Weights> = fc.dictionary(
  fc.constantFrom(...REGIONS),
  fc.dictionary(fc.constantFrom(...DOMAINS), fc.integer({ min: 1, max: 100 }), { noNullPrototype: true }).map((parts) => {
    const total = computeSum(parts)
    return Object.fromEntries(Object.entries(parts).map(([domain, part]) => [domain, part / total]))
  }),
  { noNullPrototype: true }
)

describe('stepToward', () => {
  it('never moves more than the cap, and reaches the target exactly in as many steps as the cap requires', () => {
    const capArbitrary = fc.integer({ min: 5, max: 100 }).map((percent) => percent / 100)
    fc.assert(fc.property(weightsArbitrary, weightsArbitrary, capArbitrary, (from, target, cap) => {
      const needed = Math.max(1, Math.ceil(computeShift(from, target) / cap - EPSILON))
      let current = from
      for (let step = 0; step <= needed; step++) {
        const next = stepToward(current, target, cap)
        for (const [region, weights] of Object.entries(next)) {
          const before = current[region]
          if (before === undefined) continue
          const changed = DOMAINS.reduce((sum, domain) => sum + Math.abs((weights[domain] ?? 0) - (before[domain] ?? 0)), 0)
          assert.ok(changed / 2 <= cap + EPSILON)
          assert.ok(Object.values(weights).every((weight) => weight > 0))
        }
        assert.ok(computeShift(current, next) <= cap + EPSILON)
        current = next
      }
      assert.deepEqual(current, target)
    }), { seed: SEED, numRuns: 500 })
  })
})
