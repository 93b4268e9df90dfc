import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import type { Instant } from '@umberspar/base/common/clock'
import { CacheState } from '../../../../src/common/entry/workers/cacheHitEstimator.js'
import { type Candidate, type ChoiceContext, chooseUpstream } from '../../../../src/common/entry/workers/chooseUpstream.js'
import { type ExchangeContent, type ExchangeListener, type ExchangeRow, ExchangeTopic, type IFleetExchange } from '../../../../src/common/entry/exchange/exchangeRow.js'
import { EntryView } from '../../../../src/common/entry/entryView.js'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { Proximity } from '../../../../src/common/entry/placement/proximity.js'
import { UpstreamState } from '../../../../src/common/entry/records.js'
import { UpstreamTracker } from '../../../../src/common/entry/workers/upstreamTracker.js'
import { MAX_PACE, MIN_PACE, PACE_VALIDITY_MS, REPORT_VALIDITY_MS } from '../../../../src/common/entry/workers/workerLoad.js'
import { encodeLoad, WorkerLoadExchange } from '../../../../src/common/entry/workers/workerLoadExchange.js'

const SEED = 20261204
const REGIONS = new Map([['a-1', 'a']])
const SLOTS = 6
const STARTED_AT = 1_790_000_000_000
const COSTS = { otherDomain: 0.004, otherRegion: 0.013 }
const WORKER_COUNT = 5
const NOW = 10_000

class FakeExchange implements IFleetExchange {
  readonly published: ExchangeRow[] = []
  private readonly listeners: ExchangeListener[] = []

  publish (row: ExchangeRow): void {
    this.published.push(row)
  }

  listRows (): Iterable<ExchangeRow> {
    return []
  }

  onDidReceive (topic: ExchangeTopic, listener: ExchangeListener): void {
    if (topic === ExchangeTopic.WorkerLoad) this.listeners.push(listener)
  }

  addAggregation (): void {}

  deliver (key: string, content: ExchangeContent, at: Instant): void {
    for (const listener of this.listeners) listener({ topic: ExchangeTopic.WorkerLoad, key, content, at })
  }
}

/** One VM's view of some workers, with an exchange whose rows a test delivers. */
class TestView {
  readonly clock = new ManualClock(NOW)
  readonly exchange = new FakeExchange()
  readonly trackers = Array.from({ length: WORKER_COUNT }, (_, index) => new UpstreamTracker({ id: `w-${index}`, service: 's', address: 'a', domain: 'a-1', slots: SLOTS, state: UpstreamState.Ready, coldMs: 0, startedAt: STARTED_AT }, 0))
  readonly loads: WorkerLoadExchange

  constructor () {
    // A worker without any request is preferred to get its first one.
    for (const tracker of this.trackers) tracker.finishRequest(tracker.startRequest(0, 300))
    this.loads = new WorkerLoadExchange(this.exchange, this.clock, (id) => this.trackers.find(({ registration }) => registration.id === id))
  }

  choose (now: Instant, eligible: readonly UpstreamTracker[] = this.trackers): number {
    const context: ChoiceContext = { now, goalAt: now + 1_000, deadline: now + 6_000, bytes: 5_000, saturation: 0.5 }
    const candidates = eligible.map((tracker): Candidate => {
      const rank = this.trackers.indexOf(tracker)
      const cacheState = [CacheState.FirstRank, CacheState.SecondRank][rank] ?? CacheState.LaterRank
      return { tracker, proximity: Proximity.SameDomain, roundTripMs: 1, cacheState, cacheHitProbability: [0.8, 0.6][rank] ?? 0.1, firstHitProbability: 0.8, missServiceTimeMs: 750, hitServiceTimeMs: 225, meanServiceTimeMs: 225, rank }
    })
    return this.trackers.indexOf(chooseUpstream(candidates, context, COSTS)!.candidate.tracker)
  }
}

const anyNumber = fc.oneof(fc.integer({ min: -5, max: 60 }), fc.constantFrom(1e308, -1e308, Number.NaN, Number.POSITIVE_INFINITY, 2 ** 53), fc.double())
const anyContent: fc.Arbitrary<ExchangeContent> = fc.oneof(
  fc.tuple(anyNumber, anyNumber, anyNumber, anyNumber, fc.oneof(fc.constantFrom(0, STARTED_AT), anyNumber)),
  fc.array(anyNumber, { maxLength: 7 }),
  fc.constantFrom('x', 3, {}, [['1'], 2, 3, 4, 5])
)
const plausibleContent = fc.tuple(fc.integer({ min: 0, max: SLOTS }), fc.integer({ min: 0, max: 20 }), fc.constant(SLOTS), fc.constantFrom(-1, 50, 100, 200, 1_000_000), fc.constant(STARTED_AT))
/** How the VM got to know its workers itself: requests sent, and reports of its own responses. */
const ownHistory = fc.array(fc.record({ worker: fc.nat(WORKER_COUNT - 1), at: fc.integer({ min: NOW - 4_000, max: NOW }), report: fc.option(fc.record({ running: fc.nat(SLOTS), waiting: fc.nat(9), slots: fc.constant(SLOTS) }), { nil: undefined }) }), { maxLength: 30 })
  .map((events) => events.sort((left, right) => left.at - right.at))
type OwnHistory = typeof ownHistory extends fc.Arbitrary<infer T> ? T : never

function buildView (history: OwnHistory): TestView {
  const view = new TestView()
  for (const { worker, at, report } of history) {
    if (report === undefined) view.trackers[worker]!.startRequest(at, 300)
    else view.trackers[worker]!.recordReport(report, at)
  }
  return view
}

describe('what a VM knows of a worker\'s load', () => {
  it('is the newest report and the requests sent since', () => {
    const { exchange, trackers } = buildView([])
    const tracker = trackers[0]!
    tracker.recordReport({ running: 1, waiting: 0, slots: SLOTS }, NOW - 500)
    tracker.startRequest(NOW - 400, 300)
    tracker.startRequest(NOW - 100, 300)
    assert.equal(tracker.countInFlight(NOW), 3)
    exchange.deliver('w-0', [6, 4, SLOTS, -1, STARTED_AT], NOW - 200)
    assert.equal(tracker.countInFlight(NOW), 11)
    exchange.deliver('w-0', [0, 0, SLOTS, -1, STARTED_AT], NOW - 300)
    assert.equal(tracker.countInFlight(NOW), 11)
    tracker.recordReport({ running: 2, waiting: 0, slots: SLOTS }, NOW)
    assert.equal(tracker.countInFlight(NOW), 2)
  })

  it('is never less than the VM\'s own requests in flight, whatever arrives', () => {
    fc.assert(fc.property(ownHistory, fc.array(fc.record({ content: anyContent, ageMs: fc.integer({ min: -2_000, max: 5_000 }) })), fc.nat(3_000), (history, rows, laterMs) => {
      const view = buildView(history)
      for (const { content, ageMs } of rows) view.exchange.deliver('w-0', content, NOW - ageMs)
      const own = history.filter(({ worker, report }) => worker === 0 && report === undefined).length
      const [tracker] = view.trackers
      assert.ok(tracker!.countInFlight(NOW + laterMs) >= own)
      assert.ok(tracker!.countInFlight(NOW + laterMs) <= Math.max(16 * SLOTS, 40) + own)
      const pace = tracker!.load.getPace(NOW + laterMs)
      assert.ok(pace >= MIN_PACE && pace <= MAX_PACE)
    }), { seed: SEED, numRuns: 500 })
  })

  // Guards against a pace that is used after the phase that it belongs to.
  it('includes the pace only while the report is young', () => {
    const { exchange, trackers: [tracker] } = buildView([])
    exchange.deliver('w-0', [3, 0, SLOTS, 200, STARTED_AT], NOW - 100)
    assert.equal(tracker!.load.getPace(NOW), 2)
    assert.equal(tracker!.load.getPace(NOW - 100 + PACE_VALIDITY_MS), 2)
    assert.equal(tracker!.load.getPace(NOW - 99 + PACE_VALIDITY_MS), 1)
  })

  // Guards against reports of a process that has been replaced.
  it('excludes reports about another incarnation, and applies reports without a start time', () => {
    const { exchange, trackers: [tracker] } = buildView([])
    exchange.deliver('w-0', [6, 9, SLOTS, -1, STARTED_AT - 1], NOW - 10)
    assert.equal(tracker!.countInFlight(NOW), 0)
    exchange.deliver('w-0', [6, 9, SLOTS, -1, 0], NOW - 10)
    assert.equal(tracker!.countInFlight(NOW), 15)
  })
})

describe('a VM without an exchange', () => {
  // Guards against a deployment whose choices change although its VMs tell each other nothing.
  it('counts the last report and the requests sent since for a second, then the mean of its reports', () => {
    fc.assert(fc.property(ownHistory, fc.nat(9_000), (history, laterMs) => {
      const [tracker] = buildView(history).trackers
      const now = NOW + laterMs
      let [reportedAt, mean, counted, sent] = [Number.NEGATIVE_INFINITY, 0, 0, 0]
      for (const { worker, at, report } of history) {
        if (worker !== 0) continue
        if (report === undefined) {
          counted++
          sent++
          continue
        }
        mean += 0.3 * (report.running + report.waiting - mean)
        counted = report.running + report.waiting
        reportedAt = at
      }
      const fromReports = now - reportedAt <= 1_000 ? counted : mean * 2 ** (-(now - reportedAt - 1_000) / 4_000)
      assert.equal(tracker!.countInFlight(now), Math.max(sent, reportedAt === Number.NEGATIVE_INFINITY ? 0 : fromReports))
    }), { seed: SEED, numRuns: 500 })
  })
})

describe('a worker that restarts under its id', () => {
  it('starts without reports, and late rows about the process before don\'t count', () => {
    const view = new EntryView({ mayShare: () => true, node: 'v', domain: 'a-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('a-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
    const worker = { id: 'w', service: 's', address: 'w', domain: 'a-1', slots: SLOTS, state: UpstreamState.Ready, coldMs: 0, startedAt: STARTED_AT }
    const exchange = new FakeExchange()
    const loads = new WorkerLoadExchange(exchange, new ManualClock(NOW), (id) => view.findUpstream(id))
    view.putUpstream(worker, NOW - 500)
    exchange.deliver('w', [6, 9, SLOTS, -1, STARTED_AT], NOW - 200)
    assert.equal(view.findUpstream('w')!.countInFlight(NOW), 15)
    view.putUpstream({ ...worker, startedAt: STARTED_AT + 5_000 }, NOW - 100)
    exchange.deliver('w', [6, 9, SLOTS, -1, STARTED_AT], NOW - 50)
    assert.equal(view.findUpstream('w')!.countInFlight(NOW), 0)
    loads.publish(view.findUpstream('w')!, { running: 1, waiting: 0, slots: SLOTS }, NOW)
    assert.deepEqual(exchange.published.map(({ content }) => content), [[1, 0, SLOTS, -1, STARTED_AT + 5_000]])
  })
})

describe('the choice of a worker by reports of other VMs', () => {
  it('is that of a VM without an exchange if the rows are too old, of the future or malformed', () => {
    const badRow = fc.oneof(
      fc.record({ content: plausibleContent, at: fc.constantFrom(NOW - REPORT_VALIDITY_MS - 1, NOW - 30_000, NOW + 1, NOW + 1e9, Number.NaN, Number.NEGATIVE_INFINITY) }),
      fc.record({ content: fc.constantFrom<ExchangeContent>([], [1, 2], [-1, 0, 6, -1, STARTED_AT], [1, 1e9, 6, -1, STARTED_AT], [0, 0, 6, -1, 7], 'x', 0, {}), at: fc.constant(NOW) })
    )
    fc.assert(fc.property(ownHistory, fc.array(fc.tuple(fc.nat(WORKER_COUNT - 1), badRow), { maxLength: 20 }), (history, rows) => {
      const [without, withRows] = [buildView(history), buildView(history)]
      for (const [worker, { content, at }] of rows) withRows.exchange.deliver(`w-${worker}`, content, at)
      assert.equal(withRows.choose(NOW), without.choose(NOW))
    }), { seed: SEED, numRuns: 500 })
  })

  it('is that of a VM without an exchange once the last rows have expired', () => {
    fc.assert(fc.property(ownHistory, fc.array(fc.tuple(fc.nat(WORKER_COUNT - 1), plausibleContent, fc.nat(500)), { maxLength: 20 }), fc.integer({ min: 1, max: 5_000 }), (history, rows, laterMs) => {
      const [without, withRows] = [buildView(history), buildView(history)]
      for (const [worker, content, ageMs] of rows) withRows.exchange.deliver(`w-${worker}`, content, NOW - ageMs)
      const now = NOW + REPORT_VALIDITY_MS + laterMs
      assert.equal(withRows.choose(now), without.choose(now))
    }), { seed: SEED, numRuns: 500 })
  })

  it('is moved by a wrong row only to the worker that it is about, or from it to the best of the others', () => {
    fc.assert(fc.property(ownHistory, fc.nat(WORKER_COUNT - 1), anyContent, fc.nat(500), (history, worker, content, ageMs) => {
      const [without, withRow] = [buildView(history), buildView(history)]
      withRow.exchange.deliver(`w-${worker}`, content, NOW - ageMs)
      const withoutWorker = without.choose(NOW, without.trackers.filter((_, index) => index !== worker))
      assert.ok([without.choose(NOW), worker, withoutWorker].includes(withRow.choose(NOW)))
    }), { seed: SEED, numRuns: 500 })
  })

  // Guards against queues at the first worker while the second one has the object cached and free slots.
  it('is the second worker if the first has a queue, at a cost that the wait outweighs', () => {
    const view = buildView([])
    view.exchange.deliver('w-0', [6, 4, SLOTS, -1, STARTED_AT], NOW - 100)
    view.exchange.deliver('w-1', [2, 0, SLOTS, -1, STARTED_AT], NOW - 100)
    assert.equal(view.choose(NOW, view.trackers.slice(0, 1)), 0)
    assert.equal(view.choose(NOW), 1)
  })

  it('stays with the first worker while that has a free slot', () => {
    const view = buildView([])
    view.exchange.deliver('w-0', [5, 0, SLOTS, -1, STARTED_AT], NOW - 100)
    view.exchange.deliver('w-1', [0, 0, SLOTS, -1, STARTED_AT], NOW - 100)
    assert.equal(view.choose(NOW), 0)
  })
})

describe('the exchange of load reports', () => {
  it('carries what the response reported, so that another VM decides by the same figures', () => {
    const [sender, receiver] = [buildView([]), buildView([])]
    const report = { running: 6, waiting: 3, slots: SLOTS, pace: 1.37 }
    sender.loads.publish(sender.trackers[2]!, report, NOW - 50)
    const [row] = sender.exchange.published
    assert.deepEqual(row, { topic: ExchangeTopic.WorkerLoad, key: 'w-2', content: [6, 3, SLOTS, 137, STARTED_AT], at: NOW - 50 })
    receiver.exchange.deliver(row!.key, JSON.parse(JSON.stringify(row!.content)) as ExchangeContent, row!.at)
    assert.equal(receiver.trackers[2]!.countInFlight(NOW), 9)
    assert.equal(receiver.trackers[2]!.load.getPace(NOW), 1.37)
  })

  it('tells neither a pace nor a start time that aren\'t known', () => {
    assert.deepEqual(encodeLoad({ running: 1, waiting: 0, slots: 3 }, undefined), [1, 0, 3, -1, 0])
  })

  // Guards against traffic between VMs that grows with the requests to workers which have free slots.
  it('repeats free slots only before the report that other VMs have expires', () => {
    const { loads, trackers, exchange } = buildView([])
    const free = { running: 1, waiting: 0, slots: SLOTS }
    for (let at = 0; at < 1_200; at += 100) loads.publish(trackers[0]!, free, NOW + at)
    assert.deepEqual(exchange.published.map(({ at }) => at - NOW), [0, 600])
  })

  it('carries each report of a worker without free slots, and the first one after that', () => {
    const { loads, trackers, exchange } = buildView([])
    const busy = { running: SLOTS, waiting: 0, slots: SLOTS }
    const free = { running: 1, waiting: 0, slots: SLOTS }
    for (const [index, report] of [free, busy, busy, free, free].entries()) loads.publish(trackers[0]!, report, NOW + index)
    assert.deepEqual(exchange.published.map(({ at }) => at - NOW), [0, 1, 2, 3])
  })

  it('ignores rows about workers that aren\'t registered', () => {
    const { exchange } = buildView([])
    exchange.deliver('w-99', [1, 0, 3, -1, 0], NOW)
  })
})
