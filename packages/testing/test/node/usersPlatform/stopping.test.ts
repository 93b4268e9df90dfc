import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Worker } from 'node:worker_threads'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
import { WorkerLinkFault } from '../../../src/node/standIns/usersPlatform/workerLink.js'
import type { StoppingCallersInput } from './stoppingCallersThread.js'

/** The grace period of the stand-in's entry processes is 4 s. */
const LONG_LIMIT_MS = 2_500
const LONG_WORK_MS = 2_400
const AFTER_STOP_MS = 1_500
/** Before and after the listener closes. */
const BEFORE_CLOSE_MS = 1_900
const AFTER_CLOSE_MS = 2_500
const CONNECTIONS = 40
const ROUTES = [
  { Name: 'reads', Prefix: '/long/', Service: 'archive', Timeout: `${LONG_LIMIT_MS}ms` },
  { Name: 'lookups', Prefix: '/short/', Service: 'ledger', Timeout: '500ms' }
]

describe('a stopping entry process', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let archive: PlatformWorkerStandIn

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    archive = await platform.addWorker('w-1', 'archive', 'north-1')
    await platform.addWorker('w-2', 'ledger', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    archive.workMs = LONG_WORK_MS
  })

  afterEach(async () => { await platform.close() })

  it('finishes what it accepts, and refuses at once what it can\'t finish', async () => {
    // Guards against requests that are accepted during a stop and cut off by its end.
    const startedAt = platform.clock.now()
    const stopped = new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    const first = platform.call(entry, { path: '/long/1', id: 'first' })
    await platform.waitUntil(() => platform.clock.now() - startedAt > AFTER_STOP_MS)
    const late = await platform.call(entry, { path: '/long/2', id: 'late' })
    assert.equal(late.status, 503)
    assert.equal(late.headers['retry-after'], '0.000')
    assert.equal(late.headers.connection, 'close')
    assert.equal((await platform.call(entry, { path: '/short/1', id: 'short' })).status, 200)
    assert.equal((await first).status, 200)
    assert.equal(await stopped, 0)
    assert.deepEqual(archive.runs.map(({ requestId }) => requestId), ['first'])
  })

  it('takes a request whose caller waits less than the time limit of its route', async () => {
    const startedAt = platform.clock.now()
    const stopped = new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    await platform.waitUntil(() => platform.clock.now() - startedAt > AFTER_STOP_MS)
    archive.workMs = 0
    assert.equal((await platform.call(entry, { path: '/long/1', id: 'hasty', deadlineMs: 1_000 })).status, 200)
    assert.equal(await stopped, 0)
  })

  it('answers the requests on connections that wait to be accepted when the listener closes', async () => {
    // Guards against requests that are cut as the process was late when it stopped accepting connections.
    const startedAt = platform.clock.now()
    const stopped = new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    await platform.waitUntil(() => platform.clock.now() - startedAt > BEFORE_CLOSE_MS)
    const sent = new Int32Array(new SharedArrayBuffer(4))
    const input: StoppingCallersInput = { address: entry.settings.listen.callers, connections: CONNECTIONS, sent }
    const thread = new Worker(new URL('./stoppingCallersThread.js', import.meta.url), { workerData: input })
    const responses = new Promise<string[]>((resolve) => { thread.once('message', resolve) })
    // Blocks this thread until the requests are sent, and past the instant at which the listener closes.
    Atomics.wait(sent, 0, 0)
    Atomics.wait(sent, 0, 1, Math.max(0, startedAt + AFTER_CLOSE_MS - platform.clock.now()))
    assert.deepEqual((await responses).filter((response) => !/^HTTP\/1\.1 (200|503) /.test(response)), [])
    assert.equal(await stopped, 0)
    await thread.terminate()
  })
})

describe('a stopping entry process to which another one relays', { timeout: 60_000 }, () => {
  const RELAYED_WORK_MS = 1_000
  const PAUSE_MS = 200
  let platform: LocalPlatform
  let cut: LocalEntry
  let stopping: LocalEntry
  let worker: PlatformWorkerStandIn

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    worker = await platform.addWorker('w-1', 'ledger', 'north-1')
    platform.putConfiguration([{ Name: 'closeouts', Prefix: '/unsafe/', Service: 'ledger', Kind: 'non_idempotent' }])
    cut = await platform.startEntry('vm-1', 'north-1')
    stopping = await platform.startEntry('vm-2', 'north-1')
    for (const entry of [cut, stopping]) await platform.waitUntilReady(entry)
    await platform.waitUntil(() => [cut, stopping].every(({ lines }) => lines.some(({ change }) => change === 'node-joined')))
    cut.link.setFault(WorkerLinkFault.Hang)
    await platform.waitUntil(async () => {
      await platform.call(cut, { path: '/unsafe/1', method: 'POST', id: 'first', body: 'a' })
      return cut.lines.some(({ step }) => step === 'disconnect-workers')
    })
    worker.workMs = RELAYED_WORK_MS
  })

  afterEach(async () => { await platform.close() })

  // Guards against relayed requests that are cut as the VM that has them stops.
  it('answers what it has accepted, and what comes later is answered by neither or whole', async () => {
    const send = async (id: string): Promise<number> => (await platform.call(cut, { path: '/unsafe/1', method: 'POST', id, body: 'a' })).status
    const early = send('early')
    await platform.waitUntil(() => worker.runs.some(({ requestId }) => requestId === 'early'))
    const stopped = new Promise<number>((resolve) => { stopping.entry.stop(resolve) })
    const late: Array<Promise<number>> = []
    for (let index = 0; index < 8; index++) {
      late.push(send(`late-${index}`))
      const at = platform.clock.now() + PAUSE_MS
      await platform.waitUntil(() => platform.clock.now() >= at)
    }
    assert.equal(await early, 200)
    assert.equal(await stopped, 0)
    const statuses = await Promise.all(late)
    for (const [index, status] of statuses.entries()) {
      const runs = worker.runs.filter(({ requestId }) => requestId === `late-${index}`).length
      assert.equal(status, runs === 0 ? 503 : 200, `late-${index} ran ${runs} times`)
    }
  })
})
