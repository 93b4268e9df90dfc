import assert from 'node:assert/strict'
import { validateHeaderName, validateHeaderValue } from 'node:http'
import { type AddressInfo, createServer } from 'node:net'
import { after, before, test } from 'node:test'
import fc from 'fast-check'
import { createDeadline } from '@umberspar/base/common/deadline'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { UndiciTransport } from '../../../src/node/upstream/upstreamTransport.js'

const SEED = 11
const REQUEST_TIMEOUT_MS = 5000
const clock = new SystemClock()
const transport = new UndiciTransport({ clock })
let headerBytes = Buffer.alloc(0)
let address = ''

/** A worker that writes `headerBytes` unchanged into its response. */
const worker = createServer((socket) => {
  socket.on('error', () => {})
  socket.on('data', () => {
    const end = '\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok'
    socket.end(Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\n'), headerBytes, Buffer.from(end)]))
  })
})

before(async () => {
  await new Promise<void>((resolve) => { worker.listen(0, '127.0.0.1', resolve) })
  address = `127.0.0.1:${(worker.address() as AddressInfo).port}`
  transport.setWorkers([{ address, connections: 4 }])
})

after(async () => {
  await transport.close()
  worker.close()
})

async function fetchHeaders (bytes: Uint8Array): Promise<Record<string, string | string[]> | undefined> {
  headerBytes = Buffer.from(bytes)
  const deadline = createDeadline(clock.now(), REQUEST_TIMEOUT_MS)
  const sent = await transport.send({ workerId: 'w', address, method: 'GET', path: '/', headers: {}, body: null, deadline, signal: new AbortController().signal })
  if (!sent.ok) return undefined
  await sent.val.body.resume().toArray()
  return sent.val.headers
}

// Guards against header fields with control characters or non-ASCII text. A daemon forwards
// fields with setHeader, which throws on characters that HTTP does not allow: the caller would
// get no response and the slot would never be released.
test('header fields of a worker can be forwarded byte for byte, or the attempt fails', async () => {
  const title = await fetchHeaders(Buffer.from('X-Title: 护照 é €'))
  assert.equal(Buffer.from(String(title?.['x-title']), 'latin1').toString('utf8'), '护照 é €')
  const bytes = fc.uint8Array({ maxLength: 20 })
  const oneByteInText = fc.integer({ min: 0, max: 255 }).map((byte) => Uint8Array.of(97, byte, 98))
  await fc.assert(fc.asyncProperty(fc.constantFrom('X-Odd: ', ''), fc.oneof(bytes, oneByteInText), async (prefix, suffix) => {
    const headers = await fetchHeaders(Buffer.concat([Buffer.from(prefix), suffix]))
    for (const [name, value] of Object.entries(headers ?? {})) {
      validateHeaderName(name)
      for (const each of [value].flat()) validateHeaderValue(name, each)
    }
  }), { seed: SEED, numRuns: 400 })
})
