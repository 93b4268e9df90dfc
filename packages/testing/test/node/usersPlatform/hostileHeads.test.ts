import assert from 'node:assert/strict'
import fc from 'fast-check'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'

const SEED = 20261202
const ROUTE = { Name: 'lookups', Prefix: '/a/', Service: 'archive' }
const SMUGGLED = 'GET /a/smuggled HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: smuggled\r\n\r\n'
const IDS = 'X-Umberspar-Request-Id: outer\r\nX-Umberspar-Deadline-Ms: 2000\r\n'

/** Heads whose end a lenient reader would see elsewhere; each hides a second request in its body. */
const AMBIGUOUS = [
  `POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n${IDS}Content-Length: ${SMUGGLED.length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${SMUGGLED}`,
  `POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n${IDS}Content-Length: 0\r\nContent-Length: ${SMUGGLED.length}\r\n\r\n${SMUGGLED}`,
  `POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n${IDS}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n${SMUGGLED}`,
  `POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n${IDS}Content-Length : 0\r\n\r\n${SMUGGLED}`,
  `POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n${IDS}Transfer-Encoding:\u000bchunked\r\n\r\n0\r\n\r\n${SMUGGLED}`
]

describe('hostile heads on the users\' platform', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    await platform.addWorker('w-1', 'archive', 'north-1')
    platform.putConfiguration([ROUTE])
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  /** Sends bytes and waits until the connection has ended. */
  async function sendRaw (bytes: string): Promise<string> {
    const [host, port] = entry.settings.listen.callers.split(':')
    return await new Promise((resolve) => {
      let received = ''
      const socket = connect(Number(port), host)
      socket.on('data', (chunk) => { received += chunk.toString('latin1') })
      socket.on('error', () => {})
      socket.on('close', () => { resolve(received) })
      socket.end(bytes, 'latin1')
    })
  }

  it('never lets a worker run what is hidden in the body of an ambiguous request', async () => {
    const worker = platform.workers.get('w-1')!
    for (const bytes of AMBIGUOUS) {
      const received = await sendRaw(bytes)
      assert.match(received, /^HTTP\/1\.1 400/, bytes.split('\r\n').slice(4, 6).join(' / '))
    }
    assert.deepEqual(worker.runs, [])
  })

  it('carries an inner request as the body that it is', async () => {
    const worker = platform.workers.get('w-1')!
    await platform.call(entry, { path: '/a/1', method: 'POST', id: 'outer', body: SMUGGLED })
    assert.deepEqual(worker.runs.map(({ requestId, path, bodyLength }) => ({ requestId, path, bodyLength })), [{ requestId: 'outer', path: '/a/1', bodyLength: SMUGGLED.length }])
  })

  it('goes on serving whatever bytes arrive, and runs no request that was not sent', async () => {
    const worker = platform.workers.get('w-1')!
    const part = fc.oneof(
      fc.constantFrom('GET /a/1 HTTP/1.1\r\n', 'Host: shop.example\r\n', '\r\n', 'Content-Length: 5\r\n', 'Transfer-Encoding: chunked\r\n', '5\r\nabcde\r\n', '0\r\n\r\n', 'X-Umberspar-Request-Id: fuzz\r\n', '\u0000', 'HTTP/1.1 200 OK\r\n'),
      fc.string({ maxLength: 20 })
    )
    await fc.assert(fc.asyncProperty(fc.array(part, { maxLength: 12 }), async (parts) => {
      await sendRaw(parts.join(''))
    }), { seed: SEED, numRuns: 60 })
    assert.ok(worker.runs.every(({ requestId }) => requestId === 'fuzz' || requestId === ''))
    assert.equal((await platform.call(entry, { path: '/a/1', id: 'after' })).status, 200)
  })
})
