import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, describe, test } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { DEFAULT_LISTENER_LIMITS, type ListenerLimits } from '@umberspar/adapters/node/settings/listenerSettings'
import { HttpListener, type HttpListenerOptions } from '../../../src/node/httpListener.js'
import { exchangeRaw, openSocket, readResponse } from './rawExchange.js'

const HOST = 'Host: a\r\n'
const POST = `POST /p HTTP/1.1\r\n${HOST}`
const SMUGGLED = 'GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n'
let closing = new CloseStack()

afterEach(async () => {
  await closing.close()
  closing = new CloseStack()
})

interface TestListener {
  readonly address: string
  /** `METHOD url body` of every request that reached the handler. */
  readonly requests: string[]
}

async function startListener (limits: Partial<ListenerLimits> = {}, options: HttpListenerOptions = {}): Promise<TestListener> {
  const requests: string[] = []
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    let body = ''
    for await (const part of request) body += String(part)
    requests.push(`${request.method} ${request.url} ${body}`)
    response.end('served')
  }
  const listener = closing.add(new HttpListener('test', handle as never, { ...options, limits: { ...DEFAULT_LISTENER_LIMITS, ...limits } }))
  const address = await listener.listen('127.0.0.1:0')
  assert.ok(address.ok)
  return { address: address.val, requests }
}

/** Framing that two programs may interpret differently. Each is followed by a request that must never be handled. */
const AMBIGUOUS_REQUESTS: Readonly<Record<string, string>> = {
  'Content-Length before Transfer-Encoding': `${POST}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'Transfer-Encoding before Content-Length': `${POST}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n`,
  'Content-Length twice, different': `${POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab`,
  'Content-Length twice, the same': `${POST}Content-Length: 1\r\nContent-Length: 1\r\n\r\na`,
  'Content-Length as a list': `${POST}Content-Length: 1, 1\r\n\r\na`,
  'Content-Length with a sign': `${POST}Content-Length: +1\r\n\r\na`,
  'Content-Length below 0': `${POST}Content-Length: -1\r\n\r\n`,
  'Content-Length in hexadecimal': `${POST}Content-Length: 0x1\r\n\r\na`,
  'Content-Length empty': `${POST}Content-Length: \r\n\r\n`,
  'Content-Length beyond 64 bits': `${POST}Content-Length: 99999999999999999999999\r\n\r\n`,
  'space before the colon': `${POST}Content-Length : 1\r\n\r\na`,
  'folded field': `${POST}X-A: b\r\n c\r\n\r\n`,
  'folded Transfer-Encoding': `${POST}Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n`,
  'chunk size that is no number': `${POST}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`,
  'chunk size beyond 64 bits': `${POST}Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n`,
  'chunk size ended by LF': `${POST}Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n`,
  'chunk longer than its size': `${POST}Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n`,
  'chunk extension with LF': `${POST}Transfer-Encoding: chunked\r\n\r\n3;a="b\nc"\r\nabc\r\n0\r\n\r\n`,
  'chunk size with a space': `${POST}Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n`,
  'Transfer-Encoding identity': `${POST}Transfer-Encoding: identity\r\n\r\nabc`,
  'Transfer-Encoding xchunked': `${POST}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
  'Transfer-Encoding where chunked is not last': `${POST}Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n`,
  'Transfer-Encoding twice': `${POST}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'Transfer-Encoding in HTTP/1.0': `POST /p HTTP/1.0\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'bare LF in the request line': 'GET /p HTTP/1.1\nHost: a\n\n',
  'bare LF after a field': 'GET /p HTTP/1.1\r\nHost: a\nX: y\r\n\r\n',
  'bare LF at the end of the header': 'GET /p HTTP/1.1\r\nHost: a\r\n\n',
  'bare CR in a value': `GET /p HTTP/1.1\r\n${HOST}X: a\rb\r\n\r\n`,
  'NUL in a value': `GET /p HTTP/1.1\r\n${HOST}X: a\0b\r\n\r\n`,
  'no Host': 'GET /p HTTP/1.1\r\n\r\n',
  'two Hosts': `GET /p HTTP/1.1\r\n${HOST}Host: b\r\n\r\n`,
  'field without a colon': `GET /p HTTP/1.1\r\n${HOST}Foo\r\n\r\n`,
  'space before the first field': `GET /p HTTP/1.1\r\n ${HOST}\r\n`,
  'space in the target': `GET /a b HTTP/1.1\r\n${HOST}\r\n`,
  'bytes above 0x7f in the target': `GET /\xff\xe9 HTTP/1.1\r\n${HOST}\r\n`,
  'control byte in the target': `GET /a\x01b HTTP/1.1\r\n${HOST}\r\n`,
  'fragment in the target': `GET /a#b HTTP/1.1\r\n${HOST}\r\n`,
  'backslash in the path': `GET /v1/services/a\\..\\b HTTP/1.1\r\n${HOST}\r\n`,
  'escaped line end in the path': `GET /a%0d%0aX:%20y HTTP/1.1\r\n${HOST}\r\n`,
  'broken percent-encoding in the path': `GET /a%zz HTTP/1.1\r\n${HOST}\r\n`,
  'escapes that are no UTF-8': `GET /a%ff HTTP/1.1\r\n${HOST}\r\n`,
  'target of another scheme': `GET ftp://a/p HTTP/1.1\r\n${HOST}\r\n`
}

// Request smuggling: a proxy in front uses the first of two lengths, this daemon the
// second. What one parses as a body, the other parses as a request, and the next
// caller on that connection receives the response to an attacker's request.
describe('a request that could be interpreted in two ways is refused with 400 and its connection closed', () => {
  for (const [name, bytes] of Object.entries(AMBIGUOUS_REQUESTS)) {
    test(name, async () => {
      const { address, requests } = await startListener()
      const response = await exchangeRaw(address, bytes + SMUGGLED)
      assert.equal(response.statuses.at(-1), 400, response.text)
      assert.equal(response.statuses.length, 1)
      assert.equal(response.isClosed, true)
      assert.deepEqual(requests, [])
    })
  }
})

/** Well-formed requests that are not supported, with their response status. */
const UNSUPPORTED_REQUESTS: ReadonlyArray<readonly [number, string]> = [
  [501, `${POST}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`],
  [501, `GET /p HTTP/1.1\r\n${HOST}Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n`],
  [405, `CONNECT b:1 HTTP/1.1\r\n${HOST}\r\n`],
  [405, `TRACE /p HTTP/1.1\r\n${HOST}\r\n`],
  [505, `GET /p HTTP/2.0\r\n${HOST}\r\n`],
  [400, `GET /p HTTP/1.1\r\n${HOST}umberspar-request-id: ${'x'.repeat(300)}\r\n\r\n`],
  [414, `GET /${'x'.repeat(3000)} HTTP/1.1\r\n${HOST}\r\n`],
  [431, `GET /p HTTP/1.1\r\n${HOST}X: ${'x'.repeat(9000)}\r\n\r\n`],
  [431, `GET /p HTTP/1.1\r\n${HOST}${'X: y\r\n'.repeat(30)}\r\n`]
]

test('tunnels, upgrades, TRACE, other HTTP versions and too large headers are refused and the connection closed', async () => {
  const { address, requests } = await startListener({ maxHeaderBytes: 8192, maxHeaderFields: 30, maxTargetBytes: 2048 })
  for (const [status, bytes] of UNSUPPORTED_REQUESTS) {
    const response = await exchangeRaw(address, bytes + SMUGGLED)
    assert.deepEqual({ statuses: response.statuses, isClosed: response.isClosed }, { statuses: [status], isClosed: true }, bytes.slice(0, 80))
  }
  assert.deepEqual(requests, [])
})

test('unusual but unambiguous requests are handled: absolute form, an h2c upgrade, a body with GET, pipelining, odd queries', async () => {
  const { address, requests } = await startListener()
  const bytes = [
    `GET http://a/p?x=%zz&y=a\\b%0A HTTP/1.1\r\n${HOST}\r\n`,
    `GET http://a HTTP/1.1\r\n${HOST}\r\n`,
    `GET /d HTTP/1.1\r\n${HOST}Content-Length: 3\r\n\r\nabc`,
    `POST /e HTTP/1.1\r\n${HOST}Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n`,
    `GET //b//../c HTTP/1.1\r\n${HOST}Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n\r\n`
  ]
  const response = await exchangeRaw(address, bytes.join(''), (text) => text.split('served').length > bytes.length)
  assert.deepEqual(response.statuses, [200, 200, 200, 200, 200])
  assert.deepEqual(new Set(requests), new Set(['GET /p?x=%zz&y=a\\b%0A ', 'GET / ', 'GET /d abc', 'POST /e abc', 'GET //b//../c ']))
})

// Slowloris attack: a client opens connections and sends header bytes very slowly, or
// nothing at all, until no legitimate caller gets a connection.
test('connections with an incomplete header, and idle new connections, are closed', async () => {
  const { address } = await startListener({ headersWithinMs: 100 })
  const silent = await readResponse(await openSocket(address))
  const half = await exchangeRaw(address, 'GET /p HTTP/1.1\r\nHost:')
  assert.deepEqual([silent.isClosed, half.isClosed], [true, true])
  assert.deepEqual(half.statuses, [408])
})

// A client announces a large body, sends two bytes of it and stalls: the request would
// occupy a worker's slot until its deadline.
test('a connection whose body stalls is closed, a request whose body arrives is handled', async () => {
  const { address, requests } = await startListener({ bodyProgressWithinMs: 100, minBodyBytes: 10 })
  const stalled = await exchangeRaw(address, `${POST}Content-Length: 1000\r\n\r\nab`)
  assert.deepEqual([stalled.isClosed, requests], [true, []])
  const complete = await exchangeRaw(address, `${POST}Content-Length: 2\r\n\r\nab`, (text) => text.endsWith('served'))
  assert.deepEqual([complete.statuses, requests], [[200], ['POST /p ab']])
})

// One client address opens connections without limit; another must still get one.
test('connections are limited per client address and in total, but not per address for forwarders', async () => {
  const isForwarder = (address: string): boolean => address === '127.0.0.9'
  const { address } = await startListener({ maxConnectionsPerAddress: 2, maxConnections: 6 }, { isForwarder })
  const request = `GET /p HTTP/1.1\r\n${HOST}\r\n`
  const canConnect = async (localAddress: string, isKept: boolean): Promise<boolean> => {
    const socket = await openSocket(address, localAddress)
    const answered = new Promise<boolean>((resolve) => {
      socket.once('data', () => resolve(true))
      socket.once('close', () => resolve(false))
      socket.on('error', () => {})
    })
    socket.write(request)
    const isServed = await answered
    if (isKept) closing.add({ close: () => { socket.destroy() } })
    else socket.destroy()
    return isServed
  }
  assert.deepEqual([await canConnect('127.0.0.2', true), await canConnect('127.0.0.2', true), await canConnect('127.0.0.2', true)], [true, true, false])
  assert.equal(await canConnect('127.0.0.3', true), true)
  assert.deepEqual([await canConnect('127.0.0.9', true), await canConnect('127.0.0.9', true), await canConnect('127.0.0.9', true)], [true, true, true])
  assert.equal(await canConnect('127.0.0.4', true), false)
})

// An upstream sends a header that makes a handler throw, in a route whose promise
// isn't awaited: the process would exit and abort every other caller's request.
test('a handler that throws or rejects breaks its own connection only', async () => {
  const handle = (request: IncomingMessage, response: ServerResponse): unknown => {
    if (request.url === '/throw') throw new Error('planted')
    if (request.url === '/reject') return Promise.reject(new Error('planted'))
    return response.end('served')
  }
  const listener = closing.add(new HttpListener('test', handle as never))
  const address = await listener.listen('127.0.0.1:0')
  assert.ok(address.ok)
  for (const path of ['/throw', '/reject']) {
    const broken = await exchangeRaw(address.val, `GET ${path} HTTP/1.1\r\n${HOST}\r\n`)
    assert.deepEqual([broken.isClosed, broken.text], [true, ''])
  }
  const served = await exchangeRaw(address.val, `GET /p HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`)
  assert.deepEqual(served.statuses, [200])
})
