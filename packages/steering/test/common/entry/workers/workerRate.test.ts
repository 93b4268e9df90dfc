import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { KeptKeysControl } from '../../../../src/common/entry/workers/keptKeysControl.js'
import { WorkerRate } from '../../../../src/common/entry/workers/workerRate.js'

const WINDOW_MS = 4_000

describe('the rate limit that a worker announces', () => {
  // Guards against requests beyond a limit that single responses do not repeat.
  it('stays in force when single responses lack it', () => {
    const rate = new WorkerRate()
    assert.equal(rate.recordResponse(10, 0), true)
    for (let at = 100; at < 10_000; at += 500) {
      rate.recordResponse(undefined, at)
      rate.recordResponse(10, at + 100)
    }
    assert.equal(rate.perSecond, 10)
  })

  it('ends when several responses in a row lack it', () => {
    const rate = new WorkerRate()
    rate.recordResponse(10, 0)
    assert.equal(rate.recordResponse(undefined, 900), false)
    assert.equal(rate.recordResponse(undefined, 1_100), true)
    assert.equal(rate.perSecond, undefined)
  })

  // Guards against a full window on top of what was sent before the limit was known.
  it('counts what was sent before it was known', () => {
    const rate = new WorkerRate()
    for (let at = 0; at < 1_000; at += 100) rate.recordSend(at)
    rate.recordResponse(2, 1_000)
    assert.equal(rate.sends.count(WINDOW_MS, 1_000), 10)
  })

  it('is an own observation only if a response has changed it', () => {
    const rate = new WorkerRate()
    rate.applyShared(10, 0)
    rate.recordResponse(10, 100)
    assert.equal(rate.isOwnObservation, false)
    rate.recordResponse(5, 200)
    assert.equal(rate.isOwnObservation, true)
    rate.applyShared(7, 300)
    assert.equal(rate.isOwnObservation, false)
  })
})

describe('the fraction of its keys that a worker with a rate limit keeps', () => {
  // Guards against limits of which much is unused because the kept keys are requested seldom.
  it('grows until the aimed requests are sent, and shrinks when more are', () => {
    const control = new KeptKeysControl()
    let sentCount = 0
    let ratio = 0
    const runUntil = (from: number, until: number, sentPerStep: number): void => {
      for (let now = from; now < until; now += 100) {
        sentCount += sentPerStep
        ratio = control.update({ sentCount, demandRequests: 100, aimedRequests: 20, windowMs: WINDOW_MS }, now)
      }
    }
    runUntil(0, 10_000, 0.25)
    assert.ok(ratio > 0.3, `${ratio} kept, a fifth expected if all keys were alike`)
    runUntil(10_000, 40_000, 1)
    assert.ok(ratio < 0.2, `${ratio} kept although twice as many are sent`)
  })
})
