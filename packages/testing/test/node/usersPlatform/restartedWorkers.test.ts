import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive' },
  { Name: 'closeouts', Prefix: '/unsafe/', Service: 'archive', Kind: 'non_idempotent' }
]
const FIRST_START = 1_769_430_049_749

describe('workers that start again under the id that they had', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let worker: PlatformWorkerStandIn
  const restarted: PlatformWorkerStandIn[] = []

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    worker = await platform.addWorker('w-1', 'archive', 'north-1')
    putLife(FIRST_START)
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => {
    for (const one of restarted.splice(0)) one.close()
    await platform.close()
  })

  /** Writes the worker's entry, at the address that it has if none is given. */
  function putLife (startedAt: number, address = '', coldMs = 0): void {
    const known = JSON.parse(platform.store.state.get('servers/w-1')!.value) as { Addr: string }
    platform.putWorker({ id: 'w-1', service: 'archive', domain: 'north-1', address: address === '' ? known.Addr : address, coldMs, startedAt })
  }

  async function startAgain (startedAt: number, coldMs = 0): Promise<PlatformWorkerStandIn> {
    const next = new PlatformWorkerStandIn('w-1')
    restarted.push(next)
    putLife(startedAt, await next.listen(), coldMs)
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'upstream-restarted' && subject === 'w-1'))
    return next
  }

  async function callAndReadOffer (id: string): Promise<Record<string, unknown>> {
    assert.equal((await platform.call(entry, { path: '/safe/1', id, key: '17' })).status, 200)
    return entry.lines.find(({ step, requestId }) => step === 'offer-request' && requestId === id)!
  }

  it('get requests at their new address, and are believed to hold and to have done nothing', async () => {
    // A worker crashes and starts again under its id, elsewhere and empty. A VM that
    // takes it for the same one sends to the old address, believes its objects at
    // hand, and holds against it what its former life failed.
    await callAndReadOffer('before')
    worker.close()
    const next = await startAgain(FIRST_START + 7_321)
    const offer = await callAndReadOffer('after')
    assert.equal(next.runs.length, 1)
    assert.equal(offer.hand, 'first-rank')
    assert.equal(offer.failure, 0)
  })

  it('bear as few requests while cold as any worker that has just started', async () => {
    const next = await startAgain(FIRST_START + 7_321, 60_000)
    const startedAt = platform.clock.now()
    await Promise.all(Array.from({ length: 60 }, (_, index) => platform.call(entry, { path: '/safe/1', id: `id-${index}`, key: `${index}` })))
    const seconds = 1 + Math.ceil((platform.clock.now() - startedAt) / 1_000)
    assert.ok(next.arrivals <= 10 * seconds)
  })

  it('are not asked again for what the former life may have run', async () => {
    worker.workMs = 20_000
    const call = platform.call(entry, { path: '/unsafe/1', method: 'POST', id: 'assignment' })
    await platform.waitUntil(() => worker.runs.length === 1)
    const next = await startAgain(FIRST_START + 7_321)
    worker.close()
    assert.equal((await call).status, 502)
    assert.equal(next.arrivals, 0)
  })

  it('are not taken for their former life when an entry of it comes late', async () => {
    // An entry that the former life wrote reaches the store after the new life's: the
    // VM would take the worker for started once more, at its old address.
    const old = JSON.parse(platform.store.state.get('servers/w-1')!.value) as object
    const next = await startAgain(FIRST_START + 7_321)
    platform.store.put('servers/w-1', { ...old, Seq: 99 })
    const revision = platform.store.state.revision
    await platform.waitUntil(() => entry.entry.viewUpdater.position.revision >= revision)
    await callAndReadOffer('after')
    assert.equal(next.runs.length, 1)
    assert.equal(entry.lines.filter(({ change }) => change === 'upstream-restarted').length, 1)
  })

  it('are told by their start alone, also one that lies before, since clocks jump', async () => {
    const next = await startAgain(FIRST_START - 86_400_000)
    await callAndReadOffer('after')
    assert.equal(next.runs.length, 1)
  })
})
