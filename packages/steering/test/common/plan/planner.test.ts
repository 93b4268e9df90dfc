/** Tests the planner together with the nodes, with delays, faults and random interleavings. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import { StaleRule } from '../../../src/common/configuration/configurationSchema.js'
import { hasReachedAgreedPlan, PLAN_STALL_TIMEOUT_MS } from '../../../src/common/plan/nodePlan.js'
import { computeDomainLoads, findPlaceCapacity } from '../../../src/common/plan/placeLoad.js'
import { computeShift } from '../../../src/common/plan/stepPlan.js'
import { demandArbitrary, DOMAINS, EPSILON, REGIONS, SEED, SERVICE, topologyArbitrary } from './planArbitraries.js'
import { NODE_COUNT, PlanCluster, PLANNER_COUNT } from './planCluster.js'

const PROPERTY_OPTIONS = { seed: SEED, numRuns: 100 }
/** Long enough for every move to reach its target. */
const CONVERGENCE_MS = 25_000

type Operation = (cluster: PlanCluster) => void
const indexArbitrary = fc.nat({ max: 20 })
const plannerArbitrary = fc.nat({ max: PLANNER_COUNT - 1 })
const nodeArbitrary = fc.nat({ max: NODE_COUNT - 1 })

const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 1, max: 2000 }).map((span): Operation => (cluster) => cluster.addTime(span)) },
  { weight: 4, arbitrary: plannerArbitrary.map((planner): Operation => (cluster) => cluster.runTick(planner)) },
  { weight: 1, arbitrary: plannerArbitrary.map((planner): Operation => (cluster) => cluster.acquireLease(planner)) },
  { weight: 2, arbitrary: plannerArbitrary.map((planner): Operation => (cluster) => cluster.renewLease(planner)) },
  { weight: 4, arbitrary: fc.tuple(indexArbitrary, fc.boolean()).map(([writeIndex, isLost]): Operation => (cluster) => cluster.deliverWrite(writeIndex, isLost)) },
  { weight: 4, arbitrary: fc.tuple(nodeArbitrary, fc.nat({ max: 2 })).map(([node, versionsBack]): Operation => (cluster) => cluster.deliverPlan(node, versionsBack)) },
  { weight: 4, arbitrary: nodeArbitrary.map((node): Operation => (cluster) => cluster.stepNode(node)) },
  { weight: 4, arbitrary: nodeArbitrary.map((node): Operation => (cluster) => cluster.sendMeasurement(node)) },
  { weight: 4, arbitrary: fc.tuple(indexArbitrary, plannerArbitrary).map(([measurementIndex, planner]): Operation => (cluster) => cluster.deliverMeasurement(measurementIndex, planner)) },
  { weight: 1, arbitrary: fc.subarray(DOMAINS, { maxLength: 2 }).map((domains): Operation => (cluster) => cluster.setDrains(domains)) },
  { weight: 1, arbitrary: fc.option(fc.constantFrom(...DOMAINS), { nil: undefined }).map((domain): Operation => (cluster) => cluster.setFailed(domain)) },
  { weight: 1, arbitrary: fc.tuple(plannerArbitrary, fc.boolean()).map(([planner, isUp]): Operation => (cluster) => cluster.setStoreAvailable(planner, isUp)) },
  { weight: 3, arbitrary: fc.integer({ min: 500, max: 4000 }).map((span): Operation => (cluster) => cluster.runWithoutFaults(span)) }
)

const scenarioArbitrary = fc.record({ topology: topologyArbitrary, demand: demandArbitrary, operations: fc.array(operationArbitrary, { minLength: 10, maxLength: 60 }) })

function runScenario ({ topology, demand, operations }: { topology: SteeringConfiguration, demand: Record<string, number>, operations: readonly Operation[] }): PlanCluster {
  const cluster = new PlanCluster(topology, demand)
  cluster.acquireLease(0)
  for (const operation of operations) operation(cluster)
  return cluster
}

function startSettledCluster (topology: SteeringConfiguration, demand: Record<string, number>): PlanCluster {
  const cluster = new PlanCluster(topology, demand)
  cluster.acquireLease(0)
  cluster.runWithoutFaults(CONVERGENCE_MS)
  return cluster
}

function getMaxWeight (cluster: PlanCluster, domain: string): number {
  return Math.max(...REGIONS.map((clientRegion) => cluster.newest?.weights[clientRegion]?.[domain] ?? 0))
}

describe('planner under random interleavings', () => {
  it('invariants: caps, fresh measurements, the lease and increasing versions hold after every operation', () => {
    fc.assert(fc.property(scenarioArbitrary, (scenario) => { runScenario(scenario) }), PROPERTY_OPTIONS)
  })

  it('one step per version: the store holds each version once, whichever planner wrote it', () => {
    fc.assert(fc.property(scenarioArbitrary, (scenario) => {
      const { storedPlans } = runScenario(scenario)
      assert.deepEqual(storedPlans.map(({ version }) => version), storedPlans.map((_, position) => position + 1))
    }), PROPERTY_OPTIONS)
  })

  it('epochs: a version is never followed by one of an earlier lease holder', () => {
    fc.assert(fc.property(scenarioArbitrary, (scenario) => {
      const { storedPlans } = runScenario(scenario)
      storedPlans.forEach(({ epoch }, position) => assert.ok(epoch >= (storedPlans[position - 1]?.epoch ?? 0)))
    }), PROPERTY_OPTIONS)
  })

  it('capacity: no step loads a place above its capacity while the demand fits', () => {
    fc.assert(fc.property(scenarioArbitrary, (scenario) => {
      const { storedPlans, demand, configuration } = runScenario(scenario)
      storedPlans.forEach((document, position) => {
        const before = computeDomainLoads(storedPlans[position - 1]?.weights ?? document.weights, demand)
        for (const [domain, load] of computeDomainLoads(document.weights, demand)) {
          if (load > (before.get(domain) ?? 0) + EPSILON) assert.ok(load <= findPlaceCapacity(configuration, SERVICE, domain) + EPSILON)
        }
      })
    }), PROPERTY_OPTIONS)
  })

  it('recovery: after any scenario, operation without faults completes all moves and every node reaches the plan', () => {
    fc.assert(fc.property(scenarioArbitrary, (scenario) => {
      const cluster = runScenario(scenario)
      cluster.setFailed(undefined)
      cluster.setStoreAvailable(0, true)
      cluster.acquireLease(0)
      cluster.runWithoutFaults(CONVERGENCE_MS + CONVERGENCE_MS)
      const version = cluster.newest?.version
      cluster.runWithoutFaults(CONVERGENCE_MS)
      assert.equal(cluster.newest?.version, version)
      assert.ok(cluster.nodes.every(({ service }) => hasReachedAgreedPlan(service)))
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })
})

describe('planner without random faults', () => {
  it('no oscillation: constant load causes no step once settled', () => {
    fc.assert(fc.property(topologyArbitrary, demandArbitrary, (topology, demand) => {
      const cluster = startSettledCluster(topology, demand)
      const version = cluster.newest?.version
      cluster.runWithoutFaults(CONVERGENCE_MS)
      assert.equal(cluster.newest?.version, version)
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })

  it('no oscillation: load that varies by 2 % around its mean causes no moves back and forth', () => {
    const noiseArbitrary = fc.array(fc.integer({ min: -20, max: 20 }), { minLength: 20, maxLength: 20 })
    fc.assert(fc.property(topologyArbitrary, demandArbitrary, noiseArbitrary, (topology, demand, noise) => {
      const cluster = startSettledCluster(topology, demand)
      const before = cluster.newest
      for (const permille of noise) {
        cluster.demand = Object.fromEntries(Object.entries(demand).map(([clientRegion, value]) => [clientRegion, value * (1 + permille / 1000)]))
        cluster.runWithoutFaults(1000)
      }
      const moved = before === undefined || cluster.newest === undefined ? 1 : computeShift(before.weights, cluster.newest.weights)
      assert.ok(moved <= 0.1 + EPSILON, `moved ${moved}`)
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })

  it('drain: a drain of one failure domain that fits completes within its steps and settle times', () => {
    fc.assert(fc.property(topologyArbitrary, demandArbitrary, fc.constantFrom(...DOMAINS), (topology, demand, drained) => {
      const cluster = startSettledCluster(topology, demand)
      cluster.setDrains([drained])
      cluster.runWithoutFaults(CONVERGENCE_MS)
      assert.ok(getMaxWeight(cluster, drained) === 0)
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })

  it('drained places never gain weight in any version written after the drain', () => {
    fc.assert(fc.property(topologyArbitrary, demandArbitrary, fc.subarray(DOMAINS, { minLength: 1, maxLength: 2 }), (topology, demand, drained) => {
      const cluster = startSettledCluster(topology, demand)
      const from = cluster.storedPlans.length
      cluster.setDrains(drained)
      cluster.runWithoutFaults(CONVERGENCE_MS)
      for (let position = Math.max(1, from); position < cluster.storedPlans.length; position++) {
        for (const clientRegion of REGIONS) {
          for (const domain of drained) {
            const [before, after] = [cluster.storedPlans[position - 1], cluster.storedPlans[position]]
            assert.ok((after?.weights[clientRegion]?.[domain] ?? 0) <= (before?.weights[clientRegion]?.[domain] ?? 0) + EPSILON)
          }
        }
      }
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })

  it('abort: after a drain is removed, the weights return to nearly their previous values', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), fc.integer({ min: 200, max: 3000 }), (topology, drained, spanMs) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 3]))
      const cluster = startSettledCluster(topology, demand)
      const before = cluster.newest
      cluster.setDrains([drained])
      cluster.runWithoutFaults(spanMs)
      cluster.setDrains([])
      cluster.runWithoutFaults(CONVERGENCE_MS)
      assert.ok(before !== undefined && cluster.newest !== undefined)
      assert.ok(computeShift(before.weights, cluster.newest.weights) <= 0.05)
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })

  it('stale rule "hold": nothing moves without fresh measurements', () => {
    fc.assert(fc.property(topologyArbitrary, demandArbitrary, fc.constantFrom(...DOMAINS), (topology, demand, drained) => {
      const cluster = startSettledCluster(topology, demand)
      const version = cluster.newest?.version
      cluster.addTime(CONVERGENCE_MS)
      cluster.setDrains([drained])
      for (let round = 0; round < 50; round++) {
        cluster.renewLease(0)
        cluster.runTick(0)
        cluster.deliverWrite(0, false)
        cluster.addTime(1000)
      }
      assert.equal(cluster.newest?.version, version)
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })

  it('stale rule "by capacity": traffic leaves drained places without any measurement', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), (topology, drained) => {
      const cluster = startSettledCluster({ ...topology, shiftCaps: { ...topology.shiftCaps, whenStale: StaleRule.ByCapacity } }, {})
      cluster.areMeasurementsIgnored = true
      cluster.addTime(CONVERGENCE_MS)
      cluster.setDrains([drained])
      for (let round = 0; round < 200; round++) {
        cluster.renewLease(0)
        cluster.runTick(0)
        cluster.deliverWrite(0, false)
        cluster.addTime(1000)
      }
      assert.equal(getMaxWeight(cluster, drained), 0)
    }), { ...PROPERTY_OPTIONS, numRuns: 20 })
  })

  it('store unavailable: nodes leave a failed place on their own, and the plan doesn\'t change', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), (topology, failed) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 3]))
      const cluster = startSettledCluster(topology, demand)
      const version = cluster.newest?.version
      cluster.setStoreAvailable(0, false)
      cluster.setFailed(failed)
      cluster.runWithoutFaults(PLAN_STALL_TIMEOUT_MS + CONVERGENCE_MS)
      assert.equal(cluster.newest?.version, version)
      for (const { service } of cluster.nodes) {
        for (const clientRegion of REGIONS) assert.ok((service.inForce[clientRegion]?.[failed] ?? 0) < EPSILON)
      }
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })

  it('store available again: nodes return to the agreed plan without using the failed place', () => {
    fc.assert(fc.property(topologyArbitrary, fc.constantFrom(...DOMAINS), (topology, failed) => {
      const demand = Object.fromEntries(REGIONS.map((region) => [region, 3]))
      const cluster = startSettledCluster(topology, demand)
      cluster.setStoreAvailable(0, false)
      cluster.setFailed(failed)
      cluster.runWithoutFaults(PLAN_STALL_TIMEOUT_MS + CONVERGENCE_MS)
      cluster.setStoreAvailable(0, true)
      for (let round = 0; round < 40; round++) {
        cluster.runWithoutFaults(500)
        for (const { service } of cluster.nodes) {
          for (const clientRegion of REGIONS) assert.ok((service.inForce[clientRegion]?.[failed] ?? 0) < EPSILON)
        }
      }
      assert.equal(getMaxWeight(cluster, failed), 0)
      assert.ok(cluster.nodes.every(({ service }) => hasReachedAgreedPlan(service)))
    }), { ...PROPERTY_OPTIONS, numRuns: 15 })
  })
})
