import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
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
