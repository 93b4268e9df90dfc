import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { setTimeout } from 'node:timers/promises'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
import { countOpenResources } from '../openResources.js'

const ROUTES = [
  { Name: 'lookups', Prefix: '/a/', Service: 'archive' },
  { Name: 'uploads', Prefix: '/up/', Service: 'ledger', Kind: 'upload' },
  { Name: 'busy', Prefix: '/busy/', Service: 'ledger' }
]
const UPLOAD_BYTES = 60_000
/** More than Node.js buffers of a body that isn't read. */
const LONG_UPLOAD_BYTES = 500_000
/** What must not be taken for a request. */
const SMUGGLED = 'GET /a/smuggled HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: smuggled\r\nX-Umberspar-Deadline-Ms: 3000\r\n\r\n'
const BODY = SMUGGLED.repeat(Math.ceil(UPLOAD_BYTES / SMUGGLED.length)).slice(0, UPLOAD_BYTES)
const PAUSE_SECONDS = 50
/** Many more than the timers of the process itself. */
const LEAVING_CALLERS = 40
/** At most this old is the saturation of a service that a decision uses. */
const SATURATION_VALIDITY_MS = 150
/** At most this old are the limits of priorities that a decision uses. */
const LIMITS_VALIDITY_MS = 150

describe('an upload whose service has no room', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let socket: Socket
  let received: string

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    await platform.addWorker('w-1', 'archive', 'north-1')
    await platform.addWorker('w-2', 'ledger', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    const [host, port] = entry.settings.listen.callers.split(':')
    received = ''
    socket = connect(Number(port), host)
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('error', () => {})
  })

  afterEach(async () => {
    socket.destroy()
    await platform.close()
  })

  function sendHead (id: string, deadlineMs = 3_000, bytes = UPLOAD_BYTES): void {
    socket.write(`POST /up/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: ${id}\r\nX-Umberspar-Deadline-Ms: ${deadlineMs}\r\nContent-Length: ${bytes}\r\n\r\n`)
  }

  // Guards against refused requests that stay in memory although their connections have closed.
  it('leaves no timer when its caller has left', async () => {
    const [host, port] = entry.settings.listen.callers.split(':')
    const before = countOpenResources()
    for (let index = 0; index < LEAVING_CALLERS; index++) {
      const caller = connect(Number(port), host)
      caller.on('error', () => {})
      caller.write(`POST /none/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: leaves-${index}\r\nX-Umberspar-Deadline-Ms: 3000\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\nbeginning`)
      await once(caller, 'data')
      caller.destroy()
    }
    await platform.waitUntil(() => countOpenResources().connections <= before.connections)
    // The wait's own timer is open as well.
    assert.ok(countOpenResources().timers < before.timers + LEAVING_CALLERS / 2, `${countOpenResources().timers} timers, ${before.timers} before`)
  })

  async function removeWorker (): Promise<void> {
    platform.putWorker({ id: 'w-2', service: 'ledger', domain: 'north-1', address: '127.0.0.1:1', isLeaving: true })
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'upstream-changed' && subject === 'w-2'))
  }

  async function checkRefused (reason: string): Promise<void> {
    await platform.waitUntil(() => received.includes('\r\n\r\n'))
    assert.match(received, /^HTTP\/1\.1 503 /)
    assert.match(received, /retry-after: /i)
    const line = entry.lines.find(({ step, requestId }) => step === 'end-request' && requestId === 'upload')
    assert.equal(line?.reason, reason)
    assert.equal(platform.workers.get('w-2')!.runs.some(({ requestId }) => requestId === 'upload'), false)
  }

  // Guards against 60 kB that are read for a refusal, and against a body that is taken for requests.
  it('is refused before its body is sent, and the body isn\'t taken for a request', async () => {
    await removeWorker()
    sendHead('upload')
    await checkRefused('no-worker')
    received = ''
    socket.write(`${BODY}GET /a/next HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: next\r\nX-Umberspar-Deadline-Ms: 3000\r\n\r\n`)
    await platform.waitUntil(() => received.endsWith('the whole answer'))
    assert.equal(received.match(/HTTP\/1\.1/g)?.length, 1)
    assert.match(received, /seal-w-1-next/)
    assert.deepEqual(platform.workers.get('w-1')!.runs.map(({ requestId }) => requestId), ['next'])
  })

  it('is told when the pause of all workers ends', async () => {
    const worker = platform.workers.get('w-2')!
    worker.fault = WorkerFault.Shed
    worker.retryAfter = [String(PAUSE_SECONDS)]
    await platform.call(entry, { path: '/busy/1', id: 'paused' })
    await platform.waitUntil(() => entry.lines.some(({ step }) => step === 'cool-down-worker'))
    sendHead('upload')
    await checkRefused('workers-cooling-down')
    const seconds = Number(/retry-after: ([\d.]+)/i.exec(received)![1])
    assert.ok(seconds > PAUSE_SECONDS - 10 && seconds < PAUSE_SECONDS + 10, `told ${seconds} s`)
  })

  it('is refused when the queues are longer than its time', async () => {
    platform.workers.get('w-2')!.workMs = 2_000
    const calls = Array.from({ length: 60 }, async (_, index) => { await platform.call(entry, { path: '/busy/1', id: `busy-${index}` }).catch(() => {}) })
    await platform.waitUntil(() => platform.workers.get('w-2')!.arrivals > 4)
    await setTimeout(SATURATION_VALIDITY_MS)
    sendHead('upload', 400)
    await checkRefused('too-late')
    await Promise.all(calls)
  })

  // Guards against urgent uploads that are refused before anybody counts them, while less urgent requests are served.
  it('counts as refused, so that less urgent requests yield', async () => {
    platform.putConfiguration(ROUTES.map((route) => ({ ...route, Priority: route.Name === 'uploads' ? 0 : 5 })))
    await platform.waitUntil(() => entry.lines.filter(({ change }) => change === 'document-adopted').length > 1)
    platform.workers.get('w-2')!.workMs = 2_000
    const calls = Array.from({ length: 60 }, async (_, index) => { await platform.call(entry, { path: '/busy/1', id: `busy-${index}` }).catch(() => {}) })
    await platform.waitUntil(() => platform.workers.get('w-2')!.arrivals > 4)
    await setTimeout(SATURATION_VALIDITY_MS)
    for (let index = 0; index < 20; index++) {
      sendHead(`upload-${index}`, 400)
      socket.write(BODY)
    }
    await platform.waitUntil(() => entry.lines.filter(({ step, requestId }) => step === 'end-request' && String(requestId).startsWith('upload-')).length === 20)
    const refused = entry.lines.filter(({ step, requestId, reason }) => step === 'end-request' && String(requestId).startsWith('upload-') && reason === 'too-late').length
    assert.equal(refused, 20)
    await setTimeout(LIMITS_VALIDITY_MS)
    calls.push(...Array.from({ length: 10 }, async (_, index) => { await platform.call(entry, { path: '/busy/1', id: `later-${index}` }).catch(() => {}) }))
    await Promise.all(calls)
    assert.ok(entry.lines.some(({ step, priority }) => step === 'yield-request' && priority === 5))
  })

  it('is read and served as before while there is room', async () => {
    sendHead('upload')
    socket.write(BODY)
    await platform.waitUntil(() => received.endsWith('the whole answer'))
    assert.deepEqual(platform.workers.get('w-2')!.runs.map(({ requestId, bodyLength }) => [requestId, bodyLength]), [['upload', UPLOAD_BYTES]])
  })

  // Guards against a body that nobody reads, behind which the end of the connection stays unseen.
  it('doesn\'t hide that its caller leaves, while a request before it on the connection runs', async () => {
    await removeWorker()
    const worker = platform.workers.get('w-1')!
    worker.workMs = 2_000
    socket.write('GET /a/slow HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: slow\r\nX-Umberspar-Deadline-Ms: 3000\r\n\r\n')
    await platform.waitUntil(() => worker.arrivals === 1)
    sendHead('upload', 3_000, LONG_UPLOAD_BYTES)
    socket.write('x'.repeat(LONG_UPLOAD_BYTES))
    await platform.waitUntil(() => entry.lines.some(({ step, requestId }) => step === 'end-request' && requestId === 'upload'))
    socket.end()
    await platform.waitUntil(() => entry.lines.some(({ step, requestId }) => step === 'end-request' && requestId === 'slow'))
    const line = entry.lines.find(({ step, requestId }) => step === 'end-request' && requestId === 'slow')
    assert.equal(line?.reason, 'caller-left')
  })

  // Guards against a refusal that is lost, since the connection is reset with a part of the body unread.
  it('gets its refusal although the process drains and closes the connection', async () => {
    await removeWorker()
    let failure: Error | undefined
    socket.on('error', (error) => { failure = error })
    const stopped = new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    sendHead('upload', 3_000, LONG_UPLOAD_BYTES)
    for (let sent = 0; sent < LONG_UPLOAD_BYTES; sent += LONG_UPLOAD_BYTES / 10) {
      socket.write('x'.repeat(LONG_UPLOAD_BYTES / 10))
      await setTimeout(20)
    }
    await platform.waitUntil(() => socket.destroyed || socket.readableEnded)
    assert.equal(failure, undefined)
    await checkRefused('no-worker')
    await stopped
  })

  // Guards against callers that stop in the middle of a refused upload and keep the connection.
  it('loses its connection if the rest of a refused body does not arrive', async () => {
    await removeWorker()
    sendHead('upload')
    await checkRefused('no-worker')
    socket.write(BODY.slice(0, 100))
    await platform.waitUntil(() => socket.destroyed || socket.readableEnded)
    assert.equal(entry.lines.filter(({ step }) => step === 'end-request').length, 1)
  })
})
