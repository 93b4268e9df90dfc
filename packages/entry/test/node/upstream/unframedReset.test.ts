import assert from 'node:assert/strict'
import { it } from 'node:test'
import { Worker } from 'node:worker_threads'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { IdleLimit } from '../../../src/node/upstream/idleLimit.js'
import { ExchangeFailure, UpstreamConnection } from '../../../src/node/upstream/upstreamConnection.js'
import { type OpenFailure, UpstreamPool } from '../../../src/node/upstream/upstreamPool.js'

const OPEN_MS = 5_000

/** How the exchange ended, and what of the body came. */
interface Ending {
  readonly failure: ExchangeFailure | undefined
  readonly body: string
}

async function exchangeOnce (isReset: boolean): Promise<Ending> {
  const ended = new Int32Array(new SharedArrayBuffer(4))
  const server = new Worker(new URL('./resetServer.js', import.meta.url), { workerData: { isReset, ended } })
  const port = await new Promise<number>((resolve) => { server.once('message', resolve) })
  const clock = new SystemClock()
  const pool = new UpstreamPool('127.0.0.1', port, { idHeader: 'x-id' }, new IdleLimit(), clock)
  const connection = await new Promise<UpstreamConnection | OpenFailure>((resolve) => pool.open(1, clock.now() + OPEN_MS, resolve))
  assert.ok(connection instanceof UpstreamConnection)
  const ending = await new Promise<Ending>((resolve) => {
    let body = ''
    connection.send({ head: 'GET / HTTP/1.1\r\n\r\n', body: [], requestId: 'a', isHead: false }, {
      onHead: () => {},
      onBody: (chunk) => {
        body += chunk.toString()
        if (body !== 'first part') return
        // This thread reads nothing until the last bytes and the end are both there.
        server.postMessage('end')
        Atomics.wait(ended, 0, 0)
      },
      onEnd: () => { resolve({ failure: undefined, body }) },
      onFailure: (failure) => { resolve({ failure, body }) }
    })
  })
  await server.terminate()
  return ending
}

it('an answer without length that is reset together with its last bytes is not whole', async () => {
  // A worker crashes in the middle of an answer that ends with its connection. Its
  // last bytes and the reset arrive together, and libuv reports an ordered end.
  // The caller was then given the part as a whole answer.
  assert.equal((await exchangeOnce(true)).failure, ExchangeFailure.Broken)
})

it('an answer without length that ends in order is whole', async () => {
  assert.deepEqual(await exchangeOnce(false), { failure: undefined, body: 'first partsecond part' })
})
