import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ElapsedClock } from '../../src/common/elapsedClock.js'
import { ManualClock } from '../../src/common/manualClock.js'

const SEED = 20261203

describe('the clock that includes suspensions', () => {
  it('includes a suspension, which the monotonic clock leaves out', () => {
    // Guards against stale records that look fresh after a suspension: by the monotonic clock of a
    // machine that was suspended for ten seconds its records were still up to date, and it
    // accepted requests with API keys that had been revoked meanwhile.
    const clock = new ManualClock(1_000, 5_000_000)
    const elapsed = new ElapsedClock(clock)
    const before = elapsed.now()
    clock.stepBy(200)
    clock.setWallOffset(5_010_000)
    assert.equal(elapsed.now() - before, 10_200)
  })

  it('measures no duration too short by more than its smallest jump and never goes back, however the wall clock is set', () => {
    const step = fc.record({ runMs: fc.nat(5_000), suspendMs: fc.nat(5_000), setMs: fc.integer({ min: -20_000, max: 20_000 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const clock = new ManualClock(0, 1_000_000)
      const elapsed = new ElapsedClock(clock)
      let wallOffsetMs = 1_000_000
      let elapsedMs = 0
      let lastReading = elapsed.now()
      for (const { runMs, suspendMs, setMs } of steps) {
        clock.stepBy(runMs)
        wallOffsetMs += suspendMs
        clock.setWallOffset(wallOffsetMs)
        elapsedMs += runMs + suspendMs
        assert.ok(elapsed.now() >= lastReading)
        assert.ok(elapsed.now() >= elapsedMs - 100, `${elapsed.now()} after ${elapsedMs}`)
        // Set the wall clock only after the suspension has been measured, so that the two jumps do not cancel out.
        wallOffsetMs += setMs
        clock.setWallOffset(wallOffsetMs)
        lastReading = elapsed.now()
      }
    }), { seed: SEED })
  })
})
