import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { UpstreamState } from '../../../../src/common/entry/records.js'
import { RouteKind } from '../../../../src/common/entry/steeringDocument.js'
import { ServiceTimeEstimate } from '../../../../src/common/entry/workers/serviceTimeEstimate.js'
import { Sharers } from '../../../../src/common/entry/sharing/sharers.js'
import { UpstreamTracker } from '../../../../src/common/entry/workers/upstreamTracker.js'
import { WorkerPool } from '../../../../src/common/entry/workers/workerPool.js'

const REGIONS = new Map([['a-1', 'a'], ['b-1', 'b'], ['c-1', 'c']])
const NODES = [...REGIONS.keys()].map((domain) => ({ name: `vm-${domain}`, domain }))
const RATE_TOLERANCE = { factor: 1.1, slack: 5 }
const PER_SECOND = 20
const WINDOW_MS = 4_000
const WAVE_MS = 12_000
const SECOND_MS = 1_000
const NO_EVACUATION: ReadonlySet<string> = new Set()

function createPool (node: string, domain: string): { readonly pool: WorkerPool, readonly tracker: UpstreamTracker } {
  const nodes = new Map(NODES.map((other) => [other.name, { ...other, address: other.name, peerAddress: other.name }]))
  const pool = new WorkerPool({ domain, regionByDomain: REGIONS, roundTrips: new DomainRoundTrips(domain, REGIONS), coldTolerance: { factor: 1.5, slack: 5 }, rateTolerance: RATE_TOLERANCE, maxShift: 0.15, sharers: new Sharers({ name: node, domain }, nodes), mayShare: () => true })
  const tracker = new UpstreamTracker({ id: 'w', service: 'desk', address: 'w', domain: 'a-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 }, 0)
  tracker.rate.recordResponse(PER_SECOND, 0)
  pool.put(tracker)
  return { pool, tracker }
}

function countAllowed (pool: WorkerPool, tracker: UpstreamTracker, now: number): number {
  const serviceTimes = new ServiceTimeEstimate({ name: 'route', host: 'host', prefix: '/', kind: RouteKind.Idempotent, parts: [], timeoutMs: 1_000, goalMs: 500, attempts: 1, priority: 1, isSticky: true, homeRegions: [], isOpen: false })
  let count = 0
  while (count < 1_000 && pool.listCandidates({ homeRegions: [], key: `key-${count}`, triedWorkers: new Set() }, serviceTimes, NO_EVACUATION, now).length > 0) {
    tracker.startRequest(now, 1)
    count++
  }
  return count
}

describe('the rate limit of a worker while placement follows demand', () => {
  // Guards against VMs that divide a limit by different demand: each counts its own region with its highest part of late.
  it('holds for the sum of all VMs after demand has moved from region to region', () => {
    const vms = NODES.map(({ name, domain }) => createPool(name, domain))
    let now = 0
    for (const busy of ['a', 'b', 'c']) {
      for (const end = now + WAVE_MS; now < end; now += SECOND_MS) {
        const perSecondByRegion = new Map(['a', 'b', 'c'].map((region) => [region, region === busy ? 60 : 20]))
        for (const { pool } of vms) pool.updateDemand(perSecondByRegion, NO_EVACUATION, now)
      }
    }
    const allowed = vms.reduce((sum, { pool, tracker }) => sum + countAllowed(pool, tracker, now), 0)
    const limit = PER_SECOND * WINDOW_MS / SECOND_MS * RATE_TOLERANCE.factor + RATE_TOLERANCE.slack
    assert.ok(allowed <= limit, `${allowed} requests, limit ${limit}`)
    assert.ok(allowed >= PER_SECOND * WINDOW_MS / SECOND_MS, `only ${allowed} requests`)
  })
})
