import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { ManualClock } from '../../src/common/manualClock.js'

test('timers fire once, in the order of their instants, and at the same instant in the order of scheduling', () => {
  const instantsArbitrary = fc.array(fc.integer({ min: -5, max: 20 }), { maxLength: 30 })
  fc.assert(fc.property(instantsArbitrary, fc.array(fc.integer({ min: 0, max: 7 }), { maxLength: 8 }), (instants, steps) => {
    const clock = new ManualClock()
    const fired: Array<{ at: number, index: number, now: number }> = []
    instants.forEach((at, index) => clock.schedule(at, () => fired.push({ at, index, now: clock.now() })))
    for (const step of steps) clock.stepBy(step)
    clock.stepTo(30)
    const expected = instants.map((at, index) => ({ at, index })).sort((one, other) => one.at - other.at || one.index - other.index)
    assert.deepEqual(fired.map(({ at, index }) => ({ at, index })), expected)
    assert.ok(fired.every(({ at, now }) => now === Math.max(0, at)))
    assert.equal(clock.countPendingTimers(), 0)
  }), { seed: 11, numRuns: 200 })
})

test('a timer scheduled by a timer fires in the same advance if it is due, and a closed timer never fires', async () => {
  const clock = new ManualClock()
  const fired: string[] = []
  const closed = clock.schedule(4, () => fired.push('closed'))
  clock.schedule(3, () => {
    closed.close()
    Promise.resolve().then(() => clock.schedule(5, () => fired.push('inner')))
  })
  await clock.runFor(6)
  assert.deepEqual(fired, ['inner'])
  assert.equal(clock.now(), 6)
})
