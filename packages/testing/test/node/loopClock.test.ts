/** Time that stands still while the process gets no processor. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LoopClock } from '../../src/node/loopClock.js'

const BLOCKED_MS = 400
const STEP_MS = 10

function runWithoutTurn (spanMs: number): void {
  const until = performance.now() + spanMs
  while (performance.now() < until) { /* keeps the thread */ }
}

describe('LoopClock', () => {
  // A machine under load runs the test's only thread seldom. Callers' limits passed
  // meanwhile, though no daemon had its turn; the checker took their giving up for
  // requests that a planned stop had cut off.
  it('adds one step at most for a time in which the loop did not turn', () => {
    const clock = new LoopClock()
    const before = clock.now()
    runWithoutTurn(BLOCKED_MS)
    assert.ok(clock.now() - before <= STEP_MS)
  })

  it('lets work that was ready run before a limit that the blocked time would have passed', async () => {
    const clock = new LoopClock()
    const order: string[] = []
    const limit = new Promise<void>((resolve) => clock.schedule(clock.now() + BLOCKED_MS / 2, () => { order.push('limit'); resolve() }))
    setImmediate(() => {
      runWithoutTurn(BLOCKED_MS)
      setImmediate(() => { order.push('work') })
    })
    await limit
    assert.deepEqual(order, ['work', 'limit'])
  })

  it('fires in the order of the instants and not after closing', async () => {
    const clock = new LoopClock()
    const fired: number[] = []
    const start = clock.now()
    const closed = clock.schedule(start + 20, () => { fired.push(20) })
    clock.schedule(start + 10, () => { fired.push(10); closed.close() })
    clock.schedule(start + 1, () => { fired.push(1) })
    await new Promise<void>((resolve) => clock.schedule(start + 40, resolve))
    assert.deepEqual(fired, [1, 10])
    assert.ok(clock.now() >= start + 40)
  })
})
