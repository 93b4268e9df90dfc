import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { computeFairShare } from '../../../../src/common/entry/admission/fairShare.js'
import { computePriorityLimits } from '../../../../src/common/entry/admission/priorityLimits.js'
import type { PriorityUsage } from '../../../../src/common/entry/admission/serviceUsage.js'

const SEED = 20261204
const NUM_RUNS = 500
/** Accounts of different size. */
const getWeight = (account: string): number => 1 + Number(account) % 3

const part = fc.record({ asked: fc.double({ min: 0.5, max: 1_000, noNaN: true }), owed: fc.constant(1), served: fc.constant(1), accounts: fc.constant(new Map<string, number>()) })
  .chain((usage) => fc.double({ min: 0, max: 1, noNaN: true }).map((ratio): PriorityUsage => ({ ...usage, owed: usage.asked, served: usage.asked * ratio })))
const usages = fc.array(fc.tuple(fc.nat({ max: 9 }), part), { minLength: 1, maxLength: 6 }).map((entries) => new Map(entries))
const shortage = fc.double({ min: 0, max: 0.9, noNaN: true })
const asks = fc.array(fc.double({ min: 0.1, max: 200, noNaN: true }), { minLength: 2, maxLength: 64 })

describe('the limits of priorities', () => {
  it('never admit a larger part of less urgent requests', () => {
    fc.assert(fc.property(usages, shortage, (usage, ratio) => {
      const limits = [...computePriorityLimits(usage, ratio, getWeight)].sort(([left], [right]) => left - right)
      assert.equal(limits[0]?.[1].admittedRatio, 1)
      for (const [index, [priority, { admittedRatio }]] of limits.entries()) {
        const { owed, served } = usage.get(priority)!
        assert.ok(admittedRatio > 0)
        for (const [, lessUrgent] of limits.slice(index + 1)) {
          // What more urgent requests get is what is admitted of them, and at most what is served of them.
          assert.ok(lessUrgent.admittedRatio <= Math.max(0.05, (served + 2) / (owed + 2)) + 1e-9)
        }
      }
    }), { seed: SEED, numRuns: NUM_RUNS })
  })

  it('refuse no more than has to be refused where all of what is more urgent is served', () => {
    fc.assert(fc.property(usages, shortage, (usage, ratio) => {
      const served = new Map([...usage].map(([priority, each]) => [priority, { ...each, served: each.owed }]))
      const total = [...served.values()].reduce((sum, { asked }) => sum + asked, 0)
      let refused = 0
      for (const [priority, { admittedRatio }] of computePriorityLimits(served, ratio, getWeight)) refused += (1 - admittedRatio) * served.get(priority)!.asked
      assert.ok(refused <= ratio * total + 1e-6)
    }), { seed: SEED, numRuns: NUM_RUNS })
  })

  it('limit nothing where one priority occurs and no account is heavy', () => {
    fc.assert(fc.property(part, shortage, (usage, ratio) => {
      const limit = computePriorityLimits(new Map([[3, usage]]), ratio, getWeight).get(3)!
      assert.equal(limit.admittedRatio, 1)
      assert.equal(limit.fairShare.over.size, 0)
    }), { seed: SEED, numRuns: NUM_RUNS })
  })
})

describe('the fair shares of accounts', () => {
  it('leave each account its part of the room by weight, and limit those first that ask most for their weight', () => {
    fc.assert(fc.property(asks, shortage, fc.double({ min: 0, max: 1, noNaN: true }), (counts, ratio, servedRatio) => {
      const accounts = new Map(counts.map((count, index) => [`${index}`, count]))
      const total = counts.reduce((sum, count) => sum + count, 0)
      const totalWeight = counts.reduce((sum, _, index) => sum + getWeight(`${index}`), 0)
      const { over, excess } = computeFairShare({ total, accounts, servedRatio }, (1 - ratio) * total, getWeight)
      let beyond = 0
      for (const [account, { asked, share }] of over) {
        assert.ok(asked > share && accounts.get(account) === asked)
        assert.ok(share >= (1 - ratio) * total * getWeight(account) / totalWeight - 1e-9)
        beyond += asked - share
      }
      assert.ok(Math.abs(beyond - excess) < 1e-6)
    }), { seed: SEED, numRuns: NUM_RUNS })
  })

  it('limit no account of equal weight while one that asks more is not limited', () => {
    fc.assert(fc.property(asks, shortage, fc.double({ min: 0, max: 1, noNaN: true }), (counts, ratio, servedRatio) => {
      const accounts = new Map(counts.map((count, index) => [`${index}`, count]))
      const total = counts.reduce((sum, count) => sum + count, 0)
      const { over } = computeFairShare({ total, accounts, servedRatio }, (1 - ratio) * total, () => 1)
      const least = Math.min(...[...over.values()].map(({ asked }) => asked))
      for (const [account, asked] of accounts) if (asked > least) assert.ok(over.has(account))
    }), { seed: SEED, numRuns: NUM_RUNS })
  })

  it('limit an account at 8 times its usual to its share, and not one that is large by its quota', () => {
    const accounts = new Map(Array.from({ length: 77 }, (_, index) => [`${index}`, index <= 1 ? 80 : 10]))
    const { over } = computeFairShare({ total: 910, accounts, servedRatio: 1 }, 840, (account) => account === '1' ? 8 : 1)
    assert.deepEqual([...over], [['0', { asked: 80, share: 10 }]])
  })
})
