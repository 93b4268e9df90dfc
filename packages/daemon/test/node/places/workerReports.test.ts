/** Tests how daemons learn the states of workers from probes, answers and each other. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StepError, ErrorCode } from '@umberspar/base/common/errors'
import type { IClock } from '@umberspar/base/common/clock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { Err, Ok } from '@umberspar/base/common/result'
import { type IUpstreamTransport, ProbeScope, type ProbeResult } from '@umberspar/adapters/node/upstream/upstreamTransport'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'
import type { PlaceWorker } from '../../../src/node/places/placeDirectory.js'
import { PlacePool } from '../../../src/node/places/placePool.js'
import { WorkerProber } from '../../../src/node/places/workerProber.js'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { WorkerReports } from '../../../src/node/places/workerReports.js'

const SEED = 5
const TICK_MS = 50
const WORKERS = 40

class TickedClock extends ManualClock {
  async step (): Promise<void> {
    this.stepBy(TICK_MS)
    for (let turn = 0; turn < 20; turn++) await Promise.resolve()
  }
}

/** Simulates the health and load endpoints of workers and counts probes. */
class FakeWorkers implements Pick<IUpstreamTransport, 'probe'> {
  readonly draining = new Set<string>()
  readonly broken = new Set<string>()
  healthProbes = 0
  loadProbes = 0

  async probe (address: string, _deadline: number, scope: ProbeScope): ReturnType<IUpstreamTransport['probe']> {
    this.healthProbes++
    if (scope === ProbeScope.HealthAndLoad) this.loadProbes++
    if (this.broken.has(address)) return new Err(new StepError({ code: ErrorCode.Unavailable, step: 'probe', peer: address, message: 'reset' }))
    const isDraining = this.draining.has(address)
    const probe: ProbeResult = { isHealthy: !isDraining, isDraining, isStarting: false, load: scope === ProbeScope.Health ? undefined : { utilization: 0.5, inFlight: 2 } }
    return new Ok(probe)
  }
}

interface Node {
  readonly id: string
  readonly pool: PlacePool
  readonly reports: WorkerReports
  readonly prober: WorkerProber
}

function getAddress (index: number): string {
  return `10.0.0.${index + 1}:80`
}

function buildNode (id: string, shareHolders: readonly string[], workers: FakeWorkers, clock: IClock, seed: number): Node {
  const pool = new PlacePool({ service: 's', failureDomain: 'd' }, clock, new SeededRandom(seed), 1000)
  const configured = Object.fromEntries(Array.from({ length: WORKERS }, (_, index) => [`w${index}`, { address: getAddress(index), slots: 4, connections: 8 }]))
  pool.updateWorkers({ workers: configured })
  pool.update(new Map(Object.keys(configured).map((worker) => [pool.getSlotKey(worker), { slots: 1, connections: 2 }])), Infinity, 10)
  const placeWorkers: PlaceWorker[] = Object.entries(configured).map(([workerId, worker]) => ({ workerId, address: worker.address, pool, shareHolders }))
  const reports = new WorkerReports(id, clock)
  const prober = new WorkerProber(id, workers as never, reports, clock, new SeededRandom(seed), NULL_LOGGER)
  reports.update(placeWorkers)
  prober.update(placeWorkers)
  return { id, pool, reports, prober }
}

async function run (clock: TickedClock, nodes: readonly Node[], spanMs: number, heartbeatMs: number, onStep: () => void = () => {}): Promise<void> {
  for (const end = clock.now() + spanMs; clock.now() < end;) {
    await clock.step()
    onStep()
    if (clock.now() % heartbeatMs !== 0) continue
    for (const from of nodes) {
      for (const to of nodes) if (from !== to) to.reports.observe(from.reports.listFor(to.id))
    }
  }
}

describe('reports on workers', () => {
  const ids = ['e1', 'e2', 'e3', 'e4']

  function buildNodes (workers: FakeWorkers, clock: TickedClock): Node[] {
    const nodes = ids.map((id, index) => buildNode(id, ids, workers, clock, SEED + index))
    for (const { prober } of nodes) prober.start()
    return nodes
  }

  // A worker announces its drain by its health endpoint alone, while answers without
  // any sign of it keep arriving. Requests sent to it after 2 s are lost when it stops.
  it('reach every share holder within 2 s of a drain, even while answers arrive, with at most two probers per worker', async () => {
    const clock = new TickedClock()
    const workers = new FakeWorkers()
    const nodes = buildNodes(workers, clock)
    const observeAnswers = (): void => {
      for (const { pool } of nodes) {
        for (let index = 0; index < WORKERS; index++) pool.table.observeLoad(`w${index}`, { utilization: 0.3, takenAt: clock.now() })
      }
    }
    await run(clock, nodes, 2000, 600, observeAnswers)
    const before = workers.healthProbes
    await run(clock, nodes, 10_000, 600, observeAnswers)
    const perWorkerSecond = (workers.healthProbes - before) / WORKERS / 10
    assert.ok(perWorkerSecond <= 2.2, `${perWorkerSecond} probes per second and worker`)
    assert.ok(workers.loadProbes <= 2 * WORKERS, 'probed for loads that answers had already reported')
    for (let index = 0; index < WORKERS; index++) workers.draining.add(getAddress(index))
    await run(clock, nodes, 2000, 600, observeAnswers)
    const isDrainedEverywhere = nodes.every(({ pool }) => pool.table.list().every(({ isDraining }) => isDraining))
    assert.ok(isDrainedEverywhere)
    workers.draining.clear()
    await run(clock, nodes, 4000, 600, observeAnswers)
    assert.ok(nodes.every(({ pool }) => pool.table.list().every(({ isDraining }) => !isDraining)))
  })

  // An entry VM of another region has borrowed a slot of a worker that then drains.
  // Probers don't know the borrower; without a report from its lender it would send
  // new requests to the worker for as long as the loan lasts.
  it('reach a borrower through its lender, and the end of the drain as well', async () => {
    const clock = new TickedClock()
    const workers = new FakeWorkers()
    const nodes = buildNodes(workers, clock)
    const borrower = buildNode('far', ids, workers, clock, SEED)
    await run(clock, nodes, 1200, 600)
    const lender = nodes.find(({ pool }) => pool.ledger.lend({ borrowerId: 'far', loanId: 'l', workerId: pool.getSlotKey('w0'), slots: 1, connections: 1, deadline: clock.now() + 30_000 }, clock.now(), 0).slots === 1)
    assert.ok(lender !== undefined)
    workers.draining.add(getAddress(0))
    await run(clock, [...nodes, borrower], 2000, 600)
    assert.equal(borrower.pool.table.get('w0')?.isDraining, true)
    assert.equal(borrower.pool.table.get('w1')?.isDraining, false)
    workers.draining.clear()
    await run(clock, [...nodes, borrower], 4000, 600)
    assert.equal(borrower.pool.table.get('w0')?.isDraining, false)
  })

  // An entry VM has a share of one worker and borrows slots of another from the same
  // peer. With reports only on the shared worker, it would send to the other during
  // its drain.
  it('reach a peer that has a share of one worker and borrows slots of another', () => {
    const clock = new TickedClock()
    const lender = buildNode('e1', ['e1', 'e2'], new FakeWorkers(), clock, SEED)
    const placeWorkers = Array.from({ length: 2 }, (_, index): PlaceWorker => ({ workerId: `w${index}`, address: getAddress(index), pool: lender.pool, shareHolders: index === 0 ? ['e1', 'e2'] : ['e1'] }))
    lender.reports.update(placeWorkers)
    lender.pool.ledger.lend({ borrowerId: 'e2', loanId: 'l', workerId: lender.pool.getSlotKey('w1'), slots: 1, connections: 1, deadline: 30_000 }, clock.now(), 0)
    lender.reports.record({ workerId: getAddress(1), utilization: 0, inFlight: 0, measuredAt: clock.now(), isDraining: true, isHealthy: false, isStarting: false, isProbed: true, hasLoad: false })
    assert.deepEqual(lender.reports.listFor('e2').filter(({ isDraining }) => isDraining).map(({ workerId }) => workerId), [getAddress(1)])
  })

  // Both probers of some workers have crashed. The other nodes must not act on their
  // old reports, and must not keep these alive by relaying them to each other.
  it('are not relayed by nodes that received them from a peer', async () => {
    const clock = new TickedClock()
    const [, second, third] = buildNodes(new FakeWorkers(), clock)
    const report: WorkerReport = { workerId: getAddress(0), utilization: 0.9, inFlight: 3, measuredAt: 0, isDraining: true, isHealthy: false, isStarting: false, isProbed: true, hasLoad: true }
    second!.reports.observe([report])
    assert.equal(second!.pool.table.get('w0')?.isDraining, true)
    assert.deepEqual(second!.reports.listFor(third!.id), [])
  })

  it('are sent only to share holders, once unless they are urgent, and at most 32 at a time', () => {
    const clock = new TickedClock()
    const node = buildNode('e1', ['e1', 'e2'], new FakeWorkers(), clock, SEED)
    for (let index = 0; index < WORKERS; index++) node.pool.table.observeLoad(`w${index}`, { utilization: 0.5, takenAt: 0 })
    assert.deepEqual(node.reports.listFor('e3'), [])
    const sent = node.reports.listFor('e2')
    assert.equal(sent.length, 32)
    assert.ok(sent.every(({ isProbed, hasLoad, utilization }) => !isProbed && hasLoad && utilization === 0.5))
    assert.equal(new Set([...sent, ...node.reports.listFor('e2')].map(({ workerId }) => workerId)).size, WORKERS)
    assert.deepEqual(node.reports.listFor('e2'), [])
    node.pool.table.markDraining('w3', true, 0)
    assert.deepEqual([node.reports.listFor('e2'), node.reports.listFor('e2')].map((list) => list.map(({ workerId }) => workerId)), [[getAddress(3)], [getAddress(3)]])
  })
})
