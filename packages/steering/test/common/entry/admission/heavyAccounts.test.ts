import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { HeavyAccounts, MAX_COUNTED_ACCOUNTS } from '../../../../src/common/entry/admission/heavyAccounts.js'
import { USAGE_HALF_LIFE_MS } from '../../../../src/common/entry/admission/decayingCount.js'

const SEED = 20261204

describe('the counts of the heaviest accounts', () => {
  it('never exceed what was asked, and miss at most what one place stands for', () => {
    fc.assert(fc.property(fc.array(fc.nat({ max: 300 }), { maxLength: 2_000 }), (requests) => {
      const counted = new HeavyAccounts()
      const asked = new Map<string, number>()
      for (const account of requests) {
        counted.record(`${account}`, 0)
        asked.set(`${account}`, (asked.get(`${account}`) ?? 0) + 1)
      }
      const listed = counted.list(0)
      assert.ok(listed.size <= MAX_COUNTED_ACCOUNTS)
      for (const [account, count] of listed) assert.ok(count <= asked.get(account)!, account)
      for (const [account, count] of asked) assert.ok((listed.get(account) ?? 0) >= count - requests.length / MAX_COUNTED_ACCOUNTS - 1e-9, account)
    }), { seed: SEED, numRuns: 100 })
  })

  it('halve in the half-life, and are forgotten', () => {
    const counted = new HeavyAccounts()
    for (let index = 0; index < 8; index++) counted.record('one', 0)
    assert.equal(counted.get('one', USAGE_HALF_LIFE_MS), 4)
    assert.equal(counted.list(10 * USAGE_HALF_LIFE_MS).size, 0)
  })
})
