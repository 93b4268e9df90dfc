import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { type PlatformWorkerStandIn, WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

/** Requests may wait for an eighth of this. */
const ROUTES = [{ Name: 'lookups', Prefix: '/a/', Service: 'archive', Goal: '4000ms', Timeout: '5000ms' }]
/** Shorter than a wait may be. */
const PAUSE_SECONDS = 0.4
const LONG_PAUSE_SECONDS = 5

describe('a request for a service whose only worker pauses', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let worker: PlatformWorkerStandIn

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    worker = await platform.addWorker('w-1', 'archive', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    assert.equal((await platform.call(entry, { path: '/a/1', id: 'warm' })).status, 200)
  })

  afterEach(async () => { await platform.close() })

  /** Has the worker refuse one request and ask for a pause. */
  async function startPause (seconds: number): Promise<void> {
    worker.fault = WorkerFault.Shed
    worker.retryAfter = [String(seconds)]
    const { status } = await platform.call(entry, { path: '/a/1', id: 'refused' })
    assert.equal(status, 503)
    assert.equal(await readWaiting(), 0, 'a request does not wait for the worker that has refused it')
    worker.fault = WorkerFault.None
  }

  async function readWaiting (): Promise<number> {
    return Number(/^umberspar_requests_waiting (\d+)/m.exec(await readMetrics())?.[1])
  }

  async function readMetrics (): Promise<string> {
    return (await platform.ask(entry.settings.listen.metrics, '/metrics')).body
  }

  it('waits at the VM for the end of a short pause, and is served', async () => {
    await startPause(PAUSE_SECONDS)
    assert.equal((await platform.call(entry, { path: '/a/1', id: 'waits' })).status, 200)
    assert.match(await readMetrics(), /umberspar_place_waits_total\{end="released",priority="1"\} 1/)
  })

  it('is refused at once during a long pause', async () => {
    await startPause(LONG_PAUSE_SECONDS)
    const startedAt = platform.clock.now()
    const { status, headers } = await platform.call(entry, { path: '/a/1', id: 'refused-at-once' })
    assert.equal(status, 503)
    assert.ok(platform.clock.now() - startedAt < 400)
    assert.ok(Number(headers['retry-after']) > LONG_PAUSE_SECONDS - 2)
    assert.match(await readMetrics(), /umberspar_refusals_total\{service="archive",reason="workers-cooling-down",priority="1",visit="unknown"\} 2/)
  })

  // Guards against requests that are sent to workers though their callers have left.
  it('frees its place when its caller leaves', async () => {
    await startPause(PAUSE_SECONDS)
    const [host, port] = entry.settings.listen.callers.split(':')
    const socket = connect(Number(port), host)
    socket.write('GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: leaves\r\nX-Umberspar-Deadline-Ms: 4000\r\n\r\n')
    await platform.waitUntil(async () => await readWaiting() === 1)
    socket.destroy()
    await platform.waitUntil(async () => await readWaiting() === 0)
    assert.equal((await platform.call(entry, { path: '/a/1', id: 'stays' })).status, 200)
    assert.equal(worker.runs.some(({ requestId }) => requestId === 'leaves'), false)
  })

  // Guards against requests that a stop of the process cuts off while they wait.
  it('is served though the process is told to stop meanwhile', async () => {
    await startPause(PAUSE_SECONDS)
    const answer = platform.call(entry, { path: '/a/1', id: 'waits' })
    await platform.waitUntil(async () => await readWaiting() === 1)
    const cut = await new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    assert.equal((await answer).status, 200)
    assert.equal(cut, 0)
  })
})
