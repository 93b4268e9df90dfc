import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { divideByWeight } from '../../../src/common/rateLimits/divideByWeight.js'
import type { FleetMember } from '../../../src/common/entry/records.js'
import { computeDealtPart, findRank } from '../../../src/common/entry/sharing/dealRequests.js'
import { computeRateBudget, divideAmongDomains, type RateLimit } from '../../../src/common/rateLimits/rateAllowance.js'
import { SlidingWindowCounter } from '../../../src/common/rateLimits/slidingWindowCounter.js'

const SEED = 134
const DOMAINS = ['north', 'south', 'east']
const nodes = fc.uniqueArray(fc.record({ name: fc.string({ minLength: 1, maxLength: 6 }), domain: fc.constantFrom(...DOMAINS) }), { selector: ({ name }) => name, minLength: 1, maxLength: 200 })
const REGIONS = new Map(DOMAINS.map((domain) => [domain, domain]))
const OTHERS = Array.from({ length: 30 }, (_, index) => `other-${index}`)
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

/** @returns the parts of VMs that all know each other, by name */
function divideLimit (limit: RateLimit, allNodes: readonly FleetMember[]): Map<string, number> {
  const parts = divideAmongDomains(computeRateBudget(limit), limit, REGIONS)
  return new Map(allNodes.map(({ name, domain }) => {
    const names = allNodes.filter((other) => other.domain === domain).map((other) => other.name)
    return [name, computeDealtPart(parts.get(domain)!, findRank(limit.workerId, names, name), names.length)]
  }))
}

function countParts (parts: ReadonlyMap<string, number>): number {
  return [...parts.values()].reduce((sum, part) => sum + part, 0)
}

describe('the division of a rate limit', () => {
  // Guards against entry VMs that together exceed a limit although none of them exceeds its part.
  it('keeps all VMs together, probes included, within the tolerated excess in any window', () => {
    fc.assert(fc.property(perSecond, nodes, (rate, allNodes) => {
      const limit = { perSecond: rate, workerId: 'w-1', domain: 'north', tolerance }
      const { windowMs, maxRequests, maxProbers } = computeRateBudget(limit)
      assert.ok(maxRequests <= rate * windowMs / 1_000 + 1e-6)
      assert.ok(countParts(divideLimit(limit, allNodes)) + maxProbers <= rate * windowMs / 1_000 * tolerance.factor + tolerance.slack)
    }), { seed: SEED })
  })

  // Guards against limits that are left unused.
  it('divides at least the whole limit among the VMs if there are some in each domain', () => {
    fc.assert(fc.property(perSecond, fc.integer({ min: 1, max: 60 }), (rate, count) => {
      const limit = { perSecond: rate, workerId: 'w-1', domain: 'north', tolerance }
      const allNodes = Array.from({ length: count * DOMAINS.length }, (_, index) => ({ name: `vm-${index}`, domain: DOMAINS[index % DOMAINS.length]! }))
      const { maxRequests, dividedRequests } = computeRateBudget(limit)
      assert.equal(countParts(divideLimit(limit, allNodes)), dividedRequests)
      assert.ok(dividedRequests >= maxRequests)
    }), { seed: SEED })
  })

  // Guards against VMs whose lists differ and whose parts add up to more than the whole.
  it('stays within the limit when each VM knows other VMs besides all that send', () => {
    fc.assert(fc.property(fc.nat(200), fc.integer({ min: 1, max: 40 }), fc.array(fc.subarray(OTHERS), { minLength: 40, maxLength: 40 }), (total, count, knownOthers) => {
      const senders = Array.from({ length: count }, (_, index) => `vm-${index}`)
      const sum = senders.reduce((parts, name, index) => {
        const known = [...senders, ...knownOthers[index]!]
        return parts + computeDealtPart(total, findRank('w-1', known, name), known.length)
      }, 0)
      assert.ok(sum <= total, `${sum} of ${total}`)
    }), { seed: SEED })
  })

  it('depends neither on the order of VMs nor on the list of workers', () => {
    fc.assert(fc.property(perSecond, nodes, (rate, allNodes) => {
      const limit = { perSecond: rate, workerId: 'w-1', domain: 'north', tolerance }
      assert.deepEqual(new Map([...divideLimit(limit, [...allNodes].reverse())].reverse()), divideLimit(limit, allNodes))
    }), { seed: SEED })
  })

  it('gives the largest parts to the VMs of the region of the worker', () => {
    const allNodes = Array.from({ length: 12 }, (_, index) => ({ name: `vm-${index}`, domain: DOMAINS[Math.floor(index / 4)]! }))
    const parts = divideLimit({ perSecond: 10.1, workerId: 'w-1', domain: 'north', tolerance }, allNodes)
    const northRequests = allNodes.filter(({ domain }) => domain === 'north').reduce((sum, { name }) => sum + parts.get(name)!, 0)
    assert.equal(northRequests, 42)
    assert.equal(countParts(parts), 60)
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
