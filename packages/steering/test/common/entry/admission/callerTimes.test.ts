import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { SeededRandom } from '@umberspar/base/common/random'
import { CallerTimes, CallerVisit } from '../../../../src/common/entry/admission/callerTimes.js'

const SEED = 20261204
const LEARNING_REQUESTS = 300

/** Observes first arrivals whose times come from a function. */
function observeFirstArrivals (times: CallerTimes, count: number, takeTime: () => number, now = 0): number {
  let taken = 0
  for (let index = 0; index < count; index++) if (times.observe(takeTime(), now + index * 10) === CallerVisit.Returned) taken++
  return taken
}

describe('the times of callers', () => {
  it('tell a caller that came back from one that comes for the first time', () => {
    const times = new CallerTimes()
    observeFirstArrivals(times, LEARNING_REQUESTS, () => 2_000)
    assert.equal(times.observe(2_000, 3_000), CallerVisit.First)
    assert.equal(times.observe(1_750, 3_000), CallerVisit.Returned)
  })

  it('are unknown after a start, and for requests without a deadline', () => {
    const times = new CallerTimes()
    assert.equal(times.observe(1_000, 0), undefined)
    observeFirstArrivals(times, LEARNING_REQUESTS, () => 2_000)
    assert.equal(times.observe(undefined, 3_000), undefined)
  })

  // Guards against a refused caller that repeats at once being served before others.
  it('take a caller that repeats at once for a first arrival', () => {
    const times = new CallerTimes()
    observeFirstArrivals(times, LEARNING_REQUESTS, () => 2_000)
    assert.equal(times.observe(1_960, 3_000), CallerVisit.First)
  })

  // Guards against callers with short deadlines being served before all others.
  it('rarely take a first arrival for a returned caller, however their deadlines differ', () => {
    const deadlines = fc.array(fc.record({ from: fc.integer({ min: 50, max: 20_000 }), spread: fc.nat({ max: 5_000 }), weight: fc.integer({ min: 1, max: 20 }) }), { minLength: 1, maxLength: 5 })
    fc.assert(fc.property(deadlines, fc.double({ min: 0, max: 0.6, noNaN: true }), fc.integer(), (groups, refusedRatio, salt) => {
      const random = new SeededRandom(salt)
      const total = groups.reduce((sum, { weight }) => sum + weight, 0)
      const takeTime = (): number => {
        let rest = random.next() * total
        const group = groups.find(({ weight }) => { rest -= weight; return rest < 0 }) ?? groups[0]!
        return group.from + random.next() * group.spread
      }
      const times = new CallerTimes()
      observeFirstArrivals(times, LEARNING_REQUESTS, takeTime)
      let taken = 0
      for (let index = 0; index < 1_000; index++) {
        const now = 3_000 + index * 10
        if (times.observe(takeTime(), now) === CallerVisit.Returned) taken++
        if (random.next() < refusedRatio) times.recordRefusal(now)
      }
      assert.ok(taken <= 150, `${taken} of 1000 first arrivals taken for returned callers`)
    }), { seed: SEED, numRuns: 200 })
  })

  it('are not distorted by the callers that return while many are refused', () => {
    const times = new CallerTimes()
    observeFirstArrivals(times, LEARNING_REQUESTS, () => 2_000)
    let recognized = 0
    for (let index = 0; index < 1_000; index++) {
      const now = 3_000 + index * 10
      times.observe(2_000, now)
      times.recordRefusal(now)
      if (times.observe(1_700, now) === CallerVisit.Returned) recognized++
    }
    assert.equal(recognized, 1_000)
    assert.equal(times.observe(2_000, 13_000), CallerVisit.First)
  })

  it('are learned anew when callers change their deadlines', () => {
    const times = new CallerTimes()
    observeFirstArrivals(times, LEARNING_REQUESTS, () => 2_000)
    observeFirstArrivals(times, LEARNING_REQUESTS, () => 1_000, 3_000)
    assert.equal(times.observe(1_000, 6_000), CallerVisit.First)
    assert.equal(times.observe(700, 6_000), CallerVisit.Returned)
  })
})
