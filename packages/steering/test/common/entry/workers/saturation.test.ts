import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { Sharers } from '../../../../src/common/entry/sharing/sharers.js'
import { WorkerPool } from '../../../../src/common/entry/workers/workerPool.js'
import { UpstreamState } from '../../../../src/common/entry/records.js'
import { UpstreamTracker } from '../../../../src/common/entry/workers/upstreamTracker.js'

const REGIONS = new Map([['a-1', 'a']])
const SLOTS = 6
const WORKERS = 4
const NOW = 10_000
const FULL = 0.9

describe('the saturation of a service', () => {
  let trackers: UpstreamTracker[]
  let pool: WorkerPool

  beforeEach(() => {
    const roundTrips = new DomainRoundTrips('a-1', REGIONS)
    pool = new WorkerPool({ domain: 'a-1', regionByDomain: REGIONS, roundTrips, coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, sharers: new Sharers({ name: 'vm', domain: 'a-1' }, new Map()), mayShare: () => true })
    trackers = Array.from({ length: WORKERS }, (_, index) => new UpstreamTracker({ id: `w-${index}`, service: 's', address: 'a', domain: 'a-1', slots: SLOTS, state: UpstreamState.Ready, coldMs: 0 }, 0))
    for (const tracker of trackers) pool.put(tracker)
  })

  function reportShared (index: number, running: number, waiting: number): void {
    trackers[index]!.load.recordShared({ running, waiting, slots: SLOTS }, NOW)
  }

  // Guards against refusals for lack of room while half of the workers have free slots.
  it('is not full when some workers have long queues and others have free slots', () => {
    reportShared(0, SLOTS, 12)
    reportShared(1, SLOTS, 12)
    reportShared(2, 3, 0)
    reportShared(3, 3, 0)
    assert.ok(pool.getSaturation(NOW) < FULL)
  })

  it('is full when all slots are in use', () => {
    for (const index of trackers.keys()) reportShared(index, SLOTS, 1)
    assert.equal(pool.getSaturation(NOW), 1)
  })

  it('counts queues that no other VM has told of as before', () => {
    for (const tracker of trackers.slice(0, 2)) tracker.recordReport({ running: SLOTS, waiting: 12, slots: SLOTS }, NOW)
    assert.equal(pool.getSaturation(NOW), 1)
  })
})
