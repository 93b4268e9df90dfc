import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'

const ROUTE = { Name: 'lookups', Prefix: '/a/', Service: 'archive' }

describe('the whole path on the users\' platform', { timeout: 30_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north', 'south-1': 'south' })
    await platform.addWorker('w-1', 'archive', 'north-1')
    await platform.addWorker('w-2', 'ledger', 'north-1')
    platform.putConfiguration([ROUTE])
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  it('carries a request unchanged and its sealed answer back', async () => {
    const answer = await platform.call(entry, { path: '/a/7?x=1', id: 'id-1', key: '17', method: 'POST', body: 'sheet', headers: { 'X-Other': 'kept', Connection: 'x-dropped', 'X-Dropped': '1' } })
    assert.equal(answer.status, 200)
    assert.equal(answer.body, 'the whole answer')
    assert.equal(answer.headers['x-umberspar-server-seal'], 'seal-w-1-id-1')
    assert.equal(answer.headers['x-umberspar-request-id'], 'id-1')
    const [run] = platform.workers.get('w-1')!.runs
    assert.equal(run?.method, 'POST')
    assert.equal(run?.path, '/a/7?x=1')
    assert.equal(run?.bodyLength, 5)
    assert.ok(run!.leftMs > 0 && run!.leftMs <= 2_000, 'the worker gets no more time than the route allows')
  })

  it('names itself in look-ups of its failure domain', async () => {
    const { status, body } = await platform.ask(entry.settings.listen.lookups, '/umberspar/resolve?Name=shop.example&Region=north&Zone=north-1')
    assert.equal(status, 200)
    assert.deepEqual(JSON.parse(body), { Addrs: [entry.settings.listen.callers], Ttl: '2000ms' })
  })

  it('answers 404 where no route is, and takes a new version over for the next request', async () => {
    assert.equal((await platform.call(entry, { path: '/b/1' })).status, 404)
    platform.putConfiguration([{ Name: 'moved', Prefix: '/b/', Service: 'ledger' }])
    await platform.waitUntil(async () => (await platform.call(entry, { path: '/b/1', id: 'id-b' })).status === 200)
    assert.equal(platform.workers.get('w-2')!.runs.at(-1)?.requestId, 'id-b')
    assert.equal((await platform.call(entry, { path: '/a/1' })).status, 404)
  })

  it('keeps the last good configuration when one cannot be read, and says which field', async () => {
    platform.store.put('op/config', { Version: 'r99', Hosts: [{ Host: 'shop.example', Paths: [{ ...ROUTE, Kind: 5 }] }], Services: [], Limits: {} })
    await platform.waitUntil(() => entry.lines.some(({ step, peer }) => step === 'read-configuration' && peer === 'op/config'))
    const line = entry.lines.find(({ step }) => step === 'read-configuration')
    assert.match(String(line?.message), /Hosts\.0\.Paths\.0\.Kind/)
    assert.equal((await platform.call(entry, { path: '/a/1' })).status, 200)
  })

  it('sends nothing to a worker that leaves, and refuses truthfully and at once when there is no other', async () => {
    platform.putWorker({ id: 'w-1', service: 'archive', domain: 'north-1', address: '127.0.0.1:1', isLeaving: true })
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'upstream-changed' && subject === 'w-1'))
    const arrivals = platform.workers.get('w-1')!.arrivals
    const answer = await platform.call(entry, { path: '/a/1' })
    assert.equal(answer.status, 503)
    assert.ok(Number(answer.headers['retry-after']) > 0)
    assert.equal(platform.workers.get('w-1')!.arrivals, arrivals)
  })

  it('sends nothing into an evacuated failure domain until it is taken back', async () => {
    platform.putEvacuation('north-1')
    await platform.waitUntil(() => entry.lines.some(({ change }) => change === 'domain-evacuated'))
    assert.equal((await platform.call(entry, { path: '/a/1' })).status, 503)
    platform.removeEvacuation('north-1')
    await platform.waitUntil(async () => (await platform.call(entry, { path: '/a/1' })).status === 200)
  })

  it('refuses bodies and heads beyond the operator\'s limits', async () => {
    assert.equal((await platform.call(entry, { path: '/a/1', method: 'POST', body: 'x'.repeat(1_000_001) })).status, 413)
    assert.equal((await platform.call(entry, { path: '/a/1', headers: { 'X-Long': 'x'.repeat(17_000) } })).status, 431)
  })

  it('cancels the worker\'s request when its caller leaves', async () => {
    const worker = platform.workers.get('w-1')!
    worker.workMs = 20_000
    const leave = new AbortController()
    const call = platform.call(entry, { path: '/a/1', signal: leave.signal })
    await platform.waitUntil(() => worker.runs.length === 1)
    leave.abort()
    await assert.rejects(call)
    await platform.waitUntil(() => worker.cancelled === 1)
  })

  it('gives a final answer soon after the route\'s time-out', async () => {
    platform.putConfiguration([{ ...ROUTE, Timeout: '300ms' }])
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'document-adopted' && subject === '6'))
    platform.workers.get('w-1')!.workMs = 20_000
    const answer = await platform.call(entry, { path: '/a/1', method: 'POST' })
    assert.equal(answer.status, 504)
    assert.equal(platform.workers.get('w-1')!.runs.length, 1)
  })

  it('ends a planned stop only when the open request has its answer', async () => {
    const worker = platform.workers.get('w-1')!
    worker.workMs = 500
    const call = platform.call(entry, { path: '/a/1' })
    await platform.waitUntil(() => worker.runs.length === 1)
    const cut = await new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    assert.equal(cut, 0)
    const answer = await call
    assert.equal(answer.status, 200)
    assert.equal(answer.headers.connection, 'close')
    assert.deepEqual(platform.store.state.list('entry-vms/'), [], 'the VM is named in no look-up any more')
  })

  it('shows its metrics as text', async () => {
    await platform.call(entry, { path: '/a/1' })
    const { body } = await platform.ask(entry.settings.listen.metrics, '/metrics')
    assert.match(body, /umberspar_requests_total\{kind="idempotent",end="answered",reason="none"\} 1/)
    assert.match(body, /umberspar_configuration_version 3/)
  })
})
