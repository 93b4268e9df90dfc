import assert from 'node:assert/strict'
import { it } from 'node:test'
import type { IClock } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { LatencyRecorder } from '../../../src/node/load/latencyRecorder.js'
import { ArrivalPacing, runOpenLoop } from '../../../src/node/load/loadRunner.js'

/** A clock that reaches an instant as soon as someone waits for it. */
class SteppedClock implements IClock {
  private present = 0

  now (): number {
    return this.present
  }

  getWallTime (): number {
    return this.present
  }

  schedule (at: number, callback: () => void): { close: () => void } {
    let isClosed = false
    setImmediate(() => {
      if (isClosed) return
      this.present = Math.max(this.present, at)
      callback()
    })
    return { close: () => { isClosed = true } }
  }

  /** Lets time pass while the whole process is busy. */
  add (spanMs: number): void {
    this.present += spanMs
  }
}

const STALL_MS = 1000
const OPTIONS = { ratePerSecond: 100, maxOperations: 400, startUntil: 60_000, maxOpen: 1000, pacing: ArrivalPacing.Timer }

it('counts the wait of those who arrive during a stall', async () => {
  // A server stalls for a second and is fast otherwise. A tool that sends the
  // next request only after an answer would see one slow request of 400 and
  // report a fast p99; at 100 arrivals a second about a hundred callers wait.
  const clock = new SteppedClock()
  const latency = new LatencyRecorder()
  let started = 0
  const totals = await runOpenLoop({ ...OPTIONS, clock, random: new SeededRandom(5) }, async (intendedStart) => {
    started += 1
    if (started === 100) clock.add(STALL_MS)
    latency.record(clock.now() - intendedStart)
  })
  assert.deepEqual(totals, { started: 400, skipped: 0 })
  assert.ok(latency.getPercentileMs(99) > STALL_MS * 0.9)
  assert.ok(latency.getPercentileMs(85) > STALL_MS * 0.3)
  assert.ok(latency.getPercentileMs(50) < 1)
})

it('skips and counts arrivals beyond the bound of open operations', async () => {
  const clock = new SteppedClock()
  const waiting: Array<() => void> = []
  const running = runOpenLoop({ ...OPTIONS, clock, random: new SeededRandom(5), maxOperations: 20, maxOpen: 5 }, () =>
    new Promise((resolve) => { waiting.push(resolve) }))
  while (clock.now() < 1000 && waiting.length < 5) await new Promise((resolve) => { setImmediate(resolve) })
  for (let turn = 0; turn < 200; turn += 1) await new Promise((resolve) => { setImmediate(resolve) })
  for (const release of waiting) release()
  assert.deepEqual(await running, { started: 5, skipped: 15 })
})
