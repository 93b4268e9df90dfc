import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { QuotaBucket } from '../../../src/common/quota/quotaBucket.js'
import { computeBucketParameters, type QuotaBucketParameters } from '../../../src/common/quota/bucketParameters.js'

const SEED = 20261203
const TOLERANCE = { windowMs: 5_000, over: 0.1, slack: 20 }

describe('computeBucketParameters', () => {
  it('keeps all shares together within the tolerance in any window, including held tokens and two new owners of each share', () => {
    const quota = fc.record({ ratePerSecond: fc.double({ min: 0.01, max: 5_000, noNaN: true }), burst: fc.nat(10_000) })
    fc.assert(fc.property(quota, fc.integer({ min: 1, max: 8 }), ({ ratePerSecond, burst }, shareCount) => {
      const parameters = computeBucketParameters({ ratePerSecond, burst }, TOLERANCE, shareCount)
      const maxRequests = parameters.refillPerMs * (TOLERANCE.windowMs + parameters.maxTokenAgeMs) + parameters.capacity + 2 * parameters.initialTokens
      const allowed = (ratePerSecond * 5 + burst) * 1.1 + 20
      assert.ok(maxRequests * shareCount <= allowed + 1e-6, `${maxRequests * shareCount} of ${allowed}`)
    }), { seed: SEED })
  })

  it('lets an account send what its quota allows in every window', () => {
    // Guards against buckets that refill at the rate alone: for an account that sends slightly
    // more than its quota, a sixth of what each window allows would be refused.
    const parameters = computeBucketParameters({ ratePerSecond: 48, burst: 48 }, TOLERANCE, 1)
    const bucket = new QuotaBucket(parameters, 0)
    let granted = 0
    for (let now = 0; now < 30_000; now += 10) granted += bucket.take(1, now)
    assert.ok(granted >= 0.98 * (48 * 5 + 48) * 6, `${granted}`)
  })
})

describe('QuotaBucket', () => {
  const parameters: QuotaBucketParameters = { refillPerMs: 0.01, capacity: 5, initialTokens: 2, maxTokenAgeMs: 100 }

  it('starts with the initial tokens of a new owner and fills up to its capacity', () => {
    const bucket = new QuotaBucket(parameters, 0)
    assert.equal(bucket.take(10, 0), 2)
    assert.equal(bucket.take(10, 100), 1)
    assert.equal(bucket.take(10, 60_000), 5)
  })

  it('tells how long until the next token is available', () => {
    const bucket = new QuotaBucket(parameters, 0)
    bucket.take(2, 0)
    assert.equal(bucket.getWaitMs(20), 80)
    assert.equal(bucket.getWaitMs(100), 0)
  })

  it('takes unused tokens back, up to its capacity', () => {
    const bucket = new QuotaBucket(parameters, 0)
    bucket.take(2, 0)
    bucket.return(9, 0)
    assert.equal(bucket.take(10, 0), 5)
  })

  it('applies a smaller capacity at once', () => {
    const bucket = new QuotaBucket(parameters, 0)
    bucket.setParameters({ ...parameters, capacity: 1 }, 60_000)
    assert.equal(bucket.take(10, 60_000), 1)
  })
})
