/** Random topologies, weights and demand for property tests of the plan. */
import fc from 'fast-check'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import type { DomainWeights, Weights } from '../../../src/common/plan/servicePlan.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'

export const SEED = 20_255
export const SERVICE = 'escort-svc'
export const REGIONS = ['klang', 'penang', 'kuching']
export const DOMAINS = REGIONS.flatMap((region) => [`${region}-a`, `${region}-b`])
/** Slots of one place of the sample configuration. */
export const PLACE_SLOTS = 8
export const EPSILON = 1e-6

/** Weights over the failure domains that sum to 1. */
export const regionWeightsArbitrary: fc.Arbitrary<DomainWeights> = fc
  .array(fc.integer({ min: 0, max: 6 }), { minLength: DOMAINS.length, maxLength: DOMAINS.length })
  .filter((parts) => parts.some((part) => part > 0))
  .map((parts) => {
    const total = parts.reduce((sum, part) => sum + part, 0)
    return Object.fromEntries(DOMAINS.flatMap((domain, index) => (parts[index] ?? 0) > 0 ? [[domain, (parts[index] ?? 0) / total]] : []))
  })

export const weightsArbitrary: fc.Arbitrary<Weights> = fc.record(Object.fromEntries(REGIONS.map((region) => [region, regionWeightsArbitrary])))

export const capArbitrary = fc.integer({ min: 5, max: 100 }).map((percent) => percent / 100)

/** Concurrent requests by client region; at most half of all slots in total, so that one region can be drained. */
export const demandArbitrary: fc.Arbitrary<Record<string, number>> = fc.record(Object.fromEntries(REGIONS.map((region) => [region, fc.integer({ min: 0, max: 7 })])))

/** Links with random delays and enough capacity for all demand, and places with random limits. */
export const topologyArbitrary: fc.Arbitrary<SteeringConfiguration> = fc.record({
  delays: fc.array(fc.constantFrom(5, 20, 35), { minLength: 6, maxLength: 6 }),
  limits: fc.array(fc.integer({ min: 6, max: PLACE_SLOTS }), { minLength: 6, maxLength: 6 }),
  planned: fc.constantFrom(0.05, 0.1, 0.2, 0.5, 1),
  emergency: fc.constantFrom(0.2, 0.5, 1)
}).map(({ delays, limits, planned, emergency }) => {
  const configuration = buildSampleConfiguration()
  configuration.links = configuration.links.map((link, index) => ({ ...link, oneWayMs: delays[index] ?? 35, maxConcurrency: 30 }))
  const places = configuration.services[SERVICE]?.places ?? {}
  DOMAINS.forEach((domain, index) => { Object.assign(places[domain] ?? {}, { maxConcurrency: limits[index] }) })
  Object.assign(configuration.shiftCaps, { planned, emergency, settleMs: 500 })
  return configuration
})

/** Copies a configuration with other drains. */
export function buildDrained (configuration: SteeringConfiguration, failureDomains: readonly string[]): SteeringConfiguration {
  return { ...configuration, drains: { ...configuration.drains, failureDomains: [...failureDomains] } }
}

export function computeSum (weights: DomainWeights): number {
  return Object.values(weights).reduce((sum, weight) => sum + weight, 0)
}
