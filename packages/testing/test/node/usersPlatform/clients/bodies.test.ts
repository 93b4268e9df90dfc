import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EntryTrial } from '../../../../src/node/clients/entryTrial.js'
import type { TrialMachine } from '../../../../src/node/clients/trial.js'
import { checkCrowd, CHUNKED_HEAD, CONNECTIONS, MACHINE, MANY_CONNECTIONS, ORDINARY_HEAD, SMALL_MACHINE, UNROUTED_CHUNKED_HEAD } from './trialChecks.js'

const ROUTES = { 'on a route': CHUNKED_HEAD, 'on no route': UNROUTED_CHUNKED_HEAD }
/** Connections that each hold what a parser keeps of one message. */
const HOLDING_CONNECTIONS = 800
/** Just below the limit of 64 kB that Node.js sets for the head and the trailers of a message. */
const TRAILER_BYTES = 60_000

const TRAILERS: Readonly<Record<string, string>> = {
  'trailers without end': '0\r\n',
  'a trailer line without end': '0\r\nx: ',
  'a chunk extension without end': '5;x='
}
const REPEATED: Readonly<Record<string, string>> = {
  'trailers without end': 'ab:cd\r\n',
  'a trailer line without end': 'y',
  'a chunk extension without end': 'y'
}

// Guards against framing beside the body that is kept without a limit.
describe('framing without end behind a chunked body', { timeout: 900_000 }, () => {
  for (const [route, head] of Object.entries(ROUTES)) {
    for (const [name, first] of Object.entries(TRAILERS)) {
      it(`does not exhaust the process: ${name}, ${route}`, async () => {
        await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: MANY_CONNECTIONS, bytes: { first: `${head}${first}`, repeated: REPEATED[name]! } }), SMALL_MACHINE)
      })
    }

    it(`does not exhaust the process: trailers that stop before a limit, ${route}`, async () => {
      await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: HOLDING_CONNECTIONS, bytes: { first: `${head}${TRAILERS['trailers without end']!}`, repeated: REPEATED['trailers without end']!, maxRepeatedBytes: TRAILER_BYTES } }), SMALL_MACHINE)
    })

    it(`does not exhaust the process: chunks of one byte, ${route}`, async () => {
      await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: MANY_CONNECTIONS, bytes: { first: head, repeated: '1\r\nx\r\n' } }), SMALL_MACHINE)
    })
  }
})

const LIMITS = { MaxHeaderBytes: 16_384, MaxBodyBytes: 20_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }

// Guards against bytes of bodies that the limit on their total size misses.
describe('long bodies', { timeout: 900_000 }, () => {
  for (const [name, path] of Object.entries({ 'on a route': '/up/1', 'on no route': '/none/1' })) {
    it(`of legal size do not exhaust the process, ${name}`, async () => {
      const head = ORDINARY_HEAD.replace('GET /a/1', `POST ${path}`)
      const first = `${head}Content-Length: ${LIMITS.MaxBodyBytes}\r\n\r\n`
      await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: CONNECTIONS, reads: true, bytes: { first, repeated: 'x', maxRepeatedBytes: LIMITS.MaxBodyBytes } }), MACHINE, LIMITS)
    })
  }

  it('of the largest legal size are served in calm', async () => {
    // The smallest machine of the deployments, and their limit.
    const machine: TrialMachine = { memoryMb: 250, maxDescriptors: 4_100 }
    const trial = new EntryTrial(machine)
    try {
      await trial.start({ ...LIMITS, MaxBodyBytes: 67_108_864 })
      const { status } = await trial.call({ path: '/up/1', method: 'POST', id: 'long', body: 'x'.repeat(67_108_864), deadlineMs: 30_000 })
      assert.equal(status, 200)
    } finally {
      await trial.close()
    }
  })
})
