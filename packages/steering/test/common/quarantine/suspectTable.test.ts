import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ReportState, SuspectTable, toDeadline } from '../../../src/common/quarantine/suspectTable.js'
import { type FleetOptions, runFleet } from './quarantineFleet.js'

const SEED = 34
const EXPIRES_AT = 60_000
/** How many sends are tolerated later than `STABILITY_MS` after the third crash. */
const MAX_LATE_SENDS = 3
const STABILITY_MS = 3_000

function putCrash (table: SuspectTable, workerId: string, round: number, now = 0): void {
  table.putCrash({ digest: 'a', workerId, round }, ReportState.Confirmed, now, EXPIRES_AT)
}

describe('SuspectTable', () => {
  it('finds enough evidence in three crashes if for one of them the request was sent after an earlier crash was known', () => {
    const table = new SuspectTable()
    putCrash(table, 'w-1', 1)
    putCrash(table, 'w-2', table.getNextRound('a', 0))
    assert.ok(!table.hasConfirmedEvidence('a', 0))
    putCrash(table, 'w-3', 1)
    assert.ok(table.hasConfirmedEvidence('a', 0))
    assert.ok(!table.hasConfirmedEvidence('b', 0))
  })

  // Guards against a quarantine of requests that were in flight at a rack when it lost power.
  it('never finds enough evidence in workers that crash at the same time', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), (workers) => {
      const table = new SuspectTable()
      for (let index = 0; index < workers; index++) putCrash(table, `w-${index}`, 1)
      return !table.hasConfirmedEvidence('a', 0) && table.getBlockedUntil('a', 0) === undefined
    }), { seed: SEED })
  })

  // Guards against a quarantine of frequent requests that are in flight beside one that crashes workers.
  it('ignores crashes that an answer refutes, and counts later ones', () => {
    const table = new SuspectTable()
    putCrash(table, 'w-1', 1)
    putCrash(table, 'w-2', 2)
    table.putAnswer('a', table.listWorkers('a', 0), 0, EXPIRES_AT)
    assert.ok(table.isRefuted('a', ['w-1', 'w-2']))
    assert.ok(!table.isRefuted('a', ['w-2', 'w-3']) && !table.isRefuted('b', ['w-1']))
    assert.equal(table.getNextRound('a', 0), 1)
    putCrash(table, 'w-3', 1)
    putCrash(table, 'w-4', 2)
    assert.ok(!table.hasConfirmedEvidence('a', 0))
    putCrash(table, 'w-5', 3)
    assert.ok(table.hasConfirmedEvidence('a', 0))
  })

  it('blocks a request only as long as pending reports would suffice for a quarantine', () => {
    const table = new SuspectTable()
    putCrash(table, 'w-1', 1)
    putCrash(table, 'w-2', 2)
    table.putCrash({ digest: 'a', workerId: 'w-3', round: 3 }, ReportState.Pending, 0, EXPIRES_AT)
    assert.equal(table.getBlockedUntil('a', 0), 0)
    assert.ok(!table.hasConfirmedEvidence('a', 0))
    table.removeCrash('a', 'w-3')
    assert.equal(table.getBlockedUntil('a', 0), undefined)
  })

  it('ends a quarantine when it expires or is removed', () => {
    const table = new SuspectTable()
    table.putQuarantine('a', 100, 0)
    table.putQuarantine('b', 100, 0)
    assert.equal(table.getBlockedUntil('a', 99), 100)
    assert.equal(table.getBlockedUntil('a', 100), undefined)
    table.removeQuarantine('b')
    assert.equal(table.getBlockedUntil('b', 50), undefined)
    table.removeExpired(100)
    assert.ok(table.isEmpty)
  })

  // Guards against an unlimited number of suspected requests in memory, and against quarantines that are lost by eviction.
  it('evicts the oldest requests, but never a quarantined one', () => {
    const table = new SuspectTable()
    table.putQuarantine('first', EXPIRES_AT, 0)
    for (let index = 0; index < 10_000; index++) table.putCrash({ digest: `d-${index}`, workerId: 'w', round: 1 }, ReportState.Confirmed, 0, EXPIRES_AT)
    assert.ok(table.countSuspects() <= 4_096)
    assert.equal(table.getBlockedUntil('first', 0), EXPIRES_AT)
  })

  it('converts wall times into deadlines that stay in bounds if the wall clock is wrong', () => {
    assert.equal(toDeadline(5_000, 2_000, 10, 100_000), 3_010)
    assert.equal(toDeadline(5_000, 9_000, 10, 100_000), 10)
    assert.equal(toDeadline(900_000_000, 0, 10, 100_000), 100_010)
  })
})

describe('entry VMs that share crash reports', () => {
  const options = fc.record({
    vms: fc.integer({ min: 1, max: 200 }),
    attempts: fc.integer({ min: 1, max: 3 }),
    crashAfterMs: fc.integer({ min: 1, max: 500 }),
    checkMs: fc.integer({ min: 0, max: 100 }),
    shareMs: fc.integer({ min: 0, max: 1_500 }),
    isShared: fc.constant(true)
  })
  const gaps = fc.array(fc.record({ gapMs: fc.integer({ min: 1, max: 5_000 }), vm: fc.nat() }), { minLength: 1, maxLength: 60 })

  function listArrivals (steps: ReadonlyArray<{ readonly gapMs: number, readonly vm: number }>, { vms }: FleetOptions) {
    let at = 0
    return steps.map(({ gapMs, vm }) => {
      at += gapMs
      return { at, vm: vm % vms }
    })
  }

  // Guards against a request that keeps crashing workers because each VM observes only some of the crashes.
  it('send the request at most three more times once the stability period after the third crash has passed', () => {
    fc.assert(fc.property(gaps, options, (steps, fleet) => {
      const { sends, crashes } = runFleet(listArrivals(steps, fleet), fleet)
      const thirdCrashAt = crashes.toSorted((left, right) => left - right)[2]
      if (thirdCrashAt === undefined) return
      const lateSends = sends.filter((at) => at > thirdCrashAt + STABILITY_MS)
      assert.ok(lateSends.length <= MAX_LATE_SENDS, `${lateSends.length} late sends`)
    }), { seed: SEED, numRuns: 300 })
  })

  it('lose far fewer workers than VMs that do not share reports', () => {
    const arrivals = Array.from({ length: 60 }, (_, index) => ({ at: index * 330, vm: index * 7 }))
    for (const vms of [12, 69, 195]) {
      const fleet = { vms, attempts: 2, crashAfterMs: 80, checkMs: 10, shareMs: 800 }
      const steps = arrivals.map(({ at, vm }) => ({ at, vm: vm % vms }))
      const crashesWithSharing = runFleet(steps, { ...fleet, isShared: true }).crashes.length
      const crashesWithoutSharing = runFleet(steps, { ...fleet, isShared: false }).crashes.length
      assert.ok(crashesWithSharing <= 8, `${crashesWithSharing} crashes with ${vms} VMs`)
      assert.ok(crashesWithoutSharing >= 4 * crashesWithSharing, `${crashesWithoutSharing} crashes without shared reports`)
    }
  })
})
