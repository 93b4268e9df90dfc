import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { type PollSource, TimeoutClock } from '../../../src/node/eventLoop/timeoutClock.js'

const TIMEOUT_MS = 1_500

describe('a timeout of a peer', () => {
  let clock: ManualClock
  let isLate: boolean
  let afterPoll: Array<() => void>
  let timeouts: TimeoutClock
  let runs: number

  beforeEach(() => {
    clock = new ManualClock()
    isLate = false
    afterPoll = []
    runs = 0
    const eventLoop: PollSource = { isLate: () => isLate, runAfterPoll: (callback) => { afterPoll.push(callback) } }
    timeouts = new TimeoutClock(clock, () => eventLoop)
  })

  function schedule () {
    return timeouts.schedule(timeouts.now() + TIMEOUT_MS, () => { runs++ })
  }

  it('is over at once while the event loop is in time', () => {
    schedule()
    clock.stepBy(TIMEOUT_MS)
    assert.equal(runs, 1)
  })

  // Guards against a peer that counts as silent although its answers wait in the socket.
  it('is over only if the next poll reads nothing of the peer', () => {
    const answered = schedule()
    schedule()
    isLate = true
    clock.stepBy(TIMEOUT_MS)
    assert.equal(runs, 0)
    answered.close()
    for (const callback of afterPoll) callback()
    assert.equal(runs, 1)
  })

  it('never runs after it was closed', () => {
    schedule().close()
    clock.stepBy(TIMEOUT_MS)
    assert.equal(runs, 0)
  })
})
