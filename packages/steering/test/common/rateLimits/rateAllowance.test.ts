import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { divideByWeight } from '../../../src/common/rateLimits/divideByWeight.js'
import { divideRateLimit, type SendingNode } from '../../../src/common/rateLimits/rateAllowance.js'
import { SlidingWindowCounter } from '../../../src/common/rateLimits/slidingWindowCounter.js'

const SEED = 134
const DOMAINS = ['north', 'south', 'east']
const nodes = fc.uniqueArray(fc.record({ name: fc.string({ minLength: 1, maxLength: 6 }), domain: fc.constantFrom(...DOMAINS) }), { selector: ({ name }) => name, minLength: 1, maxLength: 200 })
const demand = fc.dictionary(fc.constantFrom(...DOMAINS), fc.double({ min: 0, max: 10, noNaN: true })).map((parts) => new Map(Object.entries(parts)))
const perSecond = fc.double({ min: 0, max: 200, noNaN: true })
const tolerance = { factor: 1.5, slack: 5 }

describe('divideByWeight', () => {
  it('adds up, stays within one of the exact parts, and does not depend on the order', () => {
    const recipientLists = fc.uniqueArray(fc.record({ name: fc.string(), weight: fc.double({ min: 0, max: 1_000, noNaN: true }) }), { selector: ({ name }) => name, minLength: 1, maxLength: 60 })
    fc.assert(fc.property(fc.nat(10_000), recipientLists, (units, recipients) => {
      const parts = divideByWeight(units, recipients, 'key')
      assert.equal([...parts.values()].reduce((sum, part) => sum + part, 0), units)
      assert.deepEqual(new Map([...divideByWeight(units, [...recipients].reverse(), 'key')].reverse()), parts)
      const sum = recipients.reduce((all, { weight }) => all + weight, 0)
      for (const { name, weight } of recipients) {
        const exact = units * (sum === 0 ? 1 / recipients.length : weight / sum)
        assert.ok(Math.abs(parts.get(name)! - exact) <= 1 + 1e-6 * units)
      }
    }), { seed: SEED })
  })
})

describe('divideRateLimit', () => {
  // Guards against entry VMs that together exceed a limit although none of them exceeds its part.
  it('keeps all VMs together within the limit, and within the tolerated excess, in any window', () => {
    fc.assert(fc.property(perSecond, nodes, demand, (rate, allNodes, demandByDomain) => {
      const allowances = [...divideRateLimit({ perSecond: rate, workerId: 'w-1', tolerance }, allNodes, demandByDomain).values()]
      const { windowMs } = allowances[0]!
      const limit = rate * windowMs / 1_000
      const totalRequests = allowances.reduce((total, allowance) => total + allowance.maxRequests, 0)
      assert.ok(totalRequests <= limit + 1e-6)
      assert.ok(totalRequests >= Math.floor(limit - 1e-6), 'no part of the limit is left unused')
      assert.ok(allowances.reduce((total, allowance) => total + allowance.maxToleratedRequests, 0) <= limit * tolerance.factor + tolerance.slack)
      assert.ok(allowances.every((allowance) => allowance.maxToleratedRequests >= allowance.maxRequests))
    }), { seed: SEED })
  })

  // Guards against VMs without a part that never notice the end of a limit, or whose probe requests exceed it.
  it('lets VMs without a part send probe requests, within a tenth of the limit', () => {
    fc.assert(fc.property(perSecond, nodes, demand, (limit, allNodes, demandByDomain) => {
      const nodesWithoutPart = [...divideRateLimit({ perSecond: limit, workerId: 'w-1', tolerance }, allNodes, demandByDomain).values()].filter(({ maxRequests }) => maxRequests === 0)
      const rate = nodesWithoutPart.reduce((sum, { probeIntervalMs }) => sum + 1_000 / probeIntervalMs, 0)
      assert.ok(rate <= Math.max(Math.max(1, limit) * 0.1, nodesWithoutPart.length / 600) + 1e-9)
      assert.ok(nodesWithoutPart.length === 0 || rate > 0)
    }), { seed: SEED })
  })

  it('divides the part of a failure domain equally among its VMs', () => {
    const allNodes: SendingNode[] = [{ name: 'vm-1', domain: 'north' }, { name: 'vm-2', domain: 'south' }, { name: 'vm-3', domain: 'south' }]
    const parts = divideRateLimit({ perSecond: 10, workerId: 'w-1', tolerance: { factor: 1, slack: 0 } }, allNodes, new Map([['north', 0.5], ['south', 0.5]]))
    assert.deepEqual([...parts.values()].map(({ maxRequests }) => maxRequests), [20, 10, 10])
  })

  it('gives the largest parts to the VMs that are expected to send the most requests', () => {
    const allNodes: SendingNode[] = Array.from({ length: 12 }, (_, index) => ({ name: `vm-${index}`, domain: DOMAINS[Math.floor(index / 4)]! }))
    const allowances = divideRateLimit({ perSecond: 10.1, workerId: 'w-1', tolerance }, allNodes, new Map([['north', 0.9], ['south', 0.05], ['east', 0.05]]))
    const northRequests = allNodes.filter(({ domain }) => domain === 'north').reduce((sum, { name }) => sum + allowances.get(name)!.maxRequests, 0)
    assert.equal(northRequests, 36)
  })
})

describe('counting sends in a sliding window', () => {
  it('allows exactly the maximum number of requests in any window', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 5 }), fc.integer({ min: 1, max: 100 }), fc.array(fc.nat(50), { maxLength: 100 }), (maxRequests, spanMs, gaps) => {
      const meter = new SlidingWindowCounter()
      const sent: number[] = []
      let now = 0
      for (const gap of gaps) {
        now += gap
        const inSpan = sent.filter((at) => at > now - spanMs).length
        const freeAt = meter.getNextAllowedAt(maxRequests, spanMs, now)
        assert.equal(freeAt <= now, inSpan < maxRequests)
        if (freeAt > now) continue
        meter.record(now)
        sent.push(now)
      }
    }), { seed: SEED })
  })

  it('allows no request at a maximum of 0', () => {
    assert.equal(new SlidingWindowCounter().getNextAllowedAt(0, 1_000, 5), Infinity)
  })
})
