import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { computeColdAllowance } from '../../../src/common/entry/coldAllowance.js'
import { KeyRanking } from '../../../src/common/entry/keyRanking.js'
import { computeWorkerShares, type WorkerCapacity, type WorkerShares } from '../../../src/common/entry/workerShares.js'
import { SeededRandom } from '@umberspar/base/common/random'
import { RetryBudget } from '../../../src/common/entry/retryBudget.js'

const SEED = 20261202
const REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c']])

const workersInput = fc.array(fc.record({ domain: fc.constantFrom(...REGIONS.keys()), slots: fc.integer({ min: 1, max: 16 }) }), { minLength: 1, maxLength: 40 })
  .map((list): WorkerCapacity[] => list.map((worker, index) => ({ ...worker, id: `w-${index}` })))

/** The cap of the users on what may change region within two seconds. */
const MAX_SHIFT = 0.15

const PAIRED_REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c'], ['c-2', 'c']])
const DOMAINS_PER_REGION = 2

/** @returns the part of a region's requests that run in another region than before; both domains get the same traffic */
function countMoved (workers: readonly WorkerCapacity[], from: string, before: ReadonlyMap<string, WorkerShares>, after: ReadonlyMap<string, WorkerShares>): number {
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

describe('what each VM works out alone', () => {
  it('shares of a domain add up to one and no worker is promised much more than its part', () => {
    fc.assert(fc.property(workersInput, (workers) => {
      const shares = computeWorkerShares(workers, REGIONS)
      const allSlots = workers.reduce((sum, { slots }) => sum + slots, 0)
      for (const byWorker of shares.values()) {
        const total = [...byWorker.values()].reduce((sum, share) => sum + share, 0)
        assert.ok(Math.abs(total - 1) < 1e-9)
      }
      for (const { id, slots } of workers) {
        const promised = [...shares.values()].reduce((sum, byWorker) => sum + byWorker.get(id)!, 0) / REGIONS.size
        // Rows are scaled last, which lifts a column by some part again.
        assert.ok(promised <= 1.5 * slots / allSlots, `${promised} of ${slots}/${allSlots}`)
      }
    }), { seed: SEED, numRuns: 200 })
  })

  it('a worker that leaves or joins shifts no more of a region to another region than the worker may carry of it', () => {
    // Workers of a service are replaced one after the other. Each VM works its shares
    // out anew, all of them alike and from the worker list alone: what traffic does
    // moves nothing, and a change of the list no more than the worker's even part. From
    // 21 workers of a service on, that is below the users' cap of 0.15.
    const lists = fc.array(fc.constantFrom(...PAIRED_REGIONS.keys()), { minLength: 4, maxLength: 60 })
    fc.assert(fc.property(lists, (domains) => {
      const workers = domains.map((domain, index): WorkerCapacity => ({ id: `w-${index}`, domain, slots: 4 }))
      const [before, after] = [computeWorkerShares(workers, PAIRED_REGIONS), computeWorkerShares(workers.slice(1), PAIRED_REGIONS)]
      const mostCarried = 1.05 * PAIRED_REGIONS.size / (DOMAINS_PER_REGION * workers.length)
      for (const region of new Set(PAIRED_REGIONS.values())) {
        const moved = countMoved(workers, region, before, after)
        assert.ok(moved <= mostCarried + 1e-9, `${moved} of the requests of ${region}, a worker carries ${mostCarried}`)
        if (workers.length >= 21) assert.ok(moved <= MAX_SHIFT)
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('all failure domains of a region lead an object to the same worker', () => {
    // Callers of a region ask for the same objects by entry VMs in both of its domains.
    // Each domain preferred its own workers, so that an object had a worker for either:
    // it was worked on anew twice, which takes three times as long and is late by itself.
    fc.assert(fc.property(fc.array(fc.constantFrom(...PAIRED_REGIONS.keys()), { minLength: 1, maxLength: 40 }), (domains) => {
      const shares = computeWorkerShares(domains.map((domain, index) => ({ id: `w-${index}`, domain, slots: 4 })), PAIRED_REGIONS)
      for (const region of new Set(PAIRED_REGIONS.values())) {
        const [first, second] = [...PAIRED_REGIONS].filter(([, of]) => of === region).map(([domain]) => new KeyRanking(shares.get(domain)!))
        for (let key = 0; key < 20; key++) assert.deepEqual(first!.rank(`${key}`), second!.rank(`${key}`))
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('a worker that leaves moves only the keys that it was first for', () => {
    fc.assert(fc.property(fc.integer({ min: 2, max: 20 }), fc.integer(), (count, salt) => {
      const shares = new Map(Array.from({ length: count }, (_, index) => [`w-${index}`, 1 / count]))
      const before = new KeyRanking(shares)
      const left = new Map([...shares].filter(([id]) => id !== 'w-0'))
      const after = new KeyRanking(left)
      for (let index = 0; index < 50; index++) {
        const key = `${salt}-${index}`
        if (before.rank(key)[0] !== 'w-0') assert.equal(after.rank(key)[0], before.rank(key)[0])
      }
    }), { seed: SEED, numRuns: 50 })
  })

  it('all VMs together stay below what a cold worker bears, whatever their number', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.double({ min: 1, max: 40, noNaN: true }), (count, perSecond) => {
      const tolerance = { factor: 1.5, slack: 5 }
      const nodes = Array.from({ length: count }, (_, index) => `vm-${index}`)
      const sum = nodes.reduce((total, node) => total + computeColdAllowance(perSecond, tolerance, 'w-1', nodes, node), 0)
      assert.ok(sum <= perSecond * tolerance.factor + tolerance.slack)
      assert.ok(sum >= Math.min(count, 1), 'some VM may warm it up')
    }), { seed: SEED, numRuns: 300 })
  })

  it('all VMs together stay within the budget for repeats in any window, wherever requests arrive', () => {
    const requests = fc.array(fc.record({ node: fc.nat({ max: 199 }), at: fc.nat({ max: 30_000 }), isRepeat: fc.boolean() }), { minLength: 1, maxLength: 2_000 })
    fc.assert(fc.property(requests, fc.oneof(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 13, max: 200 })), (events, count) => {
      const budget = { ratio: 0.2, windowMs: 10_000, slack: 60 }
      const windows = Array.from({ length: count }, () => new RetryBudget(budget, () => count))
      const first: number[] = []
      const repeats: number[] = []
      for (const { node, at, isRepeat } of events.sort((left, right) => left.at - right.at)) {
        const window = windows[node % count]!
        if (!isRepeat) {
          window.recordFirst(at)
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

  it('leave the VMs of a large fleet half of what they need of the budget of a service with few requests', () => {
    // 195 VMs take 107 uploads a second together, half of which workers refuse for a
    // while. Each VM's part of the slack is 1.3 repeats and its requests earn 0.8;
    // rounded down one by one that was one repeat in ten seconds, and callers were refused.
    const budget = { ratio: 0.2, windowMs: 10_000, slack: 430 }
    const count = 195
    const perSecond = 107
    const windows = Array.from({ length: count }, () => new RetryBudget(budget, () => count))
    const random = new SeededRandom(SEED)
    let sent = 0
    const asked = perSecond * budget.windowMs / 1_000
    for (let index = 0; index < asked; index++) {
      const at = index * 1_000 / perSecond
      const window = windows[Math.floor(random.next() * count)]!
      window.recordFirst(at)
      if (random.next() < 0.5 && window.take(at)) sent++
    }
    const wanted = asked / 2
    assert.ok(sent >= 0.5 * wanted, `${sent} repeats of ${wanted} wanted`)
    assert.ok(sent <= asked * budget.ratio + budget.slack)
  })
})
