import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { CacheState } from '../../../../src/common/entry/workers/cacheHitEstimator.js'
import { estimateChoice } from '../../../../src/common/entry/workers/chooseUpstream.js'
import { EntryView } from '../../../../src/common/entry/entryView.js'
import { observeResponse } from '../../../../src/common/entry/workers/observeResponse.js'
import type { LoadReport } from '../../../../src/common/entry/workers/workerLoad.js'
import type { ServiceTimeEstimate } from '../../../../src/common/entry/workers/serviceTimeEstimate.js'
import type { WorkerPool } from '../../../../src/common/entry/workers/workerPool.js'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { UpstreamState } from '../../../../src/common/entry/records.js'
import { RouteKind, type RoutePolicy } from '../../../../src/common/entry/steeringDocument.js'

const REGIONS = new Map([['a-1', 'a']])
const ROUTE: RoutePolicy = { name: 'r', host: 'h', prefix: '/', kind: RouteKind.Idempotent, parts: [], timeoutMs: 6_000, goalMs: 1_000, attempts: 2, priority: 1, isSticky: true, homeRegions: [], isOpen: false }
const SLOTS = 6
const HIT_RATIO = 0.8
const HIT_MS = 225
const MISS_MS = 746
const MEAN_SERVICE_MS = HIT_RATIO * HIT_MS + (1 - HIT_RATIO) * MISS_MS
const SERVICE_TIME_SPREAD_RATIO = 0.25
const ROUND_TRIP_MS = 1
/** The VM under test sends one in this many of the worker's requests. */
const VM_COUNT = 20
/** The pace changes at multiples of this time. */
const PACE_PHASE_MS = 100
const DURATION_MS = 16_000_000
const WARM_UP_MS = 400_000

interface QueueLoad {
  readonly utilization: number
  readonly seed: number
  /** Whether learning sees the reports of the worker. */
  readonly hasReports?: boolean
  /** How late reports of other VMs arrive; undefined if they don't. */
  readonly shareDelayMs?: number
  readonly paceAt?: (now: Instant) => number
}

interface PendingRequest {
  readonly startAt: Instant
  readonly endAt: Instant
  /** Called with the worker's load at the end; the request itself counts as running. */
  end(report: LoadReport): void
}

/** One worker with a first-in first-out queue; one VM sends a few of its requests and learns from their responses. */
class QueueSimulation {
  private readonly random: SeededRandom
  private readonly view = new EntryView({ mayShare: () => true, node: 'v', domain: 'a-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('a-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
  private readonly pool: WorkerPool
  private readonly times: ServiceTimeEstimate
  private readonly freeAt = new Array<Instant>(SLOTS).fill(0)
  private readonly pending: PendingRequest[] = []
  /** Reports to other VMs that are under way to this one. */
  private readonly shared: Array<{ readonly at: Instant, readonly report: LoadReport }> = []
  private observedCount = 0
  private hitRatioSum = 0

  constructor (private readonly load: QueueLoad) {
    this.random = new SeededRandom(load.seed)
    this.view.putUpstream({ id: 'w', service: 's', address: 'w', domain: 'a-1', slots: SLOTS, state: UpstreamState.Ready, coldMs: 0 }, 0)
    this.pool = this.view.getPool('s')
    this.times = this.view.getServiceTimes(ROUTE, 's')
  }

  /** @returns the mean of the learned hit ratio */
  measureHitRatio (): number {
    for (let now = 0; now < DURATION_MS;) {
      now += -Math.log(1 - this.random.next()) * MEAN_SERVICE_MS / (SLOTS * this.load.utilization)
      this.finishUntil(now)
      this.applyShared(now)
      const slot = this.freeAt.indexOf(Math.min(...this.freeAt))
      const startAt = Math.max(now, this.freeAt[slot]!)
      const endAt = this.computeEnd(startAt, this.takeServiceMs())
      this.freeAt[slot] = endAt
      this.pending.push({ startAt, endAt, end: this.random.next() * VM_COUNT < 1 ? this.startOwn(now, endAt) : (report) => { this.shared.push({ at: endAt, report }) } })
    }
    return this.hitRatioSum / this.observedCount
  }

  private takeServiceMs (): number {
    const meanMs = this.random.next() < HIT_RATIO ? HIT_MS : MISS_MS
    return meanMs * (1 + SERVICE_TIME_SPREAD_RATIO * (2 * this.random.next() - 1))
  }

  /** Work progresses by the pace of each phase in turn. */
  private computeEnd (startAt: Instant, serviceMs: number): Instant {
    const { paceAt } = this.load
    if (paceAt === undefined) return startAt + serviceMs
    let now = startAt
    let leftMs = serviceMs
    for (;;) {
      const phaseEndsAt = (Math.floor(now / PACE_PHASE_MS) + 1) * PACE_PHASE_MS
      const neededMs = leftMs * paceAt(now)
      if (now + neededMs <= phaseEndsAt) return now + neededMs
      leftMs -= (phaseEndsAt - now) / paceAt(now)
      now = phaseEndsAt
    }
  }

  private finishUntil (now: Instant): void {
    const { pending } = this
    pending.sort((left, right) => left.endAt - right.endAt)
    while (pending[0] !== undefined && pending[0].endAt <= now) {
      const { endAt, end } = pending[0]
      const running = pending.filter(({ startAt }) => startAt <= endAt).length
      end({ running, waiting: pending.length - running, slots: SLOTS, pace: this.load.paceAt?.(endAt) })
      pending.shift()
    }
  }

  private applyShared (now: Instant): void {
    const { shareDelayMs } = this.load
    if (shareDelayMs === undefined) return
    for (let next = this.shared[0]; next !== undefined && next.at + shareDelayMs <= now; next = this.shared[0]) {
      const { at, report } = this.shared.shift()!
      this.pool.find('w')!.load.recordShared(report, at)
    }
  }

  private startOwn (now: Instant, endAt: Instant): (report: LoadReport) => void {
    const [candidate] = this.pool.listCandidates({ homeRegions: [], key: `k-${now}`, triedWorkers: new Set() }, this.times, new Set(), now)
    const choice = estimateChoice({ ...candidate!, roundTripMs: ROUND_TRIP_MS }, { now, goalAt: now + ROUTE.goalMs, deadline: now + ROUTE.timeoutMs, bytes: 1, saturation: 0 }, { otherDomain: 0, otherRegion: 0 })
    const { tracker } = choice.candidate
    const request = tracker.startRequest(now, choice.expectedMs)
    return (report) => {
      tracker.finishRequest(request)
      tracker.recordReport(report, endAt)
      const { hasReports = true } = this.load
      observeResponse({ choice, key: 'k', tookMs: endAt - now + ROUND_TRIP_MS, bytes: 100, report: hasReports ? report : undefined, now: endAt }, this.pool, this.times)
      if (endAt < WARM_UP_MS) return
      this.observedCount++
      this.hitRatioSum += this.pool.cacheHits.getProbability(CacheState.FirstRank)
    }
  }
}

const SEEDS = [1, 2, 3]
const MAX_HIT_RATIO_ERROR = 0.05
const EXCHANGE_DELAY_MS = 150

function assertHitRatio (utilization: number, shareDelayMs: number | undefined, paceAt?: (now: Instant) => number): void {
  for (const seed of SEEDS) {
    const hitRatio = new QueueSimulation({ utilization, seed, shareDelayMs, paceAt }).measureHitRatio()
    assert.ok(Math.abs(hitRatio - HIT_RATIO) <= MAX_HIT_RATIO_ERROR, `seed ${seed}: ${hitRatio}`)
  }
}

describe('the hit ratio learned from one in twenty responses of a worker', () => {
  // Guards against waits in unforeseen queues that pass for cache misses.
  for (const utilization of [0.5, 0.9]) {
    it(`is right at ${utilization} utilization, with own reports only`, () => { assertHitRatio(utilization, undefined) })
    it(`is right at ${utilization} utilization, with reports of other VMs`, () => { assertHitRatio(utilization, EXCHANGE_DELAY_MS) })
  }

  // Guards against slow phases of a machine that pass for cache misses.
  it('is right if the pace changes every 100 ms, or slow phases last 600 ms', () => {
    assertHitRatio(0.5, EXCHANGE_DELAY_MS, (now) => Math.floor(now / PACE_PHASE_MS) % 3 === 0 ? 1.6 : 1)
    assertHitRatio(0.5, EXCHANGE_DELAY_MS, (now) => Math.floor(now / PACE_PHASE_MS) % 24 < 6 ? 2 : 1)
  })

  it('teaches as before if the worker reports no load', () => {
    const hitRatio = new QueueSimulation({ utilization: 0.5, seed: 1, hasReports: false }).measureHitRatio()
    assert.ok(Math.abs(hitRatio - HIT_RATIO) <= MAX_HIT_RATIO_ERROR, `${hitRatio}`)
  })
})
