import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { ExchangeFailure, UpstreamConnection } from '../../../src/node/upstream/upstreamConnection.js'
import { FakeSocket, MAX_HEAD_BYTES, runTurns } from './fakeSocket.js'

const SEED = 20261204
const RUNS = 1_500
const BODY = 'the whole answer'
const RESPONSES: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'in chunks': `HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n${BODY.slice(0, 4)}\r\nc\r\n${BODY.slice(4)}\r\n0\r\nX-Sum: 1\r\n\r\n`,
  'without a length': `HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n${BODY}`,
  'behind an interim one': `HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'behind a late one': `HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`
}

/** How the worker's side of the connection ends after the response. */
enum ConnectionEnd {
  Orderly = 'orderly',
  Reset = 'reset'
}

interface ExchangeResult {
  readonly results: Array<ExchangeFailure | 'complete'>
  readonly body: string
}

/** Sends one request on a connection of its own, on which the given chunks arrive. */
async function exchange (chunks: readonly Buffer[], connectionEnd: ConnectionEnd): Promise<ExchangeResult> {
  const socket = new FakeSocket()
  const results: Array<ExchangeFailure | 'complete'> = []
  let body = ''
  const connection = new UpstreamConnection(socket.asSocket, { idHeader: 'x-id' }, new ManualClock(), () => {}, () => {}, () => {})
  connection.send({ head: 'GET / HTTP/1.1\r\n\r\n', body: [], requestId: 'a', isHead: false }, {
    onHead: () => {},
    onBody: (chunk) => { body += chunk.toString('latin1') },
    onEnd: () => { results.push('complete') },
    onFailure: (failure) => { results.push(failure) }
  })
  for (const chunk of chunks) socket.push(chunk)
  await new Promise((resolve) => { setImmediate(resolve) })
  const isClosed = new Promise((resolve) => { socket.once('close', resolve) })
  if (!socket.destroyed) {
    if (connectionEnd === ConnectionEnd.Orderly) socket.push(null)
    else socket.destroy(new Error('reset'))
    await isClosed
  }
  return { results, body }
}

function splitBytes (bytes: Buffer, positions: readonly number[]): Buffer[] {
  const sorted = [0, ...positions.map((position) => position % bytes.length), bytes.length].sort((one, other) => one - other)
  return sorted.slice(1).map((end, index) => bytes.subarray(sorted[index], end)).filter(({ length }) => length > 0)
}

describe('UpstreamConnection', () => {
  for (const [what, text] of Object.entries(RESPONSES)) {
    it(`passes on a response ${what}, however its bytes arrive`, async () => {
      await fc.assert(fc.asyncProperty(fc.array(fc.nat(1_000), { maxLength: 8 }), async (positions) => {
        assert.deepEqual(await exchange(splitBytes(Buffer.from(text, 'latin1'), positions), ConnectionEnd.Orderly), { results: ['complete'], body: BODY })
      }), { seed: SEED })
    })
  }

  it('reads the next response, however the one before was paused', async () => {
    // Guards against a connection that is kept for the next request while nothing reads it.
    const input = fc.record({ text: fc.constantFrom('with a length', 'in chunks', 'behind an interim one'), positions: fc.array(fc.nat(1_000), { maxLength: 6 }), pausedParts: fc.array(fc.boolean(), { minLength: 8, maxLength: 8 }), isResumedLate: fc.boolean() })
    await fc.assert(fc.asyncProperty(input, async ({ text, positions, pausedParts, isResumedLate }) => {
      const bytes = Buffer.from(RESPONSES[text]!, 'latin1')
      const socket = new FakeSocket()
      let idle = 0
      const connection = new UpstreamConnection(socket.asSocket, { idHeader: 'x-id' }, new ManualClock(), () => {}, () => { idle++ }, () => {})
      const run = async (pauses: readonly boolean[], chunks: readonly Buffer[]): Promise<void> => {
        let parts = 0
        let isComplete = false
        connection.send({ head: 'GET / HTTP/1.1\r\n\r\n', body: [], requestId: 'a', isHead: false }, {
          onHead: () => {},
          onBody: () => { if (pauses[parts++ % pauses.length] === true) connection.pause() },
          onEnd: () => { isComplete = true },
          onFailure: () => {}
        })
        for (const chunk of chunks) {
          socket.push(chunk)
          await runTurns()
          if (!isComplete && parts > 0) connection.resume()
          await runTurns()
        }
        if (isResumedLate) connection.resume()
      }
      await run(pausedParts, splitBytes(bytes, positions))
      assert.equal(idle, 1)
      assert.equal(connection.isUsable, true)
      await run([false], [bytes])
      assert.equal(idle, 2)
      socket.destroy()
    }), { seed: SEED })
  })

  describe('with a response that the end of its connection delimits, and a long request', () => {
    const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n'
    const LONG_MS = 10_000
    let clock: ManualClock
    let socket: FakeSocket
    let results: Array<ExchangeFailure | 'complete'>

    beforeEach(() => {
      clock = new ManualClock()
      results = []
      socket = new FakeSocket(true)
      const connection = new UpstreamConnection(socket.asSocket, { idHeader: 'x-id' }, clock, () => {}, () => {}, () => {})
      connection.send({ head: 'POST / HTTP/1.1\r\n\r\n', body: [Buffer.alloc(200_000)], requestId: 'a', isHead: false }, {
        onHead: () => {},
        onBody: () => {},
        onEnd: () => { results.push('complete') },
        onFailure: (failure) => { results.push(failure) }
      })
    })

    async function pushBytes (bytes: string | null): Promise<void> {
      socket.push(bytes)
      await runTurns()
    }

    // Guards against a part of a response that looks complete: a worker that ends while it receives the request closes its connection in order.
    it('fails if the worker closes the connection before the request is written', async () => {
      await pushBytes(`${HEAD}part`)
      await pushBytes(null)
      clock.stepBy(LONG_MS)
      assert.deepEqual(results, [ExchangeFailure.Broken])
    })

    it('fails if the worker resets the connection behind the end of an early response', async () => {
      socket.finishWrite()
      await runTurns()
      await pushBytes(`${HEAD}part`)
      await pushBytes(null)
      assert.deepEqual(results, [])
      socket.destroy(new Error('reset'))
      await runTurns()
      clock.stepBy(LONG_MS)
      await runTurns()
      assert.deepEqual(results, [ExchangeFailure.Broken])
    })

    it('is complete if no reset follows an early response', async () => {
      socket.finishWrite()
      await runTurns()
      await pushBytes(`${HEAD}${BODY}`)
      await pushBytes(null)
      clock.stepBy(LONG_MS)
      await runTurns()
      assert.deepEqual(results, ['complete'])
    })

    it('is complete at once if the worker has had time to receive the request', async () => {
      socket.finishWrite()
      await runTurns()
      clock.stepBy(LONG_MS)
      await pushBytes(`${HEAD}${BODY}`)
      await pushBytes(null)
      assert.deepEqual(results, ['complete'])
    })
  })

  describe('after a response that came before a long request can have been read', () => {
    const REJECTION = 'HTTP/1.1 503 Busy\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n'
    const SUCCESS = RESPONSES['with a length']!
    const LONG_BODY = 200_000

    /** @returns whether the connection is kept for another request after a response */
    async function isKept (response: string, bodyBytes: number, isWritten: boolean): Promise<boolean> {
      let isIdle = false
      const socket = new FakeSocket(true)
      const connection = new UpstreamConnection(socket.asSocket, { idHeader: 'x-id' }, new ManualClock(), () => {}, () => { isIdle = true }, () => {})
      connection.send({ head: 'POST / HTTP/1.1\r\n\r\n', body: [Buffer.alloc(bodyBytes)], requestId: 'a', isHead: false }, { onHead: () => {}, onBody: () => {}, onEnd: () => {}, onFailure: () => {} })
      if (isWritten) socket.finishWrite()
      await runTurns()
      socket.push(response)
      await runTurns()
      assert.equal(connection.isUsable, isIdle)
      return isIdle
    }

    // Guards against requests that wait behind a body which their worker has not read.
    it('is not kept if the request has not been written, or was rejected', async () => {
      assert.equal(await isKept(SUCCESS, LONG_BODY, false), false)
      assert.equal(await isKept(REJECTION, LONG_BODY, false), false)
      assert.equal(await isKept(REJECTION, LONG_BODY, true), false)
    })

    it('is kept after a success, and after the rejection of a short request', async () => {
      assert.equal(await isKept(SUCCESS, LONG_BODY, true), true)
      assert.equal(await isKept(REJECTION, MAX_HEAD_BYTES, true), true)
    })
  })

  it('ends each exchange once, whatever bytes arrive and however the connection ends', async () => {
    // Guards against errors that escape a callback, and against callers that never get an answer.
    const change = fc.tuple(fc.nat(1_000), fc.integer({ min: 0, max: 255 }))
    const input = fc.record({ text: fc.constantFrom(...Object.values(RESPONSES)), changes: fc.array(change, { maxLength: 4 }), length: fc.nat(1_000), positions: fc.array(fc.nat(1_000), { maxLength: 6 }), connectionEnd: fc.constantFrom(...Object.values(ConnectionEnd)) })
    await fc.assert(fc.asyncProperty(input, async ({ text, changes, length, positions, connectionEnd }) => {
      const bytes = Buffer.from(text, 'latin1')
      for (const [position, byte] of changes) bytes[position % bytes.length] = byte
      const { results } = await exchange(splitBytes(bytes.subarray(0, 1 + length % bytes.length), positions), connectionEnd)
      assert.equal(results.length, 1)
    }), { seed: SEED, numRuns: RUNS })
  })
})
