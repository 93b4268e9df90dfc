import assert from 'node:assert/strict'
import { it } from 'node:test'
import { Worker } from 'node:worker_threads'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { IdleLimit } from '../../../src/node/upstream/idleLimit.js'
import { ExchangeFailure, UpstreamConnection } from '../../../src/node/upstream/upstreamConnection.js'
import { openSocket, type OpenFailure, UpstreamPool } from '../../../src/node/upstream/upstreamPool.js'

const OPEN_TIMEOUT_MS = 5_000

/** How the exchange ended, and the part of the body that was received. */
interface ExchangeResult {
  readonly failure: ExchangeFailure | undefined
  readonly body: string
}

async function exchangeOnce (isReset: boolean): Promise<ExchangeResult> {
  const ended = new Int32Array(new SharedArrayBuffer(4))
  const server = new Worker(new URL('./resetServer.js', import.meta.url), { workerData: { isReset, ended } })
  const port = await new Promise<number>((resolve) => { server.once('message', resolve) })
  const clock = new SystemClock()
  const pool = new UpstreamPool('127.0.0.1', port, { idHeader: 'x-id' }, () => {}, new IdleLimit(Number.POSITIVE_INFINITY), clock, openSocket)
  const connection = await new Promise<UpstreamConnection | OpenFailure>((resolve) => pool.open(1, clock.now() + OPEN_TIMEOUT_MS, resolve))
  assert.ok(connection instanceof UpstreamConnection)
  const result = await new Promise<ExchangeResult>((resolve) => {
    let body = ''
    connection.send({ head: 'GET / HTTP/1.1\r\n\r\n', body: [], requestId: 'a', isHead: false }, {
      onHead: () => {},
      onBody: (chunk) => {
        body += chunk.toString()
        if (body !== 'first part') return
        // Blocks this thread until both the last bytes and the end have arrived.
        server.postMessage('end')
        Atomics.wait(ended, 0, 0)
      },
      onEnd: () => { resolve({ failure: undefined, body }) },
      onFailure: (failure) => { resolve({ failure, body }) }
    })
  })
  await server.terminate()
  return result
}

it('a response without a length that is reset together with its last bytes is incomplete', async () => {
  // Guards against truncated responses that look complete. A worker crashes in the middle of a
  // response that is delimited by the end of its connection. Its last bytes and the reset arrive
  // together, and libuv reports an orderly end.
  assert.equal((await exchangeOnce(true)).failure, ExchangeFailure.Broken)
})

it('a response without a length that ends with an orderly close is complete', async () => {
  assert.deepEqual(await exchangeOnce(false), { failure: undefined, body: 'first partsecond part' })
})
