/** Tests of the counts per time window and of the report for several daemons. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { BURN_WINDOWS, BurnCounter, BurnWindow } from '../../../src/common/burn/burnCounter.js'
import { buildBurnReport, isGoodRequest } from '../../../src/common/burn/burnReport.js'

const SEED = 20_257
const BUCKET_MS = 10_000
const WINDOW_BUCKETS = { [BurnWindow.FiveMinutes]: 30, [BurnWindow.OneHour]: 360, [BurnWindow.SixHours]: 2160 }
const objective = { target: 0.99, latencyMs: 100 }

describe('BurnCounter', () => {
  it('counts the same requests in each window as a list of all requests', () => {
    const requestLists = fc.array(fc.record({ elapsedMs: fc.integer({ min: 0, max: 2_000_000 }), isGood: fc.boolean() }), { maxLength: 60 })
    fc.assert(fc.property(requestLists, (requests) => {
      const counter = new BurnCounter()
      const recordedRequests: Array<{ at: number, isGood: boolean }> = []
      let now = 0
      for (const { elapsedMs, isGood } of requests) {
        now += elapsedMs
        counter.record('s', isGood, now)
        recordedRequests.push({ at: now, isGood })
      }
      const counts = counter.getCounts('s', now)
      for (const window of BURN_WINDOWS) {
        const lastExcludedBucket = Math.floor(now / BUCKET_MS) - WINDOW_BUCKETS[window]
        const requestsInWindow = recordedRequests.filter(({ at }) => Math.floor(at / BUCKET_MS) > lastExcludedBucket)
        const good = requestsInWindow.filter(({ isGood }) => isGood).length
        assert.deepEqual(counts.windows[window], { good, bad: requestsInWindow.length - good })
      }
      assert.equal(counts.total.good + counts.total.bad, requests.length)
    }), { seed: SEED, numRuns: 200 })
  })
})

describe('buildBurnReport', () => {
  it('merges daemons and computes the burn rate and the remaining error budget', () => {
    const [first, second] = [new BurnCounter(), new BurnCounter()]
    for (let request = 0; request < 990; request++) first.record('s', true, 0)
    for (let request = 0; request < 10; request++) second.record('s', false, 4_000_000)
    const nodes = [first, second].map((counter) => ({ services: { s: { objective, ...counter.getCounts('s', 4_000_000) } } }))
    const report = buildBurnReport(nodes).services.s
    assert.ok(report)
    assert.deepEqual(report.windows[BurnWindow.FiveMinutes], { good: 0, bad: 10, errorRate: 1, burnRate: 1 / (1 - 0.99) })
    assert.equal(report.windows[BurnWindow.SixHours].errorRate, 0.01)
    assert.ok(Math.abs(report.total.burnRate - 1) < 1e-9)
    assert.ok(Math.abs(report.errorBudgetLeft) < 1e-9)
  })

  it('reports no burn without requests, and counts only complete and timely responses as good', () => {
    const report = buildBurnReport([{ services: { s: { objective, ...new BurnCounter().getCounts('s', 0) } } }]).services.s
    assert.equal(report?.errorBudgetLeft, 1)
    assert.deepEqual([isGoodRequest(objective, true, 0, 100), isGoodRequest(objective, true, 0, 101), isGoodRequest(objective, false, 0, 1)], [true, false, false])
  })
})
