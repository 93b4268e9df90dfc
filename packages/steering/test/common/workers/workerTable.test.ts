/** The limit of ejections, and the choice among workers. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SeededRandom } from '@umberspar/base/common/random'
import { chooseWorker } from '../../../src/common/workers/chooseWorker.js'
import { DEFAULT_WORKER_POLICY, WorkerTable } from '../../../src/common/workers/workerTable.js'

const SEED = 20_255
const IDS = ['w1', 'w2', 'w3', 'w4', 'w5']

function buildTable (ids: readonly string[], slots = 4): WorkerTable {
  const table = new WorkerTable()
  table.updateWorkers(new Map(ids.map((id) => [id, { address: `${id}:1`, slots }])), 0)
  return table
}

function countChoices (table: WorkerTable, now: number, rounds = 2000): Map<string, number> {
  const random = new SeededRandom(SEED)
  const counts = new Map<string, number>()
  for (let round = 0; round < rounds; round++) {
    const id = chooseWorker(table.list(), now, random) ?? 'none'
    counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  return counts
}

function recordFailures (table: WorkerTable, id: string, now: number): void {
  for (let failure = 0; failure < DEFAULT_WORKER_POLICY.failuresToEject; failure++) table.observeFailure(id, now)
}

const eventArbitrary = fc.record({
  kind: fc.constantFrom('fail', 'fail', 'fail', 'answer', 'drain', 'undrain', 'start', 'shrink'),
  id: fc.constantFrom(...IDS),
  spanMs: fc.integer({ min: 0, max: 4000 })
})

describe('WorkerTable', () => {
  // Guards against a pause that is ended early, or that counts as a failure.
  it('has a worker that asked for a pause chosen again exactly when it ends', () => {
    const table = buildTable(['w1', 'w2'])
    table.pause('w1', 3_000)
    table.pause('w1', 1_000)
    table.observeResponse('w1', 500)
    assert.equal(countChoices(table, 2_999).get('w1'), undefined)
    assert.ok(countChoices(table, 3_000).get('w1')! > 0)
    assert.equal(table.countEjected(2_999), 0)
  })

  // When the network to a failure domain is down, every request to every worker fails. If all
  // workers were ejected, the domain would refuse requests until the ejections end although
  // the network has recovered, so at least half of the workers must stay eligible.
  it('never has more than half of the workers ejected', () => {
    fc.assert(fc.property(fc.array(eventArbitrary, { maxLength: 80 }), (events) => {
      const table = buildTable(IDS)
      let now = 0
      for (const { kind, id, spanMs } of events) {
        now += spanMs
        if (kind === 'fail') recordFailures(table, id, now)
        else if (kind === 'answer') table.observeResponse(id)
        else if (kind === 'drain' || kind === 'undrain') table.markDraining(id, kind === 'drain', now)
        else if (kind === 'start') table.markStarted(id, now)
        else table.updateWorkers(new Map(table.list().slice(1).map((worker) => [worker.workerId, worker])), now)
        const eligibleCount = table.list().filter((worker) => !worker.isDraining).length
        assert.ok(table.countEjected(now) <= eligibleCount / 2)
        const chosen = chooseWorker(table.list(), now, new SeededRandom(SEED))
        assert.equal(chosen === undefined, eligibleCount === 0)
      }
    }), { seed: SEED, numRuns: 500 })
  })

  it('ejects a failing worker for longer each time, and reinstates it after a response', () => {
    const table = buildTable(IDS)
    const spanMs = DEFAULT_WORKER_POLICY.firstEjectionMs
    recordFailures(table, 'w1', 0)
    assert.equal(countChoices(table, spanMs - 1).get('w1'), undefined)
    assert.ok((countChoices(table, spanMs).get('w1') ?? 0) > 0)
    recordFailures(table, 'w1', spanMs)
    assert.equal(table.get('w1')?.ejectedUntil, 3 * spanMs)
    table.observeResponse('w1')
    assert.equal(table.countEjected(spanMs), 0)
  })
})

describe('chooseWorker', () => {
  it('never exceeds the assigned slots and skips draining and excluded workers', () => {
    const table = buildTable(['w1', 'w2', 'w3', 'w4'], 2)
    table.markDraining('w1', true, 0)
    const random = new SeededRandom(SEED)
    const excluded = new Set(['w2'])
    for (let request = 0; request < 4; request++) assert.ok(table.reserve(chooseWorker(table.list(), 0, random, excluded) ?? 'none'))
    assert.equal(chooseWorker(table.list(), 0, random, excluded), undefined)
    assert.equal(table.reserve('w3'), false)
    table.release('w3')
    assert.equal(chooseWorker(table.list(), 0, random, excluded), 'w3')
  })

  // One worker always reports to be idle, another to be extremely overloaded. The first must not
  // attract all requests of the failure domain, and the second must not lose all of them.
  it('keeps a worker that misreports its load from attracting or losing all traffic', () => {
    const table = buildTable(['w1', 'w2', 'w3', 'w4'], 8)
    const random = new SeededRandom(SEED)
    const counts = new Map<string, number>()
    const running: string[] = []
    for (let now = 0; now < 4000; now++) {
      for (const [id, utilization] of [['w1', -1e9], ['w2', 0.5], ['w3', 0.5], ['w4', 1e9]] as const) table.observeLoad(id, { utilization, takenAt: now })
      const id = chooseWorker(table.list(), now, random) ?? 'none'
      assert.ok(table.reserve(id))
      counts.set(id, (counts.get(id) ?? 0) + 1)
      running.push(id)
      if (running.length > 24) table.release(running.shift() ?? 'none')
    }
    assert.ok((counts.get('w1') ?? 0) < 2000, `the worker that reports to be idle got ${counts.get('w1')}`)
    assert.ok((counts.get('w4') ?? 0) > 200, `the worker that reports to be overloaded got ${counts.get('w4')}`)
  })

  it('discounts a report by its age, ignores older ones, and starts cold workers slowly', () => {
    const table = buildTable(['w1', 'w2'])
    table.observeLoad('w1', { utilization: 1, takenAt: 1000 })
    table.observeLoad('w1', { utilization: 0, takenAt: 900 })
    // Few but not none: a healthy worker that wrongly reports to be full must not be idle.
    const chosen = countChoices(table, 1000).get('w1') ?? 0
    assert.ok(chosen > 0 && chosen < 300, `the worker that reports to be full got ${chosen} of 2000`)
    table.reserve('w2')
    assert.equal(countChoices(table, 60_000).get('w2'), undefined, 'an old report outweighs a request in flight')
    table.release('w2')
    table.markStarted('w2', 60_000)
    assert.equal(countChoices(table, 60_500).get('w2'), undefined)
    assert.ok((countChoices(table, 60_000 + DEFAULT_WORKER_POLICY.warmUpMs).get('w2') ?? 0) > 500)
  })
})
