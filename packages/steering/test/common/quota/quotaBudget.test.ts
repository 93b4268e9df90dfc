import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { QuotaBucket } from '../../../src/common/quota/quotaBucket.js'
import { computeQuotaPart } from '../../../src/common/quota/quotaBudget.js'

const SEED = 20261203
const TOLERANCE = { windowMs: 5_000, over: 0.1, slack: 20 }

describe('the parts of a quota', () => {
  it('together stay within the tolerance in any window, with what VMs keep and with two new keepers of each', () => {
    const quota = fc.record({ ratePerSecond: fc.double({ min: 0.01, max: 5_000, noNaN: true }), burst: fc.nat(10_000) })
    fc.assert(fc.property(quota, fc.integer({ min: 1, max: 8 }), ({ ratePerSecond, burst }, parts) => {
      const part = computeQuotaPart({ ratePerSecond, burst }, TOLERANCE, parts)
      const most = part.perMs * (TOLERANCE.windowMs + part.stockMs) + part.capacity + 2 * part.initial
      const allowed = (ratePerSecond * 5 + burst) * 1.1 + 20
      assert.ok(most * parts <= allowed + 1e-6, `${most * parts} of ${allowed}`)
    }), { seed: SEED })
  })

  it('let an account send what its quota allows window after window', () => {
    // An operator lowered a quota to just below what the account sends. With a bucket that
    // fills by the rate alone a sixth of what every window allows was refused.
    const part = computeQuotaPart({ ratePerSecond: 48, burst: 48 }, TOLERANCE, 1)
    const bucket = new QuotaBucket(part, 0)
    let given = 0
    for (let now = 0; now < 30_000; now += 10) given += bucket.take(1, now)
    assert.ok(given >= 0.98 * (48 * 5 + 48) * 6, `${given}`)
  })
})

describe('the bucket of a part', () => {
  const part = { perMs: 0.01, capacity: 5, initial: 2, stockMs: 100 }

  it('begins with what a new keeper may give, and gathers up to its capacity', () => {
    const bucket = new QuotaBucket(part, 0)
    assert.equal(bucket.take(10, 0), 2)
    assert.equal(bucket.take(10, 100), 1)
    assert.equal(bucket.take(10, 60_000), 5)
  })

  it('tells when it has the next', () => {
    const bucket = new QuotaBucket(part, 0)
    bucket.take(2, 0)
    assert.equal(bucket.getWaitMs(20), 80)
    assert.equal(bucket.getWaitMs(100), 0)
  })

  it('takes back what was not used, and no more than it may gather', () => {
    const bucket = new QuotaBucket(part, 0)
    bucket.take(2, 0)
    bucket.return(9, 0)
    assert.equal(bucket.take(10, 0), 5)
  })

  it('gives less at once when its part becomes smaller', () => {
    const bucket = new QuotaBucket(part, 0)
    bucket.setPart({ ...part, capacity: 1 }, 60_000)
    assert.equal(bucket.take(10, 60_000), 1)
  })
})
