import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { waitForCondition } from '../../../src/node/load/polling.js'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { PathInput } from '../../../src/node/standIns/usersPlatform/platformRecords.js'

const ROUTE = { Name: 'lookups', Prefix: '/a/', Service: 'archive' }
const ADDED = { Name: 'added', Prefix: '/b/', Service: 'archive' }
/** Longer than everything takes that the VMs do after the store has come back, also on a busy machine. */
const MOST_WAIT_MS = 20_000
const POLL_MS = 20
/** The time for which calls to the store are counted. */
const COUNTED_MS = 3_000

describe('a store that comes back from an older copy', { timeout: 600_000 }, () => {
  let platform: LocalPlatform
  let entries: LocalEntry[]

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north', 'north-2': 'north' })
    for (const id of ['w-1', 'w-2', 'w-3']) await platform.addWorker(id, 'archive', 'north-1')
    await platform.addWorker('w-4', 'archive', 'north-2')
    platform.putConfiguration([ROUTE])
    entries = []
    for (const node of ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5']) entries.push(await platform.startEntry(node, 'north-1'))
    for (const entry of entries) await platform.waitUntilReady(entry)
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    await platform.waitUntil(() => entries.every(({ lines }) => new Set(lines.filter(({ change }) => change === 'node-joined').map(({ subject }) => subject)).size === entries.length))
  })

  afterEach(async () => { await platform.close() })

  async function waitForAll (isTrue: (entry: LocalEntry) => boolean | Promise<boolean>): Promise<void> {
    const clock = platform.clock
    for (const entry of entries) {
      const holds = await waitForCondition(clock, clock.now() + MOST_WAIT_MS, POLL_MS, () => isTrue(entry))
      assert.ok(holds, `${entry.settings.node}: waited in vain for ${String(isTrue)}`)
    }
  }

  async function isServed (entry: LocalEntry, path: string): Promise<boolean> {
    return (await platform.call(entry, { path })).status === 200
  }

  function putRoutes (...routes: PathInput[]): void {
    platform.putConfiguration(routes)
  }

  function putWorkerAgain (id: string, isLeaving = false): void {
    const { Addr } = JSON.parse(platform.store.state.get(`servers/${id}`)!.value) as { Addr: string }
    platform.putWorker({ id, service: 'archive', domain: 'north-1', address: Addr, isLeaving })
  }

  async function countWorkersUsed (entry: LocalEntry): Promise<Set<unknown>> {
    const before = entry.lines.length
    for (let index = 0; index < 24; index++) await platform.call(entry, { path: `/a/${index}`, key: String(index) })
    return new Set(entry.lines.slice(before).filter(({ step }) => step === 'offer-request').map(({ worker }) => worker))
  }

  it('puts a configuration in force whose revision was given out before', async () => {
    // Guards against changes that are missed because their revision is not higher than one from before the rollback.
    const copy = platform.store.state.createCopy()
    for (let change = 0; change < 4; change++) putRoutes(ROUTE)
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    platform.store.resetTo(copy)
    putRoutes(ROUTE, ADDED)
    await waitForAll((entry) => isServed(entry, '/b/1'))
  })

  it('sends nothing to a worker whose drain has a revision that was given out before', async () => {
    // Guards against requests to draining workers when their registration has a revision from before the rollback.
    const copy = platform.store.state.createCopy()
    for (let change = 0; change < 4; change++) putRoutes(ROUTE)
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    platform.store.resetTo(copy)
    putWorkerAgain('w-1', true)
    await waitForAll(async (entry) => !(await countWorkersUsed(entry)).has('w-1'))
  })

  it('misses no change of a store whose revision has already passed the one that a VM had read', async () => {
    // Guards against changes that are missed without a sign, as the watch resumes after a revision of the new era.
    const copy = platform.store.state.createCopy()
    for (let change = 0; change < 3; change++) putRoutes(ROUTE)
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    platform.store.resetTo(copy)
    putRoutes(ROUTE, ADDED)
    for (let change = 0; change < 6; change++) putWorkerAgain('w-2')
    await waitForAll((entry) => isServed(entry, '/b/1'))
  })

  it('never goes back to an older configuration, worker or registration', async () => {
    // Guards against what was in force being undone by the older copy, before its writers have written it again.
    const copy = platform.store.state.createCopy()
    putRoutes(ROUTE, ADDED)
    putWorkerAgain('w-1', true)
    platform.removeWorker('w-2')
    platform.putEvacuation('north-2')
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    platform.store.resetTo(copy)
    platform.store.put('servers/unrelated', {})
    await waitForAll(async ({ lines }) => lines.some(({ change, subject }) => change === 'record-unreadable' && subject === 'servers/unrelated'))
    for (const entry of entries) {
      assert.ok(await isServed(entry, '/b/1'), 'the newest configuration stays in force')
      assert.deepEqual(await countWorkersUsed(entry), new Set(['w-3']), 'drained, removed and evacuated workers stay without requests')
    }
  })

  for (const isOlderRewritten of [false, true]) {
    it(`keeps a lost configuration in force at VMs that start afterwards${isOlderRewritten ? ', though an older one is written again' : ''}`, async () => {
      // Guards against a configuration that was accepted and is undone by restarts after a rollback.
      const copy = platform.store.state.createCopy()
      putRoutes(ROUTE, ADDED)
      await waitForAll((entry) => isServed(entry, '/b/1'))
      platform.store.resetTo(copy)
      await waitForAll(({ entry }) => entry.viewUpdater.position.era === platform.store.state.era)
      if (isOlderRewritten) platform.store.putText('op/config', copy.items.get('op/config')!.value)
      // Twice, so that in the end no process runs that has read the configuration from the store.
      for (const round of [1, 2]) {
        const earlier = entries
        entries = []
        for (const { settings: { node } } of earlier.slice(0, 3)) entries.push(await platform.startEntry(`${node}-${round}`, 'north-1'))
        await waitForAll((entry) => isServed(entry, '/b/1'))
        for (const { entry } of earlier) await new Promise<void>((resolve) => { entry.stop(() => { resolve() }) })
        await waitForAll((entry) => isServed(entry, '/b/1'))
      }
    })
  }

  it('keeps a lost evacuation in force at VMs that start afterwards', async () => {
    // Guards against requests into an emptied failure domain from a VM that has read only the copy.
    const copy = platform.store.state.createCopy()
    platform.putEvacuation('north-2')
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    platform.store.resetTo(copy)
    await waitForAll(({ entry }) => entry.viewUpdater.position.era === platform.store.state.era)
    const late = [await platform.startEntry('vm-late-1', 'north-2'), await platform.startEntry('vm-late-2', 'north-2')]
    for (const entry of late) {
      await platform.waitUntil(() => entry.entry.synchronizer.countSources() > 0)
      assert.ok(!(await countWorkersUsed(entry)).has('w-4'))
    }
  })

  it('admits no key at once that the store may have lost the removal of', async () => {
    // Guards against a removed key that runs at a VM which starts just after the rollback.
    const key = 'key-of-families-7a6b'
    const headers = { Authorization: `Bearer ${key}` }
    platform.putConfiguration([ROUTE], 7, [{ Name: 'families', ApiKeys: [key] }])
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    const copy = platform.store.state.createCopy()
    platform.putConfiguration([ROUTE], 7, [])
    for (const { entry } of entries) await entry.close()
    for (const { settings: { node } } of entries) platform.store.remove(`entry-vms/${node}`)
    platform.store.resetTo({ ...copy, items: new Map([...copy.items].filter(([name]) => !name.startsWith('entry-vms/'))) })
    const late = await platform.startEntry('vm-late', 'north-1')
    await platform.waitUntil(() => late.entry.viewUpdater.position.revision > 0)
    const statuses = await Promise.all(Array.from({ length: 20 }, async () => (await platform.call(late, { path: '/a/1', headers })).status))
    assert.deepEqual([...new Set(statuses)], [503])
    platform.putConfiguration([ROUTE], 7, [])
    await platform.waitUntil(async () => (await platform.call(late, { path: '/a/1', headers })).status === 401)
  })

  it('denies nothing by an older configuration than the one that another VM has registered with', async () => {
    // Guards against 404 for a route that all others serve, from a VM that starts while it can't reach the others.
    const { newestVersion } = platform
    platform.store.put('entry-vms/vm-cut-off', { address: '127.0.0.1:1', peerAddress: '127.0.0.1:1', domain: 'north-1', configurationVersion: newestVersion + 1 })
    entries = [...entries, await platform.startEntry('vm-late', 'north-1')]
    await waitForAll(({ lines }) => lines.some(({ step }) => step === 'compare-configurations'))
    for (const entry of entries) {
      const answers = await Promise.all(['/a/1', '/b/1'].map(async (path) => await platform.call(entry, { path })))
      assert.deepEqual(answers.map(({ status }) => status), [503, 503])
    }
    platform.store.remove('entry-vms/vm-cut-off')
    await waitForAll(async (entry) => await isServed(entry, '/a/1') && (await platform.call(entry, { path: '/b/1' })).status === 404)
  })

  it('takes what the writers take back afterwards', async () => {
    // Guards against remembering for ever what its writer has taken back after the rollback.
    platform.putEvacuation('north-1')
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    const copy = platform.store.state.createCopy()
    platform.removeWorker('w-1')
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    platform.store.resetTo(copy)
    await waitForAll(({ entry }) => entry.viewUpdater.position.era === platform.store.state.era)
    platform.removeEvacuation('north-1')
    putWorkerAgain('w-1')
    platform.removeWorker('w-2')
    await waitForAll(async (entry) => {
      const used = await countWorkersUsed(entry)
      return used.has('w-1') && used.has('w-3') && !used.has('w-2')
    })
  })

  it('is not read again and again by VMs that have read more than it knows', async () => {
    // Guards against a loop of reads that takes the store's capacity from all others.
    const copy = platform.store.state.createCopy()
    for (let change = 0; change < 4; change++) putRoutes(ROUTE)
    await waitForAll(({ entry }) => entry.viewUpdater.position.revision === platform.store.state.revision)
    const countReads = (): number => entries.reduce((sum, { store }) => sum + (store.calls.get('/umberspar/kv-range') ?? 0) + (store.calls.get('/umberspar/kv-watch') ?? 0), 0)
    platform.store.resetTo(copy)
    const before = countReads()
    const until = platform.clock.now() + COUNTED_MS
    await platform.waitUntil(() => platform.clock.now() >= until)
    // Two probes a second and VM, a read, some watches and their repetitions.
    assert.ok(countReads() - before <= 16 * entries.length, `${countReads() - before} reads`)
  })

  it('does not lose the registration of a VM to the stop of another that had the same lease id', async () => {
    // Guards against ending a lease whose id was given out again.
    const copy = platform.store.state.createCopy()
    const late = await platform.startEntry('vm-late', 'north-1')
    await platform.waitUntil(() => platform.store.state.get('entry-vms/vm-late') !== undefined)
    const { lease } = platform.store.state.get('entry-vms/vm-late')!
    platform.store.resetTo(copy)
    const taken = platform.store.state.createLease(60_000, performance.now())
    platform.store.state.put('entry-vms/vm-other', JSON.stringify({ address: '127.0.0.1:1', peerAddress: '127.0.0.1:1', domain: 'north-1' }), taken)
    assert.equal(taken, lease)
    platform.store.answerWatches()
    await platform.waitUntil(() => platform.store.state.get('entry-vms/vm-late') !== undefined)
    late.entry.stop(() => {})
    await platform.waitUntil(() => platform.store.state.get('entry-vms/vm-late') === undefined)
    assert.ok(platform.store.state.get('entry-vms/vm-other') !== undefined, 'the other VM is still registered')
  })
})
