import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
import { type PipelinedCall, PipelinedCaller } from '../../../src/node/standIns/usersPlatform/pipelinedCaller.js'

const LONG_MS = 20_000
const ROUTES = [
  { Name: 'lookups', Prefix: '/a/', Service: 'archive', Sticky: false },
  { Name: 'reads', Prefix: '/b/', Service: 'ledger', Sticky: false },
  { Name: 'uploads', Prefix: '/up/', Service: 'ledger', Kind: 'upload', Sticky: false }
]

function createCalls (count: number, path = '/a/1'): PipelinedCall[] {
  return Array.from({ length: count }, (_, index) => ({ id: `id-${index}`, path }))
}

describe('callers that send requests before the first is answered', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let archive: PlatformWorkerStandIn
  let ledger: PlatformWorkerStandIn
  let caller: PipelinedCaller

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    archive = await platform.addWorker('w-1', 'archive', 'north-1')
    ledger = await platform.addWorker('w-2', 'ledger', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    caller = new PipelinedCaller(entry.settings.listen.callers)
  })

  afterEach(async () => {
    caller.close()
    await platform.close()
  })

  function listIds (): Array<string | undefined> {
    return caller.answers.map(({ id }) => id)
  }

  async function readOpen (): Promise<number> {
    const { body } = await platform.ask(entry.settings.listen.metrics, '/metrics')
    return Number(/umberspar_requests_open (\d+)/.exec(body)?.[1])
  }

  it('get their answers in the order of their requests, each its own', async () => {
    // The first request is slow and the others are quick: a caller that gets the
    // quick ones' answers first takes them for the slow one's.
    archive.workMs = 200
    caller.send([{ id: 'slow', path: '/a/1' }, { id: 'quick-1', path: '/b/1' }, { id: 'quick-2', path: '/b/2' }])
    await platform.waitUntil(() => caller.answers.length === 3)
    assert.deepEqual(listIds(), ['slow', 'quick-1', 'quick-2'])
    assert.deepEqual(caller.answers.map(({ seal }) => seal), ['seal-w-1-slow', 'seal-w-2-quick-1', 'seal-w-2-quick-2'])
    assert.equal(await readOpen(), 0)
  })

  it('are not told that a worker is slow by a request that waits behind a slow one', async () => {
    // The answers of the quick worker wait for the slow worker's. If that wait counted,
    // the quick worker would be rated slow and its requests go elsewhere.
    archive.workMs = 600
    caller.send([{ id: 'slow', path: '/a/1' }, ...Array.from({ length: 5 }, (_, index) => ({ id: `quick-${index}`, path: '/b/1' }))])
    await platform.waitUntil(() => caller.answers.length === 6)
    caller.send([{ id: 'after', path: '/b/1' }])
    await platform.waitUntil(() => caller.answers.length === 7)
    const offered = entry.lines.find(({ step, requestId }) => step === 'offer-request' && requestId === 'after')
    assert.equal(offered?.slowness, 1)
  })

  it('leave with several requests open, and the workers of all of them are told', async () => {
    // A caller gives up and closes its connection. Only the first of its requests was
    // withdrawn; the others kept their workers busy for nobody.
    archive.workMs = LONG_MS
    caller.send(createCalls(4))
    await platform.waitUntil(() => archive.runs.length === 4)
    caller.close()
    await platform.waitUntil(() => archive.cancelled === 4)
    await platform.waitUntil(async () => await readOpen() === 0)
  })

  it('do not hold the slots and the memory of many with one slow request', async () => {
    // Forty requests in one packet: a bounded number of them runs at once, the
    // rest follows as answers go out, and none is lost.
    archive.workMs = 20
    caller.send(createCalls(40))
    await platform.waitUntil(() => archive.runs.length > 0)
    assert.ok(await readOpen() <= 8)
    await platform.waitUntil(() => caller.answers.length === 40)
    for (const [index, { status, id }] of caller.answers.entries()) assert.ok(id === `id-${index}` || status === 503)
  })

  it('that send without end are answered what was accepted, and then told to connect anew', async () => {
    const calls = createCalls(1_000)
    archive.workMs = 5
    caller.send(calls)
    await platform.waitUntil(() => caller.isEnded)
    assert.ok(caller.answers.length >= 8 && caller.answers.length < 1_000)
    for (const [index, { status, id }] of caller.answers.entries()) assert.ok(id === calls[index]!.id || status === 503)
    assert.equal(caller.answers.at(-1)?.closes, true)
    assert.equal(archive.runs.length, caller.answers.filter(({ status }) => status === 200).length, 'what is not answered was not passed on')
    assert.equal(await readOpen(), 0)
  })

  it('get the answers of all requests that were passed on before a planned stop ends the connection', async () => {
    // A stop begins while three requests of a connection run. The answer of the first
    // closed the connection: the other two ran for nobody, and the stop waited for
    // requests that no longer had a caller.
    archive.workMs = 300
    ledger.workMs = 600
    caller.send([{ id: 'first', path: '/a/1' }, { id: 'second', path: '/b/1' }, { id: 'third', path: '/b/2' }])
    await platform.waitUntil(() => archive.runs.length === 1 && ledger.runs.length === 2)
    const cut = await new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    assert.equal(cut, 0)
    await platform.waitUntil(() => caller.isEnded)
    assert.deepEqual(listIds(), ['first', 'second', 'third'])
    assert.deepEqual(caller.answers.map(({ closes }) => closes), [false, false, true])
  })

  it('have requests that come during a stop behind an open one counted as not read', async () => {
    archive.workMs = 300
    caller.send([{ id: 'first', path: '/a/1' }])
    await platform.waitUntil(() => archive.runs.length === 1)
    const stopped = new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    caller.send([{ id: 'behind', path: '/b/1' }])
    await platform.waitUntil(() => caller.isEnded)
    assert.deepEqual(listIds(), ['first'])
    assert.equal(caller.answers[0]?.closes, true)
    assert.equal(ledger.arrivals, 0)
    assert.equal(await stopped, 0)
  })

  it('get the answer to a good request that stands before a bad one', async () => {
    // A head that cannot be read follows a good request. Node.js answers 400 at once,
    // which the caller takes for the good request's answer, and that request is cut off.
    archive.workMs = 200
    caller.sendRaw('GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: good\r\n\r\nGET / nonsense\u0001\r\n\r\n')
    await platform.waitUntil(() => caller.isEnded)
    assert.deepEqual(caller.answers.map(({ status, id }) => ({ status, id })), [{ status: 200, id: 'good' }])
    assert.equal(archive.cancelled, 0)
  })

  it('get the answer to a good request while the head behind it comes too slowly', async () => {
    // The next head is begun and not finished within the operator's limit. The 408 that
    // Node.js writes then would stand for the first request, which is running.
    archive.workMs = 4_500
    const version = platform.putConfiguration([{ ...ROUTES[0]!, Timeout: '9000ms' }])
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'document-adopted' && subject === String(version)))
    caller.sendRaw('GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: good\r\nX-Umberspar-Deadline-Ms: 9000\r\n\r\nGET /a/2 HTTP/1.1\r\nHost: sh')
    await platform.waitUntil(() => caller.isEnded)
    assert.deepEqual(caller.answers.map(({ status, id }) => ({ status, id })), [{ status: 200, id: 'good' }])
  })

  it('send body after body, and each arrives whole in its own request', async () => {
    const calls = Array.from({ length: 12 }, (_, index) => ({ id: `id-${index}`, path: `/up/${index}`, body: String(index).repeat(1_000 * (index + 1)) }))
    caller.send(calls)
    await platform.waitUntil(() => caller.answers.length === calls.length)
    assert.deepEqual(listIds(), calls.map(({ id }) => id))
    const runs = new Map(ledger.runs.map(({ requestId, bodyLength }) => [requestId, bodyLength]))
    for (const { id, body } of calls) assert.equal(runs.get(id), body.length)
  })
})
