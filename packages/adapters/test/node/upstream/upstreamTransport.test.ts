import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import type { RequestListener } from 'node:http'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { text } from 'node:stream/consumers'
import { afterEach, describe, it } from 'node:test'
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { AttemptRequest } from '../../../src/node/upstream/upstreamTransport.js'
import { AttemptError, ProbeScope, UndiciTransport } from '../../../src/node/upstream/upstreamTransport.js'

const TEST_TIMEOUT_MS = 60_000
const clock = new SystemClock()
const cleanUpSteps: Array<() => Promise<unknown> | void> = []

afterEach(async () => {
  for (const cleanUp of cleanUpSteps.splice(0).reverse()) await cleanUp()
})

async function openServer (server: Server): Promise<string> {
  const sockets = new Set<Socket>()
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  cleanUpSteps.push(async () => {
    for (const socket of sockets) socket.destroy()
    await new Promise((resolve) => { server.close(resolve) })
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function openRawServer (onRequest: (socket: Socket) => void): Promise<string> {
  return openServer(createServer((socket) => { socket.once('data', () => { onRequest(socket) }) }))
}

function openHttpServer (listener: RequestListener): Promise<string> {
  return openServer(createHttpServer(listener))
}

function createTransport (address: string, connections = 2, attemptClock: IClock = clock): UndiciTransport {
  const transport = new UndiciTransport({ clock: attemptClock })
  transport.setWorkers([{ address, connections }])
  cleanUpSteps.push(() => transport.close())
  return transport
}

function createRequest (address: string, changes: Partial<AttemptRequest> = {}): AttemptRequest {
  return {
    workerId: 'worker-1',
    address,
    method: 'POST',
    path: '/work',
    headers: {},
    body: Buffer.from('payload'),
    deadline: createDeadline(clock.now(), TEST_TIMEOUT_MS),
    signal: new AbortController().signal,
    ...changes
  }
}

async function expectBodyError (transport: UndiciTransport, address: string): Promise<AttemptError> {
  const sent = await transport.send(createRequest(address))
  assert.ok(sent.ok)
  const failure = await text(sent.val.body).then(() => assert.fail('the body ended without an error'), (error: unknown) => error)
  assert.ok(failure instanceof AttemptError)
  return failure
}

describe('UndiciTransport, whether a request may have been sent', () => {
  it('reports the request as unsent when the worker refuses the connection', async () => {
    // The worker's process is gone and its port responds with a reset. The request, a payment
    // for example, can't have been executed, so it may be retried at another worker.
    const server = createServer()
    const address = await openServer(server)
    await new Promise((resolve) => { server.close(resolve) })
    const transport = createTransport(address)
    const body = Buffer.from('payload')
    const sent = await transport.send(createRequest(address, { body }))
    assert.ok(sent.err)
    assert.deepEqual([sent.val.code, sent.val.mayHaveBeenSent, sent.val.peer], [ErrorCode.Unavailable, false, address])
  })

  it('reports the request as possibly sent when the worker resets the connection after receiving it', async () => {
    // The worker reads the request, a payment for example, and crashes before it responds. The
    // payment may have been executed, so the request must not be reported as unsent.
    const address = await openRawServer((socket) => { socket.resetAndDestroy() })
    const sent = await createTransport(address).send(createRequest(address))
    assert.ok(sent.err)
    assert.deepEqual([sent.val.code, sent.val.mayHaveBeenSent, sent.val.hasHeaders], [ErrorCode.EffectUnknown, true, false])
  })

  for (const [ending, end] of Object.entries({ 'closes its connection': (socket: Socket) => { socket.destroy() }, 'resets its connection': (socket: Socket) => { socket.resetAndDestroy() } })) {
    it(`reports the request as possibly sent when the worker ${ending} in the middle of a response without a length`, async () => {
      // Guards against a part of a response that reaches its caller as a complete one.
      const address = await openRawServer((socket) => { socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart', () => { end(socket) }) })
      const sent = await createTransport(address).send(createRequest(address))
      assert.ok(sent.err)
      assert.deepEqual([sent.val.code, sent.val.mayHaveBeenSent], [ErrorCode.EffectUnknown, true])
    })
  }

  it('rejects a request immediately if no connection is free, and sends one after the limit has been raised', async () => {
    const finishResponses: Array<() => void> = []
    const arrivals: Array<() => void> = []
    const address = await openHttpServer((_request, response) => {
      finishResponses.push(() => { response.end('done') })
      arrivals.shift()?.()
    })
    const transport = createTransport(address, 1)
    const hasArrived = new Promise<void>((resolve) => { arrivals.push(resolve) })
    const first = transport.send(createRequest(address))
    await hasArrived
    const second = await transport.send(createRequest(address))
    assert.ok(second.err)
    assert.deepEqual([second.val.code, second.val.mayHaveBeenSent], [ErrorCode.Exhausted, false])
    transport.setWorkers([{ address, connections: 2 }])
    const hasThirdArrived = new Promise<void>((resolve) => { arrivals.push(resolve) })
    const third = transport.send(createRequest(address))
    await hasThirdArrived
    transport.setWorkers([])
    for (const finish of finishResponses) finish()
    for (const sent of await Promise.all([first, third])) {
      assert.ok(sent.ok)
      assert.equal(await text(sent.val.body), 'done', 'a removed worker finishes its requests in flight')
    }
    const removed = await transport.send(createRequest(address))
    assert.ok(removed.err)
    assert.equal(removed.val.mayHaveBeenSent, false)
  })
})

describe('UndiciTransport, incomplete responses', () => {
  it('fails a body that ends before its Content-Length', async () => {
    // The worker crashes while it sends its response, and the connection closes without an
    // error. If the stream ended cleanly, the caller would take a partial document for a
    // complete one.
    const address = await openRawServer((socket) => { socket.end('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf') })
    const failure = await expectBodyError(createTransport(address), address)
    assert.deepEqual([failure.code, failure.hasHeaders], [ErrorCode.EffectUnknown, true])
  })

  it('fails a chunked body with a missing last chunk or invalid chunking', async () => {
    const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'
    for (const invalidTail of ['', 'zz\r\n']) {
      const address = await openRawServer((socket) => { socket.end(head + invalidTail) })
      const failure = await expectBodyError(createTransport(address), address)
      assert.equal(failure.hasHeaders, true)
    }
  })
})

describe('UndiciTransport, cancellation and deadlines', () => {
  it('cancels the request at the worker when the signal is aborted, before and after the headers', async () => {
    for (const hasHeaders of [false, true]) {
      const abortController = new AbortController()
      let onArrival = (): void => {}
      const hasArrived = new Promise<void>((resolve) => { onArrival = resolve })
      let onClose = (): void => {}
      const hasClosed = new Promise<void>((resolve) => { onClose = resolve })
      const address = await openHttpServer((_request, response) => {
        response.on('close', onClose)
        if (hasHeaders) response.write('part')
        onArrival()
      })
      const sendPromise = createTransport(address).send(createRequest(address, { signal: abortController.signal }))
      await hasArrived
      if (!hasHeaders) abortController.abort()
      const sent = await sendPromise
      assert.equal(sent.ok, hasHeaders)
      if (sent.ok) {
        abortController.abort()
        await assert.rejects(text(sent.val.body), (error: unknown) => error instanceof AttemptError && error.code === ErrorCode.Cancelled)
      } else {
        assert.deepEqual([sent.val.code, sent.val.mayHaveBeenSent], [ErrorCode.Cancelled, true])
      }
      await hasClosed
    }
  })

  it('reports a request as possibly sent when its deadline passes, and does not send one whose deadline has passed', async () => {
    let fireDeadline = (): void => {}
    const stoppedClock: IClock = {
      now: () => 0,
      getWallTime: () => 0,
      schedule: (_at, callback) => {
        fireDeadline = callback
        return { close: () => {} }
      }
    }
    let onClose = (): void => {}
    const hasClosed = new Promise<void>((resolve) => { onClose = resolve })
    const address = await openHttpServer((_request, response) => {
      response.on('close', onClose)
      fireDeadline()
    })
    const transport = createTransport(address, 1, stoppedClock)
    const late = await transport.send(createRequest(address, { deadline: 0 }))
    assert.ok(late.err)
    assert.deepEqual([late.val.code, late.val.mayHaveBeenSent], [ErrorCode.DeadlinePassed, false])
    const overdue = await transport.send(createRequest(address, { deadline: 1 }))
    assert.ok(overdue.err)
    assert.deepEqual([overdue.val.code, overdue.val.mayHaveBeenSent, overdue.val.hasHeaders], [ErrorCode.EffectUnknown, true, false])
    await hasClosed
  })
})

describe('UndiciTransport, complete responses', () => {
  it('keeps repeated headers, removes hop-by-hop headers and supports HEAD, 103, 204 and 304', async () => {
    const statuses: Readonly<Record<string, number>> = { '/204': 204, '/304': 304 }
    const address = await openHttpServer((request, response) => {
      response.writeEarlyHints({ link: '</style.css>; rel=preload' })
      response.setHeader('set-cookie', ['a=1', 'b=2'])
      response.setHeader('x-hop', String(request.headers['x-hop']))
      response.statusCode = statuses[request.url ?? ''] ?? 200
      response.end(response.statusCode === 200 ? 'body' : undefined)
    })
    const transport = createTransport(address)
    const expectations = [['GET', '/', 200, 'body'], ['HEAD', '/', 200, ''], ['GET', '/204', 204, ''], ['GET', '/304', 304, '']] as const
    for (const [method, path, status, body] of expectations) {
      const headers = { Connection: 'x-hop', 'X-Hop': 'no' }
      const sent = await transport.send(createRequest(address, { method, path, headers, body: null }))
      assert.ok(sent.ok)
      assert.equal(sent.val.status, status)
      assert.deepEqual(sent.val.headers['set-cookie'], ['a=1', 'b=2'])
      assert.equal(sent.val.headers['x-hop'], 'undefined')
      assert.equal(sent.val.headers['connection'], undefined)
      assert.equal(await text(sent.val.body), body)
    }
  })

  it('probes health and load, and reports an invalid response as an error', async () => {
    const responses: Record<string, [number, string]> = {
      '/health': [503, '{"state":"draining"}'],
      '/load': [200, '{"utilization":0.5,"inFlight":2}']
    }
    const address = await openHttpServer((request, response) => {
      const [status, body] = responses[request.url ?? ''] ?? [404, '']
      response.writeHead(status).end(body)
    })
    const transport = createTransport(address)
    const deadline = createDeadline(clock.now(), TEST_TIMEOUT_MS)
    const probe = await transport.probe(address, deadline, ProbeScope.HealthAndLoad)
    assert.deepEqual(probe.val, { isHealthy: false, isDraining: true, isStarting: false, load: { utilization: 0.5, inFlight: 2 } })
    const health = await transport.probe(address, deadline, ProbeScope.Health)
    assert.deepEqual(health.val, { isHealthy: false, isDraining: true, isStarting: false, load: undefined })
    responses['/load'] = [200, '{"utilization":"much"}']
    const invalid = await transport.probe(address, deadline, ProbeScope.HealthAndLoad)
    assert.ok(invalid.err)
    assert.equal(invalid.val.code, ErrorCode.Invalid)
  })
})
