import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { compareWaiting, computeWaitDeadline, shouldWait } from '../../../../src/common/entry/admission/placeWait.js'

const SEED = 20261204

describe('the wait for a place', () => {
  it('is bounded by a fraction of the goal, and ends early enough for the answer', () => {
    fc.assert(fc.property(fc.nat({ max: 10_000 }), fc.integer({ min: 1, max: 5_000 }), fc.nat({ max: 20_000 }), fc.nat({ max: 2_000 }), fc.nat({ max: 20_000 }), (now, goalMs, deadline, serviceTimeMs, placeAt) => {
      const waitDeadline = computeWaitDeadline(now, goalMs, deadline, serviceTimeMs)
      if (!shouldWait({ now, placeAt, waitDeadline })) return
      assert.ok(placeAt - now <= goalMs / 8 && placeAt > now)
      assert.ok(placeAt + serviceTimeMs <= deadline)
    }), { seed: SEED, numRuns: 500 })
  })

  it('goes by priority, then callers that were refused before, then by deadline', () => {
    const first = { rank: { priority: 0, account: undefined, hasReturned: false }, deadline: 900 }
    const returned = { rank: { priority: 1, account: undefined, hasReturned: true }, deadline: 900 }
    const early = { rank: { priority: 1, account: undefined, hasReturned: false }, deadline: 500 }
    const late = { ...early, deadline: 800 }
    assert.deepEqual([late, returned, early, first].sort(compareWaiting), [first, returned, early, late])
  })
})
