import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { EventLoopMonitor, type LateConnection } from '../../../src/node/eventLoop/eventLoopMonitor.js'

const TURN_MS = 1
const LONG_TURN_MS = 1_000
const QUIET_MS = 5_000

/** A clock whose timers fire only between turns, however late that is. */
class TurnClock implements IClock {
  current: Instant = 0
  suspendedMs = 0
  private timers = new Map<() => void, Instant>()

  now (): Instant {
    return this.current
  }

  getWallTime (): number {
    return this.current + this.suspendedMs
  }

  schedule (at: Instant, callback: () => void): ITimer {
    this.timers.set(callback, at)
    return { close: () => { this.timers.delete(callback) } }
  }

  /** Fires the timers that are due, but none that these schedule. */
  fireDue (): void {
    const due = [...this.timers].filter(([, at]) => at <= this.current)
    for (const [callback] of due) {
      this.timers.delete(callback)
      callback()
    }
  }
}

describe('EventLoopMonitor', () => {
  let clock: TurnClock
  let monitor: EventLoopMonitor
  let afterPoll: Array<() => void>
  let delays: number[]
  let ran: string[]

  beforeEach(() => {
    clock = new TurnClock()
    afterPoll = []
    delays = []
    ran = []
    monitor = new EventLoopMonitor({ clock, elapsed: new ElapsedClock(clock), onDelay: (delayMs) => { delays.push(delayMs) }, scheduleAfterPoll: (callback) => { afterPoll.push(callback) } })
    monitor.start()
  })

  /** One turn of the event loop: timers, what a poll reads after some time, and what runs after it. */
  function runTurn (spanMs = TURN_MS, read = (): void => {}): void {
    clock.fireDue()
    clock.current += spanMs
    read()
    for (const callback of afterPoll.splice(0)) callback()
  }

  function runTurns (spanMs: number): void {
    for (let passedMs = 0; passedMs < spanMs; passedMs += TURN_MS) runTurn()
  }

  it('runs work at once while the event loop is in time', () => {
    runTurns(QUIET_MS)
    monitor.runWhenRead(monitor.getEarliestArrival(), () => { ran.push('read') })
    monitor.runWhenCurrent(() => { ran.push('send') })
    assert.deepEqual(ran, ['read', 'send'])
    assert.equal(monitor.getEarliestArrival(), clock.now())
    assert.deepEqual(delays, [])
  })

  it('runs what was read late after the next poll, and counts it from the start of the delay', () => {
    runTurns(QUIET_MS)
    const before = clock.now()
    let arrivedAt = Number.NaN
    runTurn(LONG_TURN_MS, () => {
      arrivedAt = monitor.getEarliestArrival()
      monitor.runWhenRead(monitor.getEarliestArrival(), () => { ran.push('read') })
      monitor.runWhenCurrent(() => { ran.push('send') })
    })
    assert.deepEqual(ran, [])
    assert.ok(arrivedAt <= before, `counted from ${arrivedAt - before} ms after the delay began`)
    runTurn(TURN_MS, () => { ran.push('poll') })
    assert.deepEqual(ran, ['poll', 'send', 'read'])
  })

  it('takes requests on connections that were accepted late for late ones, however many were accepted before', () => {
    runTurns(QUIET_MS)
    const before = clock.now()
    let last: LateConnection | undefined
    runTurn(LONG_TURN_MS, () => { last = monitor.acceptConnection() })
    for (let connection = 0; connection < 20; connection++) runTurn(TURN_MS, () => { last = monitor.acceptConnection() })
    runTurn(TURN_MS, () => {
      assert.ok(monitor.getEarliestArrival(last) <= before + 20 * TURN_MS)
      monitor.runWhenRead(monitor.getEarliestArrival(last), () => { ran.push('read') })
    })
    assert.deepEqual(ran, [])
    runTurn()
    assert.deepEqual(ran, ['read'])
  })

  // Guards against requests that waited on connections which were accepted late, although no turn was long.
  it('takes connections for accepted late while each turn accepts one', () => {
    runTurns(QUIET_MS)
    const before = clock.now()
    let last: LateConnection | undefined
    for (let connection = 0; connection < 30; connection++) runTurn(10, () => { last = monitor.acceptConnection() })
    runTurn(10, () => {
      assert.ok(monitor.getEarliestArrival(last) <= before + 10)
      monitor.runWhenRead(monitor.getEarliestArrival(last), () => { ran.push('read') })
    })
    assert.deepEqual(ran, [])
    runTurn()
    assert.deepEqual(ran, ['read'])
  })

  it('divides the work on requests that were read in time into short turns', () => {
    runTurns(QUIET_MS)
    runTurn(TURN_MS, () => {
      for (let index = 0; index < 10; index++) monitor.runWhenRead(clock.now(), () => { ran.push('read'); clock.current += 4 })
    })
    assert.ok(ran.length > 1 && ran.length < 10, `${ran.length} in one turn`)
    for (let turn = 0; turn < 10; turn++) runTurn()
    assert.equal(ran.length, 10)
  })

  it('takes connections for accepted in time once none waits', () => {
    runTurn(LONG_TURN_MS, () => { monitor.acceptConnection() })
    runTurns(QUIET_MS)
    runTurn(TURN_MS, () => { assert.equal(monitor.acceptConnection(), undefined) })
  })

  it('takes the first request on a connection that was accepted late for one in time if it comes later', () => {
    let connection: LateConnection | undefined
    runTurn(LONG_TURN_MS, () => { connection = monitor.acceptConnection() })
    runTurns(QUIET_MS)
    assert.equal(monitor.getEarliestArrival(connection), clock.now())
  })

  it('reports a delay once, with its length, and is in time again after it', () => {
    runTurn(LONG_TURN_MS)
    runTurns(QUIET_MS)
    assert.equal(delays.length, 1)
    assert.ok(delays[0]! >= LONG_TURN_MS)
    assert.ok(monitor.takeLongestDelayMs() >= LONG_TURN_MS)
    assert.equal(monitor.takeLongestDelayMs(), 0)
    assert.equal(monitor.getEarliestArrival(), clock.now())
  })

  it('counts the time for which the machine was suspended', () => {
    runTurns(QUIET_MS)
    clock.suspendedMs = LONG_TURN_MS
    runTurn(TURN_MS, () => {
      assert.ok(monitor.getEarliestArrival() <= clock.now() - LONG_TURN_MS)
    })
  })

  it('divides deferred work into short turns', () => {
    runTurns(QUIET_MS)
    runTurn(LONG_TURN_MS, () => {
      for (let index = 0; index < 10; index++) monitor.runWhenRead(monitor.getEarliestArrival(), () => { ran.push('read'); clock.current += 40 })
    })
    runTurn()
    assert.ok(ran.length < 10, `${ran.length} in one turn`)
    for (let turn = 0; turn < 10; turn++) runTurn()
    assert.equal(ran.length, 10)
  })

  it('runs nothing after it was closed', () => {
    runTurn(LONG_TURN_MS, () => { monitor.runWhenRead(monitor.getEarliestArrival(), () => { ran.push('read') }) })
    monitor.close()
    runTurn()
    assert.deepEqual(ran, [])
  })

  it('runs what must follow the last waiting connection after a poll in which none was accepted', () => {
    // Guards against listeners that are closed while connections wait, which resets them.
    runTurns(QUIET_MS)
    monitor.runWhenAccepted(() => { ran.push('accepted') })
    for (let connection = 0; connection < 5; connection++) runTurn(TURN_MS, () => { monitor.acceptConnection() })
    assert.deepEqual(ran, [])
    runTurn()
    assert.deepEqual(ran, ['accepted'])
  })
})
