/** How load, health and drain reports of workers affect their choice, also when the reports are wrong. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SeededRandom } from '@umberspar/base/common/random'
import { chooseWorker } from '../../../src/common/workers/chooseWorker.js'
import { DEFAULT_WORKER_POLICY, WorkerTable } from '../../../src/common/workers/workerTable.js'

const SEED = 41_007
const IDS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6']
const SLOTS = 4
const TESTED_WORKER = 'w1'

function buildTable (ids: readonly string[] = IDS): WorkerTable {
  const table = new WorkerTable()
  updateWorkers(table, ids, 0)
  return table
}

function updateWorkers (table: WorkerTable, ids: readonly string[], now: number): void {
  table.updateWorkers(new Map(ids.map((id) => [id, { address: `${id}:1`, slots: SLOTS }])), now)
}

/** Sends one request per millisecond, each in flight for `holdMs`, and returns the fraction that one worker received. */
function measureRequestRatio (table: WorkerTable, holdMs: number, observe: (now: number) => void, id = TESTED_WORKER): number {
  const random = new SeededRandom(SEED)
  const running: string[] = []
  let chosenCount = 0
  const rounds = 2000
  for (let now = 1; now <= rounds; now++) {
    observe(now)
    if (running.length >= holdMs) table.release(running.shift() ?? '')
    const chosen = chooseWorker(table.list(), now, random) ?? ''
    if (!table.reserve(chosen)) continue
    running.push(chosen)
    if (chosen === id) chosenCount++
  }
  return chosenCount / rounds
}

describe('observations of workers', () => {
  // Guards against a broken load endpoint that permanently reports 0, 100 % or nonsense. If the
  // reports were trusted, the worker would get all requests, or none.
  it('gives a worker neither all requests nor none because of the load it reports', () => {
    const claimedLoads = fc.oneof(fc.constantFrom(0, 1, -5, 1e12, Infinity, NaN), fc.double({ min: -10, max: 10 }))
    fc.assert(fc.property(claimedLoads, fc.double({ min: 0.1, max: 0.9 }), fc.integer({ min: 4, max: 18 }), (claimedLoad, actualLoad, holdMs) => {
      const table = buildTable()
      const ratio = measureRequestRatio(table, holdMs, (now) => {
        for (const id of IDS) table.observeLoad(id, { utilization: id === TESTED_WORKER ? claimedLoad : actualLoad, takenAt: now })
      })
      assert.ok(ratio >= 0.25 / IDS.length, `got ${ratio} of the requests`)
      assert.ok(ratio <= 2.5 / IDS.length, `got ${ratio} of the requests`)
    }), { seed: SEED, numRuns: 60 })
  })

  // Guards against a worker that fails every request immediately while its health probe
  // succeeds. Its slots are always free, so it would attract most requests.
  it('ejects a worker that reports to be healthy and fails its requests', () => {
    const table = buildTable()
    let failed = 0
    const random = new SeededRandom(SEED)
    for (let now = 0; now < 20_000; now += 5) {
      table.observeProbe(TESTED_WORKER, false, now)
      const chosen = chooseWorker(table.list(), now, random) ?? ''
      if (chosen === TESTED_WORKER) {
        failed++
        table.observeFailure(chosen, now)
      } else table.observeResponse(chosen, now)
    }
    const probationRequests = 2
    assert.equal(failed, DEFAULT_WORKER_POLICY.failuresToEject + probationRequests)
  })

  // Complete responses in between reset the consecutive failures, so that without the
  // failure rate half of the worker's requests would keep failing.
  it('ejects a worker that fails every second request', () => {
    const table = buildTable()
    for (let request = 0; request < 40 && table.countEjected(1) === 0; request++) {
      if (request % 2 === 0) table.observeResponse(TESTED_WORKER, 0)
      else table.observeFailure(TESTED_WORKER, 1)
      if (request < 8) assert.equal(table.countEjected(1), 0)
      if (request % 4 === 3) table.observeFailure(TESTED_WORKER, 1)
    }
    assert.equal(table.countEjected(1), 1)
  })

  // Guards against a broken health endpoint: probes fail although the worker serves requests
  // well. If probes alone ejected it, a healthy worker would be idle.
  it('keeps a worker that responds although its probes fail, and tries an unreachable one with one request at a time', () => {
    const table = buildTable()
    const ratio = measureRequestRatio(table, 12, (now) => {
      table.observeProbeFailure(TESTED_WORKER, now)
      if (now % 100 === 0) table.observeResponse(TESTED_WORKER, now)
    })
    assert.ok(ratio > 0.5 / IDS.length, `got ${ratio} of the requests`)
    const unreachableTable = buildTable()
    for (let now = 0; now < 3; now++) unreachableTable.observeProbeFailure(TESTED_WORKER, now)
    const probationAt = unreachableTable.get(TESTED_WORKER)!.ejectedUntil
    assert.ok(probationAt > 2)
    unreachableTable.observeProbeFailure(TESTED_WORKER, probationAt)
    assert.equal(measureRequestRatio(unreachableTable, 8, () => {}) > 0, false, 'chosen while ejected')
    const otherWorkers = new Set(IDS.filter((id) => id !== TESTED_WORKER))
    const chooseTestedWorker = (): string | undefined => chooseWorker(unreachableTable.list(), probationAt, new SeededRandom(SEED), otherWorkers)
    assert.equal(chooseTestedWorker(), TESTED_WORKER)
    unreachableTable.reserve(TESTED_WORKER)
    assert.equal(chooseTestedWorker(), undefined, 'more than one request on probation')
    unreachableTable.observeResponse(TESTED_WORKER, probationAt)
    assert.equal(chooseTestedWorker(), TESTED_WORKER)
  })

  // A peer's "ready", measured before the drain began, may arrive after the worker's own
  // report that it drains. If it were trusted, requests would go to a worker about to stop.
  it('trusts the newest report of a drain in whichever order reports arrive', () => {
    const readyReport = fc.record({ at: fc.integer({ min: 0, max: 10_000 }), delay: fc.integer({ min: 0, max: 900 }) })
    fc.assert(fc.property(fc.integer({ min: 1000, max: 9000 }), fc.array(readyReport, { maxLength: 20 }), (drainStartedAt, reports) => {
      const table = buildTable()
      table.markDraining(TESTED_WORKER, true, drainStartedAt)
      // A report from a peer looks newer than it is by its transit time.
      for (const { at, delay } of reports) table.markDraining(TESTED_WORKER, at >= drainStartedAt, at + delay)
      assert.equal(table.get(TESTED_WORKER)?.isDraining, true)
      table.markDraining(TESTED_WORKER, false, 12_000)
      assert.equal(table.get(TESTED_WORKER)?.isDraining, false)
      table.markVmRemoval(TESTED_WORKER, true, 12_000)
      table.markDraining(TESTED_WORKER, false, 14_000)
      assert.equal(table.get(TESTED_WORKER)?.isDraining, true)
    }), { seed: SEED, numRuns: 200 })
  })

  // A worker is removed from the configuration and added again while it has requests in flight.
  // If the count restarted at zero, it would get more requests than it has slots.
  it('still counts the requests in flight at a worker that is removed and added again', () => {
    const table = buildTable()
    for (let request = 0; request < SLOTS; request++) assert.ok(table.reserve(TESTED_WORKER))
    updateWorkers(table, IDS.slice(1), 1)
    table.release(TESTED_WORKER)
    updateWorkers(table, IDS, 2)
    assert.equal(table.get(TESTED_WORKER)?.inFlight, SLOTS - 1)
    assert.ok(table.reserve(TESTED_WORKER))
    assert.equal(table.reserve(TESTED_WORKER), false)
  })

  // An entry VM that starts must not treat workers that have served for days as cold. A worker
  // that is added later must still get its warm-up, and one that reports "starting" forever
  // must not stay at the minimum weight forever.
  it('warms up workers that are added, return after an outage or report to be starting, but none at its own start', () => {
    const table = buildTable(IDS.slice(1))
    const isCold = (id: string, now: number): boolean => table.get(id)!.warmUpUntil > now
    assert.ok(IDS.slice(1).every((id) => !isCold(id, 0)))
    updateWorkers(table, IDS, 10)
    assert.deepEqual(IDS.filter((id) => isCold(id, 10)), [TESTED_WORKER])
    for (let now = 20_000; now <= 24_000; now += 1000) table.observeProbeFailure('w2', now)
    table.observeProbe('w2', false, 25_000)
    table.observeProbe('w3', false, 25_000)
    assert.deepEqual(IDS.filter((id) => isCold(id, 25_000)), ['w2'])
    for (let now = 50_000; now <= 90_000; now += 1000) table.observeProbe('w4', true, now)
    assert.equal(isCold('w4', 59_000), true)
    assert.equal(isCold('w4', 75_000), false)
  })

  // Guards against a worker that responds correctly but too late, for example because of a slow
  // disk. Its load and health reports don't show it, only its response times do.
  it('gives few requests to a worker that responds slowly, and tries it again', () => {
    const table = buildTable()
    const observeTimes = (now: number): void => {
      for (const id of IDS) if (id !== TESTED_WORKER) table.observeResponseTime(id, 10, now)
    }
    table.observeResponseTime(TESTED_WORKER, 80, 1)
    assert.ok(measureRequestRatio(table, 6, observeTimes) < 0.25 / IDS.length)
    const laterRatio = measureRequestRatio(table, 6, (now) => observeTimes(now + 60_000))
    assert.ok(laterRatio < 1.2 / IDS.length)
    const state = table.get(TESTED_WORKER)
    assert.ok(state !== undefined && chooseWorker([state, table.get('w2')!], 90_000, new SeededRandom(1)) !== undefined)
  })
})
