import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { RESPONSE_SLACK_MS } from '../../../src/node/front/requestDeadline.js'
import { GracefulShutdown } from '../../../src/node/stop/gracefulShutdown.js'

const SEED = 20261204

interface Stop {
  readonly shutdown: GracefulShutdown
  readonly clock: ManualClock
  /** When the process ended; undefined if it has not. */
  endedAt?: number
  inFlight: number
  isLate: boolean
}

function startStop (graceMs: number): Stop {
  const clock = new ManualClock(0)
  const stop: Stop = {
    clock,
    inFlight: 0,
    isLate: false,
    shutdown: new GracefulShutdown(clock, graceMs, {
      startDraining: () => {},
      closeIdle: () => {},
      closeListener: (onClosed) => { onClosed() },
      isLate: () => stop.isLate,
      countInFlight: () => stop.inFlight,
      end: () => { stop.endedAt = clock.now() }
    })
  }
  stop.shutdown.start()
  return stop
}

describe('GracefulShutdown', () => {
  it('accepts only requests that can be answered before the process ends, and ends within the grace period', () => {
    // Guards against requests that are accepted during a stop and cut off by its end.
    const cases = fc.record({ graceMs: fc.integer({ min: 1_000, max: 30_000 }), arrivesAt: fc.integer({ min: 0, max: 30_000 }), limitMs: fc.integer({ min: 1, max: 30_000 }) })
    fc.assert(fc.property(cases, ({ graceMs, arrivesAt, limitMs }) => {
      const stop = startStop(graceMs)
      stop.inFlight = 1
      const answeredAt = arrivesAt + limitMs + RESPONSE_SLACK_MS
      const isAccepted = stop.shutdown.canAnswer(arrivesAt + limitMs)
      stop.clock.stepTo(answeredAt)
      if (isAccepted) assert.equal(stop.endedAt, undefined)
      stop.clock.stepTo(graceMs + answeredAt)
      assert.ok(stop.endedAt !== undefined && stop.endedAt < graceMs)
    }), { seed: SEED })
  })

  it('does not end early while what has arrived may not be read', () => {
    // Guards against requests that are cut as the process could not run when they arrived.
    const stop = startStop(6_000)
    stop.isLate = true
    stop.clock.stepTo(5_000)
    assert.equal(stop.endedAt, undefined)
    stop.isLate = false
    stop.clock.stepTo(5_300)
    assert.ok(stop.endedAt !== undefined)
  })

  it('accepts a request whose limit is the longest that fits', () => {
    const { shutdown } = startStop(6_000)
    assert.equal(shutdown.canAnswer(5_600), true)
    assert.equal(shutdown.canAnswer(5_601), false)
  })
})
