import fc from 'fast-check'
import { createSocket } from 'node:dgram'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { EntryTrial } from '../../../../src/node/clients/entryTrial.js'
import { checkCrowd, checkResult, MACHINE, MANY_CONNECTIONS, SMALL_MACHINE } from './trialChecks.js'

const SEED = 20261205
const LOOKUP = 'GET /umberspar/resolve?Name=shop.example&Region=north&Zone=north-1 HTTP/1.1\r\nHost: a\r\n\r\n'
const READINESS = 'GET /umberspar/readyz HTTP/1.1\r\nHost: a\r\n\r\n'
const METRICS = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'
const RELAYED = 'GET /v1/relay/a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: crowd\r\nX-Umberspar-Deadline-Ms: 3000\r\numberspar-relay: 0 archive\r\n\r\n'
const UNKNOWN = 'GET /none HTTP/1.1\r\nHost: a\r\n\r\n'
const MANY_LINES = `GET /umberspar/readyz HTTP/1.1\r\nHost: a\r\n${'ab:\r\n'.repeat(8_000)}\r\n`

// Guards against requests that are kept at listeners which answer at once, and against a loop that serves one of their clients only.
describe('clients of the other listeners', { timeout: 900_000 }, () => {
  for (const [name, request] of Object.entries({ 'look-ups': LOOKUP, 'readiness checks': READINESS, 'requests of other VMs': RELAYED, 'unknown paths': UNKNOWN, 'heads of many lines': MANY_LINES })) {
    it(`do not exhaust the process: ${name} sent ahead`, async () => {
      await checkCrowd(({ settings }) => ({ address: settings.listen.lookups, connections: MANY_CONNECTIONS, bytes: { repeated: request } }), SMALL_MACHINE)
    })
  }

  it('do not exhaust the process: requests for metrics sent ahead', async () => {
    await checkCrowd(({ settings }) => ({ address: settings.listen.metrics, connections: MANY_CONNECTIONS, bytes: { repeated: METRICS } }), SMALL_MACHINE)
  })

  it('do not exhaust the process: trailers without end', async () => {
    await checkCrowd(({ settings }) => ({ address: settings.listen.lookups, connections: MANY_CONNECTIONS, bytes: { first: `${LOOKUP.slice(0, -2)}Transfer-Encoding: chunked\r\n\r\n0\r\n`, repeated: 'ab:cd\r\n', maxRepeatedBytes: 70_000 } }), SMALL_MACHINE)
  })

  it('do not exhaust the process: any bytes at any listener', async () => {
    const trial = new EntryTrial(MACHINE)
    try {
      await trial.start()
      const { listen } = trial.settings
      const part = fc.oneof(fc.constantFrom(LOOKUP, METRICS, RELAYED, '\r\n', 'Content-Length: 5\r\n', '0\r\n\r\n', '{"', '\u0000', '\u001f\u008b'), fc.string({ unit: 'binary-ascii', maxLength: 40 }))
      await fc.assert(fc.asyncProperty(fc.constantFrom(listen.callers, listen.lookups, listen.metrics), fc.array(part, { maxLength: 8 }), async (address, parts) => {
        await sendBytes(address, parts.join(''))
        await sendDatagram(listen.exchange!, parts.join(''))
      }), { seed: SEED, numRuns: 200 })
      checkResult(await trial.finish(), MACHINE)
    } finally {
      await trial.close()
    }
  })
})

/** Sends bytes and ends the connection; settled when the other side has closed it. */
async function sendBytes (address: string, bytes: string): Promise<void> {
  const [host, port] = address.split(':')
  await new Promise<void>((resolve) => {
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    socket.on('close', () => { resolve() })
    socket.resume()
    socket.end(bytes, 'latin1')
  })
}

async function sendDatagram (address: string, bytes: string): Promise<void> {
  const [host, port] = address.split(':')
  const socket = createSocket('udp4')
  await new Promise<void>((resolve) => { socket.send(Buffer.from(bytes, 'latin1'), Number(port), host, () => { resolve() }) })
  socket.close()
}
