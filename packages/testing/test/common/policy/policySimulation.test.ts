import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { type LoadPattern, PatternName, PATTERNS } from '../../../src/common/policy/loadPattern.js'
import { PolicyName, POLICIES } from '../../../src/common/policy/policies.js'
import { type PolicyResult, PolicySimulation } from '../../../src/common/policy/policySimulation.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]

/** @returns the mean worth of all seeds */
function measureMeanWorth (pattern: PatternName, policy: PolicyName): number {
  return SEEDS.reduce((sum, seed) => sum + new PolicySimulation(PATTERNS[pattern], POLICIES[policy], seed).run().worth, 0) / SEEDS.length
}

/** Asserts that one policy has a higher mean worth than another, by at least a minimum. */
function assertBetter (pattern: PatternName, better: PolicyName, worse: PolicyName, minGain: number): void {
  const [betterWorth, worseWorth] = [measureMeanWorth(pattern, better), measureMeanWorth(pattern, worse)]
  assert.ok(betterWorth >= worseWorth + minGain, `${pattern}: ${better} ${betterWorth.toFixed(3)}, ${worse} ${worseWorth.toFixed(3)}`)
}

describe('the policy simulation', () => {
  it('gives the same result for the same seed', () => {
    const pattern = PATTERNS[PatternName.Burst]
    const [first, second] = [1, 2].map(() => new PolicySimulation(pattern, POLICIES[PolicyName.Current], 7).run())
    assert.deepEqual(first, second)
  })

  it('ranks the least loaded, the first ranked and the product\'s choice in the same order as the deployments', () => {
    for (const pattern of [PatternName.SharedObjects, PatternName.ColdStart, PatternName.SlowWorkers, PatternName.LostWorkers]) {
      assertBetter(pattern, PolicyName.FirstRanked, PolicyName.LeastLoaded, 0.05)
      assertBetter(pattern, PolicyName.Current, PolicyName.FirstRanked, 0.02)
    }
  })
})

describe('an outage of all VMs', () => {
  it('delays requests, but leaves none unserved that can still be retried', () => {
    // All VMs lose power for 1.5 seconds. Requests in flight are lost and retried,
    // together with those that arrive during the outage. No request is refused here.
    const shared = PATTERNS[PatternName.SharedObjects]
    const baseline = { ...shared, callerTimeoutMs: 6_000, traits: { ...shared.traits, queueCapacity: 1_000 } }
    const withOutage = { ...baseline, restartAt: 15_000, outageMs: 1_500 }
    const [before, after] = [baseline, withOutage].map((pattern) => new PolicySimulation(pattern, POLICIES[PolicyName.AdmitAll], 3).run())
    assert.ok(after!.unserved < before!.unserved + 0.005, `${after!.unserved}`)
    assert.ok(after!.late > before!.late + 0.02, `${after!.late}`)
  })
})

describe('an object that a VM has not requested before', () => {
  it('may be cached at a worker, which shortens queues if callers of several VMs share objects', () => {
    // The first worker in an object's ranking has a queue, and the second one has cached
    // the object for another VM. A VM that considered only its own requests waited for
    // the first worker until the answer was late, or expected a late answer from the second.
    for (const pattern of [PatternName.SharedObjects, PatternName.SlowWorkers, PatternName.RestartedVms]) {
      assertBetter(pattern, PolicyName.Current, PolicyName.LocalCacheKnowledge, 0.008)
    }
  })
})

describe('refusal of requests whose answers would be late', () => {
  it('serves more requests in time while there are more requests than slots', () => {
    // A burst of 2.5 times the usual load. If all requests were admitted, the queues
    // would be so long that hardly any answer would be in time.
    assertBetter(PatternName.Burst, PolicyName.Current, PolicyName.AdmitAll, 0.05)
  })
})

describe('the load of workers that VMs tell each other', () => {
  /** 72 VMs and 12 workers that cache most objects of two ranks, four fifths of the slots busy. */
  const pattern: LoadPattern = {
    ...PATTERNS[PatternName.SharedObjects],
    traits: { slots: 6, queueCapacity: 18, cacheCapacity: 26, coldServiceMs: 746, warmServiceRatio: 0.3 },
    vmsPerDomain: 12,
    crossRegionDelayMs: 35,
    objectsPerRegion: 36,
    requestsPerSecond: 257,
    goalMs: 1_000,
    callerTimeoutMs: 6_000,
    durationMs: 25_000,
    measureFromMs: 8_000
  }
  const EXCHANGE_SEEDS = [1, 2, 3]
  const exchange = { delayMs: 150 }
  /** Machines change between usual and slow ten times a second. */
  const pace = { paceIntervalMs: 100 }

  function measureAll (change: Partial<LoadPattern>): PolicyResult[] {
    return EXCHANGE_SEEDS.map((seed) => new PolicySimulation({ ...pattern, ...change }, POLICIES[PolicyName.Current], seed).run())
  }

  function computeMean (results: readonly PolicyResult[], field: 'worth' | 'meanWaiting'): number {
    return results.reduce((sum, result) => sum + result[field], 0) / results.length
  }

  it('shortens the queues at busy workers, without more late or refused requests', () => {
    const [without, withExchange] = [measureAll({}), measureAll({ exchange })]
    assert.ok(computeMean(withExchange, 'meanWaiting') < computeMean(without, 'meanWaiting'), `${computeMean(withExchange, 'meanWaiting')}, ${computeMean(without, 'meanWaiting')}`)
    assert.ok(computeMean(withExchange, 'worth') >= computeMean(without, 'worth'), `${computeMean(withExchange, 'worth')}, ${computeMean(without, 'worth')}`)
  })

  it('serves more requests in time while the pace of workers changes every 100 ms', () => {
    const [without, withExchange] = [measureAll(pace), measureAll({ ...pace, exchange })]
    assert.ok(computeMean(withExchange, 'worth') > computeMean(without, 'worth'), `${computeMean(withExchange, 'worth')}, ${computeMean(without, 'worth')}`)
    assert.ok(computeMean(withExchange, 'meanWaiting') < computeMean(without, 'meanWaiting'), `${computeMean(withExchange, 'meanWaiting')}, ${computeMean(without, 'meanWaiting')}`)
  })

  it('changes no decision if the exchange is cut', () => {
    const [without, cut] = [measureAll(pace), measureAll({ ...pace, exchange: { ...exchange, isConnected: () => false } })]
    assert.deepEqual(cut, without)
  })

  // Guards against VMs that rely on rows that only some of them get.
  it('is no worse than none if half of the VMs receive nothing', () => {
    const [without, halfCut] = [measureAll({}), measureAll({ exchange: { ...exchange, isConnected: (_from, to) => !/[02468]$/.test(to) } })]
    assert.ok(computeMean(halfCut, 'worth') >= computeMean(without, 'worth') - 0.005, `${computeMean(halfCut, 'worth')}, ${computeMean(without, 'worth')}`)
  })
})
