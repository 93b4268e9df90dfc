/** What workers say of themselves, and how far it is believed. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SeededRandom } from '@umberspar/base/common/random'
import { chooseWorker } from '../../../src/common/workers/chooseWorker.js'
import { DEFAULT_WORKER_POLICY, WorkerTable } from '../../../src/common/workers/workerTable.js'

const SEED = 41_007
const IDS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6']
const SLOTS = 4
const LIAR = 'w1'

function buildTable (ids: readonly string[] = IDS): WorkerTable {
  const table = new WorkerTable()
  updateWorkers(table, ids, 0)
  return table
}

function updateWorkers (table: WorkerTable, ids: readonly string[], now: number): void {
  table.updateWorkers(new Map(ids.map((id) => [id, { address: `${id}:1`, slots: SLOTS }])), now)
}

/** Offers one request each millisecond, each held for `holdMs`; returns the part that a worker got. */
function computePart (table: WorkerTable, holdMs: number, observe: (now: number) => void, id = LIAR): number {
  const random = new SeededRandom(SEED)
  const running: string[] = []
  let taken = 0
  const rounds = 2000
  for (let now = 1; now <= rounds; now++) {
    observe(now)
    if (running.length >= holdMs) table.release(running.shift() ?? '')
    const chosen = chooseWorker(table.list(), now, random) ?? ''
    if (!table.reserve(chosen)) continue
    running.push(chosen)
    if (chosen === id) taken++
  }
  return taken / rounds
}

describe('evidence on workers', () => {
  // A worker's load endpoint is broken and says 0, or 100 %, or nonsense for ever.
  // Believed, all requests would go there, or none, and its place would be short
  // of a worker or overload one.
  it('gives no worker all requests or none for the load it claims', () => {
    const claims = fc.oneof(fc.constantFrom(0, 1, -5, 1e12, Infinity, NaN), fc.double({ min: -10, max: 10 }))
    fc.assert(fc.property(claims, fc.double({ min: 0.1, max: 0.9 }), fc.integer({ min: 4, max: 18 }), (claim, honest, holdMs) => {
      const table = buildTable()
      const part = computePart(table, holdMs, (now) => {
        for (const id of IDS) table.observeLoad(id, { utilization: id === LIAR ? claim : honest, takenAt: now })
      })
      assert.ok(part >= 0.25 / IDS.length, `got ${part} of the requests`)
      assert.ok(part <= 2.5 / IDS.length, `got ${part} of the requests`)
    }), { seed: SEED, numRuns: 60 })
  })

  // A worker fails every request at once while its health says ready. Its slots are
  // always free, so it would get most requests: callers would see mostly errors.
  it('ejects a worker that calls itself healthy and fails its requests', () => {
    const table = buildTable()
    let failed = 0
    const random = new SeededRandom(SEED)
    for (let now = 0; now < 20_000; now += 5) {
      table.observeProbe(LIAR, false, now)
      const chosen = chooseWorker(table.list(), now, random) ?? ''
      if (chosen === LIAR) {
        failed++
        table.observeFailure(chosen, now)
      } else table.observeAnswer(chosen, now)
    }
    const trials = 2
    assert.equal(failed, DEFAULT_WORKER_POLICY.failuresToEject + trials)
  })

  // Every second request is cut off. Whole answers in between end each row of
  // failures, and callers of half of that worker's requests would see errors for ever.
  it('ejects a worker that fails every second request', () => {
    const table = buildTable()
    for (let request = 0; request < 40 && table.countEjected(1) === 0; request++) {
      if (request % 2 === 0) table.observeAnswer(LIAR, 0)
      else table.observeFailure(LIAR, 1)
      if (request < 8) assert.equal(table.countEjected(1), 0)
      if (request % 4 === 3) table.observeFailure(LIAR, 1)
    }
    assert.equal(table.countEjected(1), 1)
  })

  // The health endpoint is broken: probes fail although the worker serves well.
  // Kept away for its probes, a good worker would stand idle.
  it('keeps a worker whose probes fail while it answers, and finds out by one request at a time', () => {
    const table = buildTable()
    const part = computePart(table, 12, (now) => {
      table.observeProbeFailure(LIAR, now)
      if (now % 100 === 0) table.observeAnswer(LIAR, now)
    })
    assert.ok(part > 0.5 / IDS.length, `got ${part} of the requests`)
    const silent = buildTable()
    for (let now = 0; now < 3; now++) silent.observeProbeFailure(LIAR, now)
    const backAt = silent.get(LIAR)!.ejectedUntil
    assert.ok(backAt > 2)
    silent.observeProbeFailure(LIAR, backAt)
    assert.equal(computePart(silent, 8, () => {}) > 0, false, 'chosen while ejected')
    const only = new Set(IDS.filter((id) => id !== LIAR))
    const chooseLiar = (): string | undefined => chooseWorker(silent.list(), backAt, new SeededRandom(SEED), only)
    assert.equal(chooseLiar(), LIAR)
    silent.reserve(LIAR)
    assert.equal(chooseLiar(), undefined, 'more than one request on trial')
    silent.observeAnswer(LIAR, backAt)
    assert.equal(chooseLiar(), LIAR)
  })

  // A prober's "ready", measured before the drain began, arrives after the worker's
  // own word that it drains. Believed, new work would go to a worker about to stop.
  it('believes the newest word of a drain in whichever order words arrive', () => {
    const word = fc.record({ at: fc.integer({ min: 0, max: 10_000 }), delay: fc.integer({ min: 0, max: 900 }) })
    fc.assert(fc.property(fc.integer({ min: 1000, max: 9000 }), fc.array(word, { maxLength: 20 }), (drainsAt, words) => {
      const table = buildTable()
      table.markDraining(LIAR, true, drainsAt)
      // A peer's word looks as much newer than it is as it was on its way.
      for (const { at, delay } of words) table.markDraining(LIAR, at >= drainsAt, at + delay)
      assert.equal(table.get(LIAR)?.isDraining, true)
      table.markDraining(LIAR, false, 12_000)
      assert.equal(table.get(LIAR)?.isDraining, false)
      table.markVmLeaving(LIAR, true, 12_000)
      table.markDraining(LIAR, false, 14_000)
      assert.equal(table.get(LIAR)?.isDraining, true)
    }), { seed: SEED, numRuns: 200 })
  })

  // A worker is taken out of the configuration and put back while its requests
  // run. Counted from zero, it would be given more requests than it has slots.
  it('counts requests that were open at a worker taken out and put back', () => {
    const table = buildTable()
    for (let request = 0; request < SLOTS; request++) assert.ok(table.reserve(LIAR))
    updateWorkers(table, IDS.slice(1), 1)
    table.release(LIAR)
    updateWorkers(table, IDS, 2)
    assert.equal(table.get(LIAR)?.inFlight, SLOTS - 1)
    assert.ok(table.reserve(LIAR))
    assert.equal(table.reserve(LIAR), false)
  })

  // An entry VM starts beside workers that have served for days. Were all cold to
  // it, none would be; a single new one must still get its slow start, and one
  // that says "starting" for ever must not be kept at the least weight for ever.
  it('starts cold what is new beside known workers, was long gone, or says so, and nothing at its own start', () => {
    const table = buildTable(IDS.slice(1))
    const isCold = (id: string, now: number): boolean => table.get(id)!.warmUpUntil > now
    assert.ok(IDS.slice(1).every((id) => !isCold(id, 0)))
    updateWorkers(table, IDS, 10)
    assert.deepEqual(IDS.filter((id) => isCold(id, 10)), [LIAR])
    for (let now = 20_000; now <= 24_000; now += 1000) table.observeProbeFailure('w2', now)
    table.observeProbe('w2', false, 25_000)
    table.observeProbe('w3', false, 25_000)
    assert.deepEqual(IDS.filter((id) => isCold(id, 25_000)), ['w2'])
    for (let now = 50_000; now <= 90_000; now += 1000) table.observeProbe('w4', true, now)
    assert.equal(isCold('w4', 59_000), true)
    assert.equal(isCold('w4', 75_000), false)
  })

  // A worker's disk has become slow: it answers well, and too late for callers.
  // Its load and health say nothing of it; only the time to its answers does.
  it('gives few requests to a worker that answers slowly, and tries it again', () => {
    const table = buildTable()
    const observeTimes = (now: number): void => {
      for (const id of IDS) if (id !== LIAR) table.observeAnswerTime(id, 10, now)
    }
    table.observeAnswerTime(LIAR, 80, 1)
    assert.ok(computePart(table, 6, observeTimes) < 0.25 / IDS.length)
    const later = computePart(table, 6, (now) => observeTimes(now + 60_000))
    assert.ok(later < 1.2 / IDS.length)
    const state = table.get(LIAR)
    assert.ok(state !== undefined && chooseWorker([state, table.get('w2')!], 90_000, new SeededRandom(1)) !== undefined)
  })
})
