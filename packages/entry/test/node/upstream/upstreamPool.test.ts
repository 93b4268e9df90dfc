import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { IdleLimit } from '../../../src/node/upstream/idleLimit.js'
import { UpstreamConnection } from '../../../src/node/upstream/upstreamConnection.js'
import { type OpenFailure, UpstreamPool } from '../../../src/node/upstream/upstreamPool.js'
import { FakeSocket, runTurns } from './fakeSocket.js'

const MAX_SILENCE_MS = 3_000
const MAX_CONNECTIONS = 8
const OPEN_LIMIT_MS = 1_000
/** The worker keeps idle connections longer than a silent one may be used. */
const RESPONSE = 'HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\nbody'

describe('UpstreamPool', () => {
  let clock: ManualClock
  let sockets: FakeSocket[]
  let pool: UpstreamPool

  beforeEach(() => {
    clock = new ManualClock()
    sockets = []
    pool = new UpstreamPool('127.0.0.1', 1, { idHeader: 'x-id' }, () => {}, new IdleLimit(MAX_SILENCE_MS), clock, () => {
      const socket = new FakeSocket()
      sockets.push(socket)
      setImmediate(() => { socket.emit('connect') })
      return socket.asSocket
    })
  })

  async function open (): Promise<UpstreamConnection> {
    const result = await new Promise<UpstreamConnection | OpenFailure>((resolve) => { pool.open(MAX_CONNECTIONS, clock.now() + OPEN_LIMIT_MS, resolve) })
    assert.ok(result instanceof UpstreamConnection)
    return result
  }

  async function exchange (connection: UpstreamConnection): Promise<void> {
    const socket = sockets.at(-1)!
    await new Promise<void>((resolve, reject) => {
      connection.send({ head: 'GET / HTTP/1.1\r\n\r\n', body: [], requestId: 'a', isHead: false }, { onHead: () => {}, onBody: () => {}, onEnd: resolve, onFailure: reject })
      socket.push(RESPONSE)
    })
    // The connection is kept after its response has been handled.
    await runTurns()
  }

  it('reuses a connection that has received something lately', async () => {
    const connection = await open()
    await exchange(connection)
    clock.stepBy(MAX_SILENCE_MS / 2)
    assert.equal(pool.hasIdle(), true)
    assert.equal(await open(), connection)
  })

  // Guards against requests that are lost on a connection which fell silent without being closed.
  it('replaces a connection that has received nothing for the time within which a silent one must not be used', async () => {
    const connection = await open()
    await exchange(connection)
    clock.stepBy(MAX_SILENCE_MS)
    assert.equal(pool.hasIdle(), false)
    assert.notEqual(await open(), connection)
    assert.equal(sockets[0]!.destroyed, true)
  })

  it('replaces a connection that was opened for a probe and has received nothing since', async () => {
    await new Promise<void>((resolve) => { pool.probe(clock.now() + OPEN_LIMIT_MS, () => { resolve() }) })
    clock.stepBy(MAX_SILENCE_MS)
    await open()
    assert.equal(sockets.length, 2)
  })
})
