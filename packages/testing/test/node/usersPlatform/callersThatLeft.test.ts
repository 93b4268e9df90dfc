import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { PipelinedCall } from '../../../src/node/standIns/usersPlatform/pipelinedCaller.js'
import { Departure, LeavingCallers } from './leavingCallers.js'

const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive' },
  { Name: 'closeouts', Prefix: '/unsafe/', Service: 'archive', Kind: 'non_idempotent' },
  { Name: 'uploads', Prefix: '/up/', Service: 'archive', Kind: 'upload' }
]
const CALLERS = 10
/** Shorter than the time for which the entry process can't run. */
const SHORT_DEADLINE_MS = 300
const LONG_DEADLINE_MS = 60_000
const BODY = 'x'.repeat(20_000)
const LONG_BODY = 'x'.repeat(400_000)

/** The requests of each connection, `perConnection` on each. */
function createCalls (path: string, perConnection = 1, details: Partial<PipelinedCall> = {}): PipelinedCall[][] {
  return Array.from({ length: CALLERS }, (_, caller) => Array.from({ length: perConnection }, (_call, index) => ({ id: `gone-${caller}-${index}`, path, key: `${caller}`, ...details })))
}

describe('an entry process that could not run while its callers left', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let callers: LeavingCallers

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    await platform.addWorker('w-1', 'archive', 'north-1')
    await platform.addWorker('w-2', 'archive', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    callers = new LeavingCallers(entry.settings.listen.callers)
    // The thread answers once it runs.
    await callers.openKept([])
  })

  afterEach(async () => {
    await callers.close()
    await platform.close()
  })

  /** @returns the ids of the callers' requests that workers ran */
  async function listRuns (): Promise<string[]> {
    // A request that is answered now was read after those of the callers that left.
    const { status } = await platform.call(entry, { path: '/safe/after', id: 'after' })
    assert.equal(status, 200)
    await platform.waitUntil(async () => /umberspar_requests_open 0\n/.test((await platform.ask(entry.settings.listen.metrics, '/metrics')).body))
    return [...platform.workers.values()].flatMap(({ runs }) => runs.map(({ requestId }) => requestId)).filter((id) => id.startsWith('gone-'))
  }

  const cases: ReadonlyArray<readonly [string, PipelinedCall[][], Departure]> = [
    ['closed their new connections', createCalls('/safe/1'), Departure.Close],
    ['reset their new connections', createCalls('/safe/1'), Departure.Reset],
    ['ended their sending side', createCalls('/safe/1'), Departure.HalfClose],
    ['had sent bodies', createCalls('/up/1', 1, { body: BODY }), Departure.Close],
    ['had sent bodies that take several polls to read', createCalls('/up/1', 1, { body: LONG_BODY }), Departure.Close],
    ['had sent requests that must not be repeated', createCalls('/unsafe/1'), Departure.Close],
    ['had pipelined requests', createCalls('/safe/1', 3), Departure.Close],
    ['stayed until after their deadline', createCalls('/safe/1', 1, { deadlineMs: SHORT_DEADLINE_MS }), Departure.Stay]
  ]

  for (const [name, calls, departure] of cases) {
    // Guards against work for callers that left before their requests were read.
    it(`sends nothing of callers that ${name}`, async () => {
      callers.sendWhileBlocked(calls, departure)
      assert.deepEqual(await listRuns(), [])
    })
  }

  // Guards against work for callers that left before their requests were read.
  it('sends nothing of callers that closed connections which had been in use', async () => {
    await callers.openKept(createCalls('/safe/1').map(([call]) => ({ ...call!, id: `before-${call!.id}` })))
    callers.sendWhileBlocked(createCalls('/safe/1'), Departure.Close)
    assert.deepEqual(await listRuns(), [])
  })

  // Guards against a request that is sent when its connection to the worker opens late, although its caller has left.
  it('sends nothing of callers that left while a connection to a worker was being opened', async () => {
    const { lines } = entry
    let didBlock = false
    // Runs in the turn of the event loop in which the attempt begins.
    lines.push = (line) => {
      lines[lines.length] = line
      if (line.step === 'offer-request' && !didBlock) {
        didBlock = true
        callers.holdAttempt()
      }
      return lines.length
    }
    callers.send(createCalls('/safe/1'))
    await platform.waitUntil(() => didBlock)
    assert.deepEqual(await listRuns(), [])
  })

  // Guards against a process that rejects what it reads late although its callers still wait.
  it('serves callers that stayed and whose deadlines are far off', async () => {
    const calls = createCalls('/safe/1', 1, { deadlineMs: LONG_DEADLINE_MS })
    callers.sendWhileBlocked(calls, Departure.Stay)
    assert.deepEqual((await listRuns()).sort(), calls.flat().map(({ id }) => id).sort())
  })
})
