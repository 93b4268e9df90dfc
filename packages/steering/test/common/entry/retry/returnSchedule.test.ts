import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { SeededRandom } from '@umberspar/base/common/random'
import { CallerReturns } from '../../../../src/common/entry/retry/callerReturns.js'
import { ReturnSchedule } from '../../../../src/common/entry/retry/returnSchedule.js'

const SEED = 20261204
/** A deadline that limits no return. */
const FAR = 1_000_000
const MS_PER_SECOND = 1_000
/** After this long, the observed rate of answers has settled. */
const SETTLING_MS = 40_000

/** A schedule whose service has answered evenly until {@link SETTLING_MS}. */
function createSchedule (perSecond: number): ReturnSchedule {
  const schedule = new ReturnSchedule()
  for (let at = 0; at < SETTLING_MS; at += MS_PER_SECOND / perSecond) schedule.recordAnswer(at)
  return schedule
}

describe('the returns of refused callers', () => {
  // Guards against callers that were refused together, return together and are refused again.
  it('arrive no faster than the room that is expected', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 1, max: 200 }), fc.integer({ min: 0, max: 3_000 }), fc.integer(), (perSecond, count, roomAfterMs, salt) => {
      const schedule = createSchedule(perSecond)
      const random = new SeededRandom(salt)
      const now = SETTLING_MS
      const delays = Array.from({ length: count }, () => schedule.reserve({ now, roomAt: now + roomAfterMs, deadline: now + FAR, expectedMs: 100 }, random).delayMs).sort((left, right) => left - right)
      assert.ok(delays[0]! >= roomAfterMs)
      for (let first = 0; first < delays.length; first++) {
        const spanMs = delays[delays.length - 1]! - delays[first]!
        // Each return is within its own place; the observed rate may be a tenth off.
        assert.ok(delays.length - first <= 1.1 * spanMs * perSecond / MS_PER_SECOND + 2)
      }
    }), { seed: SEED, numRuns: 200 })
  })

  it('come within a third of the time that a caller has left, and early enough to be answered, if room does', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 300, max: 10_000 }), fc.integer({ min: 0, max: 2_000 }), fc.integer({ min: 0, max: 2_000 }), fc.integer(), (perSecond, timeLeftMs, roomAfterMs, expectedMs, salt) => {
      const schedule = createSchedule(perSecond)
      const random = new SeededRandom(salt)
      const now = SETTLING_MS
      for (let index = 0; index < 20; index++) {
        const { delayMs, isUseful } = schedule.reserve({ now, roomAt: now + roomAfterMs, deadline: now + timeLeftMs, expectedMs }, random)
        assert.ok(delayMs >= roomAfterMs, 'never before there is room')
        if (isUseful) assert.ok(delayMs <= timeLeftMs / 3 && delayMs + expectedMs <= timeLeftMs)
      }
    }), { seed: SEED, numRuns: 200 })
  })

  // Guards against callers that can't be served in time taking the places of those that can.
  it('keep no place for a caller that can\'t be answered before its deadline', () => {
    const schedule = createSchedule(1)
    const now = SETTLING_MS
    const random = new SeededRandom(SEED)
    for (let index = 0; index < 50; index++) assert.equal(schedule.reserve({ now, roomAt: now, deadline: now + 200, expectedMs: 400 }, random).isUseful, false)
    const { delayMs, isUseful } = schedule.reserve({ now, roomAt: now, deadline: now + 6_000, expectedMs: 400 }, random)
    assert.equal(isUseful, true)
    assert.ok(delayMs < 1_300)
  })

  // Guards against callers that are told to come back later than they wait, since others have taken the places before.
  it('are not told for later than a caller waits while room is expected earlier', () => {
    const schedule = createSchedule(0.5)
    const random = new SeededRandom(SEED)
    for (let index = 0; index < 20; index++) {
      const { delayMs } = schedule.reserve({ now: SETTLING_MS, roomAt: SETTLING_MS, deadline: SETTLING_MS + 3_000, expectedMs: 200 }, random)
      assert.ok(delayMs <= 1_000, `told ${delayMs} ms`)
    }
  })

  // Guards against long delays at a service with few requests, whose answers are as rare as its requests.
  it('follow the expected room alone while there are free slots', () => {
    const schedule = createSchedule(0.5)
    const random = new SeededRandom(SEED)
    for (let index = 0; index < 20; index++) {
      const { delayMs } = schedule.reserve({ now: SETTLING_MS, roomAt: SETTLING_MS, hasFreeSlots: true, deadline: SETTLING_MS + 10_000, expectedMs: 200 }, random)
      assert.ok(delayMs <= 150, `told ${delayMs} ms`)
    }
  })

  it('are spread over part of the delay after a start, when the room is unknown', () => {
    const schedule = new ReturnSchedule()
    const random = new SeededRandom(SEED)
    const delays = Array.from({ length: 50 }, () => schedule.reserve({ now: 0, roomAt: 400, deadline: FAR, expectedMs: 100 }, random).delayMs)
    assert.ok(Math.min(...delays) >= 400 && Math.max(...delays) <= 600)
    assert.ok(Math.max(...delays) - Math.min(...delays) > 100)
  })

  it('are forgotten with the route or service', () => {
    const returns = new CallerReturns()
    const [times, goneTimes] = [returns.getTimes('kept'), returns.getTimes('gone')]
    const [schedule, goneSchedule] = [returns.getSchedule('kept'), returns.getSchedule('gone')]
    returns.keep(new Set(['kept']), new Set(['kept']))
    assert.equal(returns.getTimes('kept'), times)
    assert.equal(returns.getSchedule('kept'), schedule)
    assert.notEqual(returns.getTimes('gone'), goneTimes)
    assert.notEqual(returns.getSchedule('gone'), goneSchedule)
  })
})
