import assert from 'node:assert/strict'
import { createServer, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type UpstreamRegistration, UpstreamState } from '@umberspar/steering/common/entry/records'
import { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import type { BufferedRequest } from '../../../src/node/front/bufferedRequest.js'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import { OpenAttempts } from '../../../src/node/front/openAttempts.js'
import { ResponseMemory } from '../../../src/node/front/responseMemory.js'
import { UpstreamAttempt } from '../../../src/node/front/upstreamAttempt.js'
import type { BrokenAttempt } from '../../../src/node/quarantine/requestQuarantine.js'
import { IdleLimit } from '../../../src/node/upstream/idleLimit.js'
import { openSocket, UpstreamPool } from '../../../src/node/upstream/upstreamPool.js'

const REGIONS = new Map([['north-1', 'north']])
const LIMIT_MS = 5_000

describe('the crash of a worker under a suspected request', () => {
  const clock = new SystemClock()
  let server: Server
  let sockets: Socket[]
  let pool: UpstreamPool
  let broken: BrokenAttempt[]
  let nextRound: number
  let runAttempt: () => Promise<void>

  beforeEach(async () => {
    sockets = []
    broken = []
    nextRound = 1
    server = createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => {})
      // The worker crashes when it gets a request.
      socket.once('data', () => { socket.destroy() })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const address = server.address()
    const port = typeof address === 'object' ? address!.port : 0
    pool = new UpstreamPool('127.0.0.1', port, { idHeader: 'x-id' }, () => {}, new IdleLimit(Number.POSITIVE_INFINITY), clock, openSocket)
    const worker: UpstreamRegistration = { id: 'w-1', service: 'archive', address: `127.0.0.1:${port}`, domain: 'north-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 }
    const roundTrips = new DomainRoundTrips('north-1', REGIONS)
    const view = new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips, coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
    view.putUpstream(worker, clock.now())
    const context = {
      clock,
      view,
      roundTrips,
      pools: { getPool: () => pool, idleLimit: new IdleLimit(Number.POSITIVE_INFINITY) },
      accessController: { decide: () => ({ outcome: AccessOutcome.Allowed }) },
      eventLoop: { runWhenCurrent: (callback: () => void) => { setImmediate(callback) }, isLate: () => false },
      links: new WorkerLinks(() => 1, () => {}),
      openAttempts: new OpenAttempts(),
      responseMemory: new ResponseMemory(Number.POSITIVE_INFINITY),
      headerRewriter: { formatRequestHead: () => 'GET / HTTP/1.1\r\n\r\n' },
      quarantine: { getNextRound: () => nextRound, handleBrokenConnection: (attempt: BrokenAttempt) => { broken.push(attempt) } },
      telemetry: { logAttemptEnd: () => {} }
    } as unknown as EntryContext
    const [tracker] = view.listTrackers()
    const choice = { candidate: { tracker, roundTripMs: 1 }, expectedMs: 10 } as unknown as UpstreamChoice
    const request = { route: {}, message: { method: 'GET' }, body: { length: 0, chunks: [] }, requestId: 'r', digest: { read: () => 'digest' } } as unknown as BufferedRequest
    runAttempt = async () => {
      await new Promise<void>((resolve) => {
        new UpstreamAttempt(context, request, choice, 'archive', undefined, clock.now() + LIMIT_MS, { mayStillSend: () => true, onSent: () => {}, onStreamStart: () => false, onStreamData: () => {}, onEnd: () => { resolve() } }).start()
      })
    }
  })

  afterEach(() => {
    pool.close()
    server.close()
    for (const socket of sockets) socket.destroy()
  })

  async function keepConnection (): Promise<void> {
    await new Promise<void>((resolve) => { pool.probe(clock.now() + LIMIT_MS, () => { resolve() }) })
  }

  // Guards against a quarantine of popular requests: the worker may have crashed before, together with the others, without that having been read.
  it('counts as one of the first round if the request was sent on a kept connection before another crash was known', async () => {
    await keepConnection()
    const attempt = runAttempt()
    nextRound = 2
    await attempt
    assert.deepEqual(broken.map(({ round }) => round), [1])
  })

  it('counts as one of the next round on a new connection, which is opened although another one is kept', async () => {
    await keepConnection()
    nextRound = 2
    await runAttempt()
    assert.deepEqual(broken.map(({ round }) => round), [2])
    assert.equal(sockets.length, 2)
  })
})
