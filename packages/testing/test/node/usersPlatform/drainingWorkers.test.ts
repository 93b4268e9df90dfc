import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { PlatformWorkerStandIn, WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
import { StoreFault } from '../../../src/node/standIns/usersPlatform/recordStoreStandIn.js'

const DOMAINS = { 'north-1': 'north', 'south-1': 'south' }
const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive' },
  { Name: 'closeouts', Prefix: '/unsafe/', Service: 'archive', Kind: 'non_idempotent' }
]

describe('a worker that announces its shutdown in its responses', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entries: LocalEntry[]
  let draining: PlatformWorkerStandIn
  let requests = 0

  beforeEach(async () => {
    platform = new LocalPlatform(DOMAINS)
    draining = await platform.addWorker('w-draining', 'archive', 'north-1')
    await platform.addWorker('w-2', 'archive', 'south-1')
    platform.putConfiguration(ROUTES)
    entries = await Promise.all(Object.keys(DOMAINS).map(async (domain, index) => await platform.startEntry(`vm-${index}`, domain)))
    for (const entry of entries) await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  /** Sends requests for as many objects, one after the other. */
  async function sendEach (entry: LocalEntry, count: number): Promise<ClientAnswer[]> {
    const answers: ClientAnswer[] = []
    for (let index = 0; index < count; index++) {
      const id = requests++
      answers.push(await platform.call(entry, { path: `/safe/${id}`, id: `id-${id}`, key: `${id}` }))
    }
    return answers
  }

  async function sendUntilAnnounced (entry: LocalEntry): Promise<void> {
    await platform.waitUntil(async () => {
      await sendEach(entry, 1)
      return entry.lines.some(({ step }) => step === 'drain-worker')
    })
  }

  function readAddress (workerId: string): string {
    return (JSON.parse(platform.store.state.get(`servers/${workerId}`)!.value) as { Addr: string }).Addr
  }

  function stopStore (): void {
    for (const { store } of entries) store.setFault(StoreFault.Silent)
  }

  // Guards against requests to a draining worker while the store can't report the drain.
  it('gets no more requests from a VM that has forwarded such a response, while the store is out of service', async () => {
    stopStore()
    draining.isDraining = true
    for (const entry of entries) {
      await sendUntilAnnounced(entry)
      const before = draining.arrivals
      const answers = await sendEach(entry, 30)
      assert.equal(draining.arrivals - before, 0)
      assert.ok(answers.every(({ status }) => status === 200), 'the other worker is free')
    }
  })

  // Guards against a drain that is cancelled by a registration which is written, or arrives, late.
  it('stays excluded when its registration is renewed as ready, or lapses and comes back', async () => {
    const [entry] = entries
    const address = readAddress('w-draining')
    draining.isDraining = true
    await sendUntilAnnounced(entry!)
    const before = draining.arrivals
    platform.putWorker({ id: 'w-draining', service: 'archive', domain: 'north-1', address, coldMs: 1 })
    await platform.waitUntil(() => entry!.lines.some(({ change, subject }) => change === 'upstream-changed' && subject === 'w-draining'))
    await sendEach(entry!, 10)
    platform.removeWorker('w-draining')
    await platform.waitUntil(() => entry!.lines.some(({ change }) => change === 'upstream-left'))
    platform.putWorker({ id: 'w-draining', service: 'archive', domain: 'north-1', address })
    await platform.waitUntil(() => entry!.lines.filter(({ change, subject }) => change === 'upstream-joined' && subject === 'w-draining').length === 2)
    await sendEach(entry!, 10)
    assert.equal(draining.arrivals, before)
  })

  // Guards against a worker that gets no requests because an earlier process at its address drained.
  it('leaves its address to the next process, which gets requests at once', async () => {
    const [entry] = entries
    const address = readAddress('w-draining')
    draining.isDraining = true
    await sendUntilAnnounced(entry!)
    draining.close()
    platform.removeWorker('w-draining')
    const next = new PlatformWorkerStandIn('w-next')
    try {
      platform.putWorker({ id: 'w-next', service: 'archive', domain: 'north-1', address: await next.listen(Number(address.split(':')[1])) })
      await platform.waitUntil(async () => {
        await sendEach(entry!, 1)
        return next.runs.length > 0
      })
    } finally {
      next.close()
    }
  })

  // Guards against announcements that are read only in successful responses.
  for (const fault of [WorkerFault.Fail, WorkerFault.Shed, WorkerFault.Short, WorkerFault.Extra, WorkerFault.LateExtra]) {
    it(`is recognized by a response with the fault '${fault}'`, async () => {
      const [entry] = entries
      draining.isDraining = true
      draining.fault = fault
      await sendUntilAnnounced(entry!)
      const before = draining.arrivals
      await sendEach(entry!, 10)
      assert.equal(draining.arrivals, before)
    })
  }

  // Guards against running requests that are cut off by the announcement.
  it('finishes the requests that it runs', async () => {
    const [entry] = entries
    const answers: Array<Promise<ClientAnswer[]>> = []
    draining.workMs = 500
    await platform.waitUntil(() => {
      answers.push(sendEach(entry!, 1))
      return draining.runs.length > 0
    })
    draining.workMs = 0
    draining.isDraining = true
    await sendUntilAnnounced(entry!)
    assert.ok((await Promise.all(answers)).flat().every(({ status }) => status === 200))
    assert.equal(draining.cancelled, 0)
  })

  // Guards against a draining worker that gets requests because no other is left.
  it('gets no request as the last worker; callers are refused at once, with when to come back', async () => {
    stopStore()
    for (const worker of platform.workers.values()) worker.isDraining = true
    const [entry] = entries
    await platform.waitUntil(async () => {
      await sendEach(entry!, 1)
      return entry!.lines.filter(({ step }) => step === 'drain-worker').length === platform.workers.size
    })
    const before = [...platform.workers.values()].reduce((sum, { arrivals }) => sum + arrivals, 0)
    const answers = await sendEach(entry!, 10)
    assert.equal([...platform.workers.values()].reduce((sum, { arrivals }) => sum + arrivals, 0), before)
    assert.ok(answers.every(({ status, headers }) => status === 503 && Number(headers['retry-after']) > 0))
  })
})
