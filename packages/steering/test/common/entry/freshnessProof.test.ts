import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { PeerClock } from '../../../src/common/entry/peerClock.js'
import { FreshnessProof } from '../../../src/common/entry/freshnessProof.js'

const SEED = 20261203

describe('the freshness proof of the records', () => {
  it('counts from when the request was sent, once all changes up to the answered revision are known', () => {
    const proof = new FreshnessProof()
    assert.equal(proof.getAgeMs(1_000), Infinity)
    proof.recordReading({ requestedAt: 1_000, position: { era: 1, revision: 7 } }, { era: 1, revision: 6 })
    assert.equal(proof.getAgeMs(1_500), Infinity)
    proof.handlePosition({ era: 1, revision: 7 })
    assert.equal(proof.getAgeMs(1_500), 500)
  })

  it('never covers unknown changes, in whatever order answers and changes arrive', () => {
    // Each answer holds the store's revision at some instant after its request was sent. The proof must not be
    // later than the last request of which all changes are known.
    const step = fc.record({ isAnswer: fc.boolean(), bySteps: fc.nat(4) })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const proof = new FreshnessProof()
      const readings: Array<{ askedAt: number, revision: number }> = []
      let revision = 0
      let known = 0
      for (const [now, { isAnswer, bySteps }] of steps.entries()) {
        revision += bySteps
        if (isAnswer) {
          readings.push({ askedAt: now, revision })
          proof.recordReading({ requestedAt: now, position: { era: 1, revision } }, { era: 1, revision: known })
        } else {
          known = Math.min(revision, known + bySteps)
          proof.handlePosition({ era: 1, revision: known })
        }
        const provenTimes = readings.filter((reading) => reading.revision <= known).map(({ askedAt }) => askedAt)
        assert.ok(proof.provenAt <= Math.max(Number.NEGATIVE_INFINITY, ...provenTimes))
      }
    }), { seed: SEED })
  })
})

describe('the freshness proof after the store has come back from an older copy', () => {
  // Guards against a false proof by a revision that was given out before the rollback.
  it('takes nothing from readings of another era than that of the records', () => {
    const proof = new FreshnessProof()
    proof.recordReading({ requestedAt: 1_000, position: { era: 2, revision: 66 } }, { era: 1, revision: 70 })
    assert.equal(proof.getAgeMs(1_500), Infinity)
    proof.handlePosition({ era: 2, revision: 66 })
    assert.equal(proof.getAgeMs(1_500), 500)
    proof.recordReading({ requestedAt: 1_400, position: { era: 1, revision: 66 } }, { era: 2, revision: 67 })
    assert.equal(proof.getAgeMs(1_500), 500)
  })

  // Guards against revoked keys that run at VMs which had not read the revocation when the store lost it.
  it('takes nothing from readings before the writers have written again what was lost', () => {
    const proof = new FreshnessProof()
    proof.recordReading({ requestedAt: 1_000, position: { era: 1, revision: 70 } }, { era: 1, revision: 70 })
    proof.recordReading({ requestedAt: 1_900, position: { era: 2, revision: 66 } }, { era: 1, revision: 70 })
    proof.startEra(4_000)
    proof.handlePosition({ era: 2, revision: 66 })
    for (const requestedAt of [2_000, 3_999]) proof.recordReading({ requestedAt, position: { era: 2, revision: 66 } }, { era: 2, revision: 66 })
    assert.equal(proof.getAgeMs(5_000), 4_000)
    proof.recordReading({ requestedAt: 4_000, position: { era: 2, revision: 66 } }, { era: 2, revision: 66 })
    assert.equal(proof.getAgeMs(5_000), 1_000)
  })
})

describe('the clock of a peer', () => {
  it('is never converted to later instants than the true ones, however messages are delayed', () => {
    // A message that reports a recent proof waits in a buffer while this VM is paused. If its arrival time
    // counted, old records would appear to be proven just now.
    const line = fc.record({ spanMs: fc.nat(60_000), delayMs: fc.nat(20_000) })
    fc.assert(fc.property(fc.array(line, { minLength: 1, maxLength: 30 }), fc.integer({ min: -1_000_000, max: 1_000_000 }), fc.nat(5_000), fc.integer({ min: -500, max: 500 }), (lines, offsetMs, wayMs, ratePpm) => {
      const askedAt = 500
      const clock = new PeerClock(askedAt)
      let writtenAt = askedAt + wayMs
      let arrivedAt = writtenAt
      for (const { spanMs, delayMs } of lines) {
        writtenAt += spanMs
        arrivedAt = Math.max(arrivedAt, writtenAt + delayMs)
        const clockMs = offsetMs + writtenAt * (1 + ratePpm / 1_000_000)
        clock.recordReading(clockMs, arrivedAt)
        assert.ok(clock.toLocalInstant(clockMs) <= writtenAt + 0.001, `${clock.toLocalInstant(clockMs)} for ${writtenAt}`)
      }
    }), { seed: SEED })
  })

  it('is uncertain when the first message arrived late, or long ago', () => {
    const late = new PeerClock(0)
    late.recordReading(10, 400)
    assert.ok(late.isUncertain(400))
    const prompt = new PeerClock(0)
    prompt.recordReading(10, 70)
    assert.ok(!prompt.isUncertain(1_000))
    assert.ok(prompt.isUncertain(300_000))
  })
})
