import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { ProofWaiter } from '../../../src/node/accounts/proofWaiter.js'

describe('a request that needs a newer proof', () => {
  let clock: ManualClock
  let isProofExpected: boolean
  let asked: number
  let ends: string[]
  let waiter: ProofWaiter
  let decisions: number

  beforeEach(() => {
    clock = new ManualClock()
    isProofExpected = true
    asked = 0
    decisions = 0
    ends = []
    waiter = new ProofWaiter(clock, { isProofExpected: () => isProofExpected, askForProof: () => { asked++ } }, (end) => { ends.push(end) })
  })

  function wait (deadline = waiter.createDeadline()): boolean {
    return waiter.wait(deadline, () => { decisions++ })
  }

  it('is decided again when the proof has come, and once only', () => {
    assert.equal(wait(), true)
    assert.equal(decisions, 0)
    waiter.handleProof()
    waiter.handleProof()
    clock.stepBy(10_000)
    assert.equal(decisions, 1)
    assert.deepEqual(ends, ['proven'])
  })

  // Guards against holding back what is known not to be served.
  it('does not wait where no proof is expected, nor for longer than its deadline', () => {
    isProofExpected = false
    assert.equal(wait(), false)
    isProofExpected = true
    const deadline = waiter.createDeadline()
    assert.equal(wait(deadline), true)
    clock.stepBy(deadline - clock.now())
    assert.equal(decisions, 1)
    assert.deepEqual(ends, ['expired'])
    assert.equal(wait(deadline), false)
  })

  // Guards against a call to the store for each request that waits.
  it('asks for a proof once for all that wait', () => {
    for (let request = 0; request < 100; request++) wait()
    assert.equal(asked, 1)
    clock.stepBy(1_000)
    wait()
    assert.equal(asked, 2)
  })

  it('waits on if the proof was not new enough', () => {
    const deadline = waiter.createDeadline()
    waiter.wait(deadline, () => { if (!wait(deadline)) decisions += 100 })
    waiter.handleProof()
    assert.equal(decisions, 0)
    waiter.handleProof()
    assert.equal(decisions, 1)
  })
})
