import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { type HeldRequest, PlaceWaiter, PlaceWaitEnd } from '../../../src/node/front/placeWaiter.js'

describe('requests that wait for a place', () => {
  let clock: ManualClock
  let waiter: PlaceWaiter
  let resumed: string[]
  let ends: PlaceWaitEnd[]

  beforeEach(() => {
    clock = new ManualClock()
    resumed = []
    ends = []
    waiter = new PlaceWaiter(clock, (end) => { ends.push(end) })
  })

  function createRequest (name: string, priority: number, hasReturned = false): HeldRequest {
    return { service: 'archive', rank: { priority, account: undefined, hasReturned }, deadline: 1_000, bodyBytes: 100, resume: () => { resumed.push(name) } }
  }

  it('are resumed when the place is expected, in their order', () => {
    waiter.hold(createRequest('late', 2), 50)
    waiter.hold(createRequest('first', 1), 50)
    waiter.hold(createRequest('returned', 1, true), 50)
    assert.deepEqual(waiter.readCounts(), { count: 3, bytes: 300 })
    clock.stepBy(49)
    assert.deepEqual(resumed, [])
    clock.stepBy(1)
    assert.deepEqual(resumed, ['returned', 'first', 'late'])
    assert.deepEqual(waiter.readCounts(), { count: 0, bytes: 0 })
  })

  // Guards against a request that is sent though its caller has left.
  it('are forgotten when they end', async () => {
    const wait = waiter.hold(createRequest('left', 1), 50)
    waiter.hold(createRequest('stays', 1), 50)
    await wait?.close()
    assert.deepEqual(waiter.readCounts(), { count: 1, bytes: 100 })
    clock.stepBy(50)
    assert.deepEqual(resumed, ['stays'])
    await wait?.close()
    assert.deepEqual(ends, [PlaceWaitEnd.Left, PlaceWaitEnd.Released])
    assert.deepEqual(waiter.readCounts(), { count: 0, bytes: 0 })
  })

  it('leave no timer behind when the last one ends', async () => {
    const waits = [waiter.hold(createRequest('left', 1), 50), waiter.hold(createRequest('left too', 1), 50)]
    await waits[0]?.close()
    assert.equal(clock.countPendingTimers(), 1)
    await waits[1]?.close()
    await waits[1]?.close()
    assert.equal(clock.countPendingTimers(), 0)
    waiter.hold(createRequest('next', 1), 50)
    clock.stepBy(50)
    assert.deepEqual(resumed, ['next'])
  })

  // Guards against a request that is decided again before the place is there, and waits once more.
  it('wait for the place though a timer fires early', () => {
    const earlyMs = [0.5]
    const earlyClock = { now: () => clock.now(), getWallTime: () => clock.getWallTime(), schedule: (at: number, callback: () => void) => clock.schedule(at - (earlyMs.pop() ?? 0), callback) }
    waiter = new PlaceWaiter(earlyClock, (end) => { ends.push(end) })
    waiter.hold(createRequest('request', 1), 50)
    clock.stepBy(49.5)
    assert.deepEqual(resumed, [])
    assert.equal(waiter.readCounts().count, 1)
    clock.stepBy(0.5)
    assert.deepEqual(resumed, ['request'])
    assert.deepEqual(ends, [PlaceWaitEnd.Released])
  })

  // Guards against memory that grows with the requests that arrive during a pause of all workers.
  it('are bounded in number', () => {
    let held = 0
    while (waiter.hold(createRequest(String(held), 1), 50) !== undefined) held++
    assert.equal(held, 256)
    assert.equal(waiter.readCounts().count, 256)
    assert.deepEqual(ends, [PlaceWaitEnd.Full])
    assert.equal(clock.countPendingTimers(), 1)
    waiter.close()
    assert.equal(clock.countPendingTimers(), 0)
  })
})
