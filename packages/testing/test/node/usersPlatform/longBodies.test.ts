import assert from 'node:assert/strict'
import { request as sendRequest } from 'node:http'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const ROUTES = [
  { Name: 'lookups', Prefix: '/a/', Service: 'archive' },
  { Name: 'uploads', Prefix: '/up/', Service: 'archive', Kind: 'upload' }
]
/** Longer than what is gathered before it is passed on. */
const LONG_ANSWER = 'y'.repeat(700_000)

describe('long answers and uploads on the users\' platform', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    await platform.addWorker('w-1', 'archive', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  it('passes a long answer on whole', async () => {
    platform.workers.get('w-1')!.body = LONG_ANSWER
    const answer = await platform.call(entry, { path: '/a/1', id: 'long' })
    assert.equal(answer.status, 200)
    assert.equal(answer.body.length, LONG_ANSWER.length)
    assert.equal(answer.headers['x-umberspar-server-seal'], 'seal-w-1-long')
  })

  it('breaks a long answer off visibly when its worker does', async () => {
    // A worker ends its connection before the last bytes of a long answer, of which
    // the caller already has the beginning. The caller must not take it for whole.
    const worker = platform.workers.get('w-1')!
    worker.body = LONG_ANSWER
    worker.fault = WorkerFault.Short
    await assert.rejects(platform.call(entry, { path: '/a/1', id: 'long' }), /aborted|hang up|ECONNRESET/)
    assert.equal(worker.runs.length, 1, 'nothing is repeated once the caller has a part')
  })

  // Guards against callers that wait beyond the time limit of their route for the rest of an answer.
  it('breaks a long answer off at the time limit of its route when its worker falls silent', async () => {
    const worker = platform.workers.get('w-1')!
    worker.body = LONG_ANSWER
    worker.fault = WorkerFault.Stalled
    platform.putConfiguration([{ ...ROUTES[0]!, Timeout: '300ms' }])
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'document-adopted' && subject === '6'))
    await assert.rejects(platform.call(entry, { path: '/a/1', id: 'stalls', deadlineMs: 600_000 }), /aborted|hang up|ECONNRESET/)
    await platform.waitUntil(() => worker.openSockets === 0)
    const end = entry.lines.find(({ step, requestId }) => step === 'end-request' && requestId === 'stalls')
    assert.equal(end?.reason, 'no-answer')
  })

  it('offers an upload to a worker only when it is there whole', async () => {
    const worker = platform.workers.get('w-1')!
    const [host, port] = entry.settings.listen.callers.split(':')
    const socket = connect(Number(port), host)
    socket.write('POST /up/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: half\r\nX-Umberspar-Deadline-Ms: 3000\r\nContent-Length: 10\r\n\r\nhalf')
    assert.equal((await platform.call(entry, { path: '/up/1', method: 'POST', id: 'whole', body: 'all of it' })).status, 200)
    assert.deepEqual(worker.runs.map(({ requestId }) => requestId), ['whole'])
    socket.destroy()
  })

  it('answers 408 to an upload that stalls, which then never runs', async () => {
    platform.putConfiguration([{ ...ROUTES[1]!, Timeout: '300ms' }])
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'document-adopted' && subject === '6'))
    const [host, port] = entry.settings.listen.callers.split(':')
    const status = await new Promise<number | undefined>((resolve, reject) => {
      const request = sendRequest({ host, port, method: 'POST', path: '/up/1', agent: false, headers: { Host: 'shop.example', 'X-Umberspar-Request-Id': 'stalls', 'X-Umberspar-Deadline-Ms': '3000', 'Content-Length': '10' } })
      request.on('response', (response) => {
        response.resume()
        resolve(response.statusCode)
        request.destroy()
      })
      request.on('error', reject)
      request.write('half')
    })
    assert.equal(status, 408)
    assert.equal(platform.workers.get('w-1')!.arrivals, 0)
  })

  it('finishes an upload that a planned stop meets in the middle', async () => {
    const [host, port] = entry.settings.listen.callers.split(':')
    const answered = new Promise<number | undefined>((resolve, reject) => {
      const request = sendRequest({ host, port, method: 'POST', path: '/up/1', agent: false, headers: { Host: 'shop.example', 'X-Umberspar-Request-Id': 'upload', 'X-Umberspar-Deadline-Ms': '3000', 'Content-Length': '8' } })
      request.on('response', (response) => {
        response.resume()
        resolve(response.statusCode)
      })
      request.on('error', reject)
      request.write('half')
      platform.waitUntil(async () => /requests_open 1/.test((await platform.ask(entry.settings.listen.metrics, '/metrics')).body)).then(() => {
        entry.entry.stop((cut) => { assert.equal(cut, 0) })
        request.end('rest')
      }, reject)
    })
    assert.equal(await answered, 200)
    assert.equal(platform.workers.get('w-1')!.runs.length, 1)
  })
})
