import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { ConnectionResources } from '../../../src/node/http/connectionResources.js'
import { addServerGuard } from '../../../src/node/http/guardedServer.js'
import { SystemClock } from '../../../src/node/systemClock.js'

const SEED = 20261205
const MAX_IN_FLIGHT = 3
const MAX_HEAD_BYTES = 2_000

describe('a server behind a guard', () => {
  let resources: ConnectionResources
  let server: Server
  let caller: Socket
  let received = ''
  /** Requests with their bodies, and the responses that are still to be written. */
  let requests: Array<{ readonly target: string, body: string }>
  let open: ServerResponse[]

  beforeEach(async () => {
    resources = new ConnectionResources({ clock: new SystemClock(), maxBytes: 1_000_000 })
    requests = []
    open = []
    server = createServer((request, response) => { accept(request, response) })
    addServerGuard(server, { resources, maxInFlight: MAX_IN_FLIGHT, maxHeadBytes: MAX_HEAD_BYTES, headTimeoutMs: 1_000, unknownCodingStatus: 501 })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    await openConnection()
  })

  afterEach(async () => {
    caller.destroy()
    server.closeAllConnections()
    server.close()
    await once(server, 'close')
    resources.close()
  })

  function accept (request: IncomingMessage, response: ServerResponse): void {
    const entry = { target: request.url ?? '', body: '' }
    requests.push(entry)
    open.push(response)
    request.setEncoding('latin1').on('data', (text: string) => { entry.body += text })
  }

  async function openConnection (): Promise<void> {
    received = ''
    caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
    caller.on('data', (chunk) => { received += chunk.toString('latin1') })
    caller.on('error', () => {})
    await once(caller, 'connect')
  }

  async function waitUntil (holds: () => boolean): Promise<void> {
    while (!holds()) await new Promise((resolve) => { setImmediate(resolve) })
  }

  function formatGet (target: string): string {
    return `GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`
  }

  it('handles only some requests of a connection at a time, and the others in their order', async () => {
    const targets = Array.from({ length: 10 }, (_, index) => `/${index}`)
    caller.write(targets.map(formatGet).join(''))
    for (let answered = 0; answered < targets.length; answered++) {
      await waitUntil(() => requests.length >= Math.min(targets.length, answered + MAX_IN_FLIGHT))
      assert.ok(requests.length <= answered + MAX_IN_FLIGHT)
      open[answered]!.end(targets[answered])
    }
    await waitUntil(() => received.includes('/9'))
    assert.deepEqual(requests.map(({ target }) => target), targets)
  })

  it('tells all responses of a connection that it has ended', async () => {
    caller.write(['/0', '/1', '/2'].map(formatGet).join(''))
    await waitUntil(() => open.length === 3)
    const closed = open.map(() => false)
    for (const [index, response] of open.entries()) response.once('close', () => { closed[index] = true })
    caller.destroy()
    await waitUntil(() => closed.every((isClosed) => isClosed))
  })

  it('answers all requests that a caller has sent ahead and whose responses it reads late', async () => {
    const targets = Array.from({ length: 1_000 }, (_, index) => `/${index}`)
    server.on('request', (request, response) => { response.end(`${'x'.repeat(20_000 + Number(request.url!.slice(1)))};`) })
    caller.pause()
    caller.write(targets.map(formatGet).join(''))
    await waitUntil(() => open.length > MAX_IN_FLIGHT)
    for (let turn = 0; turn < 100; turn++) await new Promise((resolve) => { setImmediate(resolve) })
    caller.resume()
    await waitUntil(() => received.split(';').length === targets.length + 1)
    assert.deepEqual(requests.map(({ target }) => target), targets)
  })

  it('passes bodies on whole, however they are cut into chunks and packets', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.string({ unit: 'binary-ascii', minLength: 1, maxLength: 40 }), { maxLength: 6 }), fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 8 }), async (chunks, lengths) => {
      const before = requests.length
      const body = chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')
      let bytes = `POST /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${body}0\r\n\r\n${formatGet('/next')}`
      for (const length of lengths) {
        caller.write(bytes.slice(0, length), 'latin1')
        bytes = bytes.slice(length)
        await new Promise((resolve) => { setImmediate(resolve) })
      }
      caller.write(bytes, 'latin1')
      await waitUntil(() => requests.length === before + 2)
      assert.equal(requests[before]!.body, chunks.join(''))
      for (const response of open.splice(0)) response.end('done')
    }), { seed: SEED, numRuns: 100 })
  })

  it('refuses a head that is too long or malformed behind the responses before it', async () => {
    caller.write(formatGet('/0'))
    await waitUntil(() => open.length === 1)
    open[0]!.end('first')
    await waitUntil(() => received.includes('first'))
    caller.write(`GET /1 HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(MAX_HEAD_BYTES)}\r\n\r\n`)
    await once(caller, 'close')
    assert.deepEqual([...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status), ['200', '431'])
    await openConnection()
    caller.write(`${formatGet('/2')}GET /3 HTTP/1.1\nHost: a\n\n`)
    await waitUntil(() => open.length === 2)
    open[1]!.end('last')
    await once(caller, 'close')
    assert.deepEqual(requests.map(({ target }) => target), ['/0', '/2'])
  })
})
