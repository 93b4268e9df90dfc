import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { findRank } from '../../../../src/common/entry/sharing/dealRequests.js'
import { computeColdAllowance } from '../../../../src/common/entry/workers/coldAllowance.js'
import { KeyRanking } from '../../../../src/common/entry/placement/keyRanking.js'
import { computeWorkerShares, type WorkerCapacity, type WorkerShares } from '../../../../src/common/entry/placement/workerShares.js'
import { SeededRandom } from '@umberspar/base/common/random'
import { SharedRetryBudget } from '../../../../src/common/entry/retry/sharedRetryBudget.js'

const SEED = 20261202
const REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c']])

const workersInput = fc.array(fc.record({ domain: fc.constantFrom(...REGIONS.keys()), slots: fc.integer({ min: 1, max: 16 }) }), { minLength: 1, maxLength: 40 })
  .map((list): WorkerCapacity[] => list.map((worker, index) => ({ ...worker, id: `w-${index}` })))

/** The users' limit on the fraction of a region's requests that may move to another region within two seconds. */
const MAX_SHIFT_RATIO = 0.15

const PAIRED_REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c'], ['c-2', 'c']])
const DOMAINS_PER_REGION = 2

/** @returns the fraction of a region's requests that moved to another region; both domains get the same traffic */
function computeMovedRatio (workers: readonly WorkerCapacity[], from: string, before: ReadonlyMap<string, WorkerShares>, after: ReadonlyMap<string, WorkerShares>): number {
  const changes = new Map<string, number>()
  for (const [domain, region] of PAIRED_REGIONS) {
    if (region !== from) continue
    for (const worker of workers) {
      const to = PAIRED_REGIONS.get(worker.domain)!
      const change = (after.get(domain)!.get(worker.id) ?? 0) - before.get(domain)!.get(worker.id)!
      changes.set(to, (changes.get(to) ?? 0) + change / DOMAINS_PER_REGION)
    }
  }
  return [...changes.values()].reduce((sum, change) => sum + Math.max(0, change), 0)
}

describe('what each VM computes without coordination', () => {
  it('shares of a domain add up to one and no worker gets much more than its even share', () => {
    fc.assert(fc.property(workersInput, (workers) => {
      const shares = computeWorkerShares(workers, REGIONS)
      const totalSlots = workers.reduce((sum, { slots }) => sum + slots, 0)
      for (const byWorker of shares.values()) {
        const total = [...byWorker.values()].reduce((sum, share) => sum + share, 0)
        assert.ok(Math.abs(total - 1) < 1e-9)
      }
      for (const { id, slots } of workers) {
        const intended = [...shares.values()].reduce((sum, byWorker) => sum + byWorker.get(id)!, 0) / REGIONS.size
        // Rows are scaled last, which increases the columns again.
        assert.ok(intended <= 1.5 * slots / totalSlots, `${intended} of ${slots}/${totalSlots}`)
      }
    }), { seed: SEED, numRuns: 200 })
  })

  it('a worker that leaves or joins moves no more of a region\'s requests to another region than its maximum share', () => {
    // Workers of a service are replaced one after the other. All VMs compute the same new shares from the worker
    // list alone: traffic moves nothing, and a change of the list moves no more than the worker's even share.
    // From 21 workers on, that is below the users' limit of 0.15.
    const lists = fc.array(fc.constantFrom(...PAIRED_REGIONS.keys()), { minLength: 4, maxLength: 60 })
    fc.assert(fc.property(lists, (domains) => {
      const workers = domains.map((domain, index): WorkerCapacity => ({ id: `w-${index}`, domain, slots: 4 }))
      const [before, after] = [computeWorkerShares(workers, PAIRED_REGIONS), computeWorkerShares(workers.slice(1), PAIRED_REGIONS)]
      const maxCarriedRatio = 1.05 * PAIRED_REGIONS.size / (DOMAINS_PER_REGION * workers.length)
      for (const region of new Set(PAIRED_REGIONS.values())) {
        const moved = computeMovedRatio(workers, region, before, after)
        assert.ok(moved <= maxCarriedRatio + 1e-9, `${moved} of the requests of ${region} moved, at most ${maxCarriedRatio}`)
        if (workers.length >= 21) assert.ok(moved <= MAX_SHIFT_RATIO)
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('all failure domains of a region send an object to the same worker', () => {
    // Callers of a region request the same objects through entry VMs in both of its domains. When each domain
    // preferred its own workers, each object had two workers and so two cache misses; a miss takes three times
    // as long as a hit and is late even without a queue.
    fc.assert(fc.property(fc.array(fc.constantFrom(...PAIRED_REGIONS.keys()), { minLength: 1, maxLength: 40 }), (domains) => {
      const shares = computeWorkerShares(domains.map((domain, index) => ({ id: `w-${index}`, domain, slots: 4 })), PAIRED_REGIONS)
      for (const region of new Set(PAIRED_REGIONS.values())) {
        const [first, second] = [...PAIRED_REGIONS].filter(([, of]) => of === region).map(([domain]) => new KeyRanking(shares.get(domain)!))
        for (let key = 0; key < 20; key++) assert.deepEqual(first!.rank(`${key}`), second!.rank(`${key}`))
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('a worker that leaves moves only the keys for which it ranked first', () => {
    fc.assert(fc.property(fc.integer({ min: 2, max: 20 }), fc.integer(), (count, salt) => {
      const shares = new Map(Array.from({ length: count }, (_, index) => [`w-${index}`, 1 / count]))
      const before = new KeyRanking(shares)
      const remaining = new Map([...shares].filter(([id]) => id !== 'w-0'))
      const after = new KeyRanking(remaining)
      for (let index = 0; index < 50; index++) {
        const key = `${salt}-${index}`
        if (before.rank(key)[0] !== 'w-0') assert.equal(after.rank(key)[0], before.rank(key)[0])
      }
    }), { seed: SEED, numRuns: 50 })
  })

  it('all VMs together stay within a cold worker\'s limit, whatever their number', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.double({ min: 1, max: 40, noNaN: true }), (count, perSecond) => {
      const tolerance = { factor: 1.5, slack: 5 }
      const nodes = Array.from({ length: count }, (_, index) => `vm-${index}`)
      const sum = nodes.reduce((total, node) => total + computeColdAllowance(perSecond, tolerance, findRank('w-1', nodes, node), nodes.length), 0)
      assert.ok(sum <= perSecond * tolerance.factor + tolerance.slack)
      assert.ok(sum >= Math.min(count, 1), 'some VM may send to it')
    }), { seed: SEED, numRuns: 300 })
  })

  it('all VMs together stay within the retry budget in any window, wherever requests arrive', () => {
    const requests = fc.array(fc.record({ node: fc.nat({ max: 199 }), at: fc.nat({ max: 30_000 }), isRepeat: fc.boolean() }), { minLength: 1, maxLength: 2_000 })
    fc.assert(fc.property(requests, fc.oneof(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 13, max: 200 })), (events, count) => {
      const budget = { ratio: 0.2, windowMs: 10_000, slack: 60 }
      const windows = Array.from({ length: count }, () => new SharedRetryBudget(budget, () => count, Number.NEGATIVE_INFINITY))
      const first: number[] = []
      const repeats: number[] = []
      for (const { node, at, isRepeat } of events.sort((left, right) => left.at - right.at)) {
        const window = windows[node % count]!
        if (!isRepeat) {
          window.recordFirstAttempt(at)
          first.push(at)
        } else if (window.take(at)) repeats.push(at)
      }
      for (const end of repeats) {
        const from = end - budget.windowMs
        const countInWindow = (list: readonly number[]): number => list.filter((at) => at > from && at <= end).length
        assert.ok(countInWindow(repeats) <= budget.ratio * countInWindow(first) + budget.slack)
      }
    }), { seed: SEED, numRuns: 60 })
  })

  it('the VMs of a large fleet can send half of the retries needed for a service with few requests', () => {
    // 195 VMs together receive 107 uploads per second, half of which workers reject for a while. In ten seconds
    // each VM's part of the slack is 1.3 retries and its requests earn 0.8. If the two were rounded down
    // separately, each VM could send one retry in ten seconds, and callers would be rejected.
    const budget = { ratio: 0.2, windowMs: 10_000, slack: 430 }
    const count = 195
    const perSecond = 107
    const windows = Array.from({ length: count }, () => new SharedRetryBudget(budget, () => count, Number.NEGATIVE_INFINITY))
    const random = new SeededRandom(SEED)
    let sent = 0
    const requestCount = perSecond * budget.windowMs / 1_000
    for (let index = 0; index < requestCount; index++) {
      const at = index * 1_000 / perSecond
      const window = windows[Math.floor(random.next() * count)]!
      window.recordFirstAttempt(at)
      if (random.next() < 0.5 && window.take(at)) sent++
    }
    const wanted = requestCount / 2
    assert.ok(sent >= 0.5 * wanted, `${sent} retries sent of ${wanted} wanted`)
    assert.ok(sent <= requestCount * budget.ratio + budget.slack)
  })
})
