import { describe, it } from 'node:test'
import { checkCrowd, CONNECTIONS, ORDINARY_HEAD, SMALL_MACHINE } from './trialChecks.js'

const REQUESTS: Readonly<Record<string, string>> = {
  'a path that no route has': 'GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n',
  'an unknown host': 'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
  'a good route': `${ORDINARY_HEAD}\r\n`
}
/** Shorter than what is buffered as a whole before it is passed on. */
const LONG_ANSWER = 'y'.repeat(200_000)
/** Connections that hold unread responses together, each a few. */
const READERS = 150

// Guards against requests that are parsed and kept however many of a connection wait for their responses.
describe('requests sent ahead, whose responses are not read', { timeout: 900_000 }, () => {
  for (const [name, request] of Object.entries(REQUESTS)) {
    it(`do not exhaust the process: ${name}`, async () => {
      await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: CONNECTIONS, bytes: { repeated: request } }))
    })
  }

  it('do not exhaust the process: a path that no route has, and the responses are read', async () => {
    await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: CONNECTIONS, reads: true, bytes: { repeated: REQUESTS['a path that no route has']! } }))
  })

  it('do not exhaust the process: an expectation before each body', async () => {
    await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: CONNECTIONS, bytes: { repeated: `${ORDINARY_HEAD}Expect: 100-continue\r\n\r\n` } }), SMALL_MACHINE)
  })

  // Guards against responses that wait in memory for callers who do not read them.
  it('do not exhaust the process: long responses on many connections', async () => {
    await checkCrowd(({ settings, worker }) => {
      worker.body = LONG_ANSWER
      return { address: settings.listen.callers, connections: READERS, bytes: { repeated: `${ORDINARY_HEAD}\r\n`, maxRepeatedBytes: 65_536 } }
    })
  })
})
