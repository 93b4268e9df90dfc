import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type UpstreamRegistration, UpstreamState } from '@umberspar/steering/common/entry/records'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import type { EntryTelemetry } from '../../../src/node/telemetry/entryTelemetry.js'
import { AdvisoryRecorder } from '../../../src/node/upstream/advisoryRecorder.js'
import { UpstreamConnection } from '../../../src/node/upstream/upstreamConnection.js'
import { openSocket } from '../../../src/node/upstream/upstreamPool.js'
import { UpstreamPools } from '../../../src/node/upstream/upstreamPools.js'

const REGIONS = new Map([['north-1', 'north']])
const PROTOCOL = { headers: { draining: ['drains'], seal: 'seal' }, misdirectedRequestStatus: 421 } as unknown as ICallerProtocol
const CONNECT_MS = 10_000
const SEALED = 'Seal: 1\r\n'
const DRAINING = 'Drains: 1\r\n'

function formatResponse (status: number, requestId: string, fields: string): string {
  return `HTTP/1.1 ${status} Status\r\nId: ${requestId}\r\nContent-Length: 0\r\n${fields}\r\n`
}

describe('what a worker announces', () => {
  const clock = new SystemClock()
  let server: Server
  let sockets: Socket[]
  let view: EntryView
  let pools: UpstreamPools
  let worker: UpstreamRegistration
  /** What the worker answers to its request, once it has arrived. */
  let respond: (socket: Socket) => void

  beforeEach(async () => {
    sockets = []
    server = createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.on('data', () => { respond(socket) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    view = new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('north-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
    worker = { id: 'w-1', service: 'archive', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, domain: 'north-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 }
    view.putUpstream(worker, clock.now())
    const telemetry = { logDrain: () => {}, logCoolDown: () => {} } as unknown as EntryTelemetry
    pools = new UpstreamPools({ idHeader: 'id' }, clock, new AdvisoryRecorder({ clock, view, protocol: PROTOCOL, telemetry }), openSocket, Number.POSITIVE_INFINITY)
  })

  afterEach(() => {
    pools.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  /** Sends a request. @returns when its response is complete or has failed */
  async function send (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      pools.getPool(worker).open(2, clock.now() + CONNECT_MS, (result) => {
        if (!(result instanceof UpstreamConnection)) {
          reject(new Error(result))
          return
        }
        result.send({ head: 'GET / HTTP/1.1\r\n\r\n', body: [], requestId: 'own', isHead: false }, { onHead: () => {}, onBody: () => {}, onEnd: resolve, onFailure: () => { resolve() } })
      })
    })
  }

  function isDraining (): boolean {
    const [tracker] = view.listTrackers()
    return tracker!.isDraining
  }

  const cases: ReadonlyArray<readonly [string, string, boolean]> = [
    ['counts in a success', formatResponse(200, 'own', SEALED + DRAINING), true],
    ['counts in an error', formatResponse(500, 'own', DRAINING), true],
    ['counts in a late response to another request', formatResponse(200, 'earlier', SEALED + DRAINING) + formatResponse(200, 'own', SEALED), true],
    ['counts in an extra response behind the answer', formatResponse(200, 'own', SEALED) + formatResponse(200, 'own', SEALED + DRAINING), true],
    ['counts in a response whose body breaks off', `HTTP/1.1 200 Status\r\nId: own\r\nContent-Length: 9\r\n${SEALED}${DRAINING}\r\npart`, true],
    ['does not count in the response of another worker at the address', formatResponse(421, 'own', DRAINING), false],
    ['does not count in a success from elsewhere', formatResponse(200, 'own', DRAINING), false],
    ['does not count if nothing is announced', formatResponse(200, 'own', SEALED), false]
  ]
  for (const [name, bytes, expected] of cases) {
    it(name, async () => {
      respond = (socket) => { socket.end(bytes) }
      await send()
      assert.equal(isDraining(), expected)
    })
  }

  it('counts in a response on an idle connection', async () => {
    respond = (socket) => { socket.write(formatResponse(200, 'own', SEALED)) }
    await send()
    const closed = new Promise((resolve) => { sockets[0]!.once('close', resolve) })
    sockets[0]!.write(formatResponse(503, 'other', DRAINING))
    await closed
    assert.equal(isDraining(), true)
  })
})
