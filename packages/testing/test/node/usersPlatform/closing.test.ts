import assert from 'node:assert/strict'
import { it } from 'node:test'
import { LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
import { StoreFault } from '../../../src/node/standIns/usersPlatform/recordStoreStandIn.js'
import { countOpenResources } from '../openResources.js'

const ROUTES = [{ Name: 'lookups', Prefix: '/safe/', Service: 'archive' }]
const FAULTS = Object.values(WorkerFault).filter((fault) => fault !== WorkerFault.Silent && fault !== WorkerFault.Stalled)

// Guards against connections and timers that outlive an entry process's graceful shutdown.
it('an entry process leaves no connection and no timer open after its shutdown', { timeout: 60_000 }, async () => {
  const platform = new LocalPlatform({ 'north-1': 'north', 'south-1': 'south' })
  const before = countOpenResources()
  const worker = await platform.addWorker('w-1', 'archive', 'north-1')
  await platform.addWorker('w-2', 'archive', 'south-1')
  platform.putConfiguration(ROUTES)
  const entries = [await platform.startEntry('vm-1', 'north-1'), await platform.startEntry('vm-2', 'south-1')]
  for (const entry of entries) await platform.waitUntilReady(entry)
  for (const fault of FAULTS) {
    worker.fault = fault
    for (const [index, entry] of entries.entries()) await platform.call(entry, { path: `/safe/${index}`, id: `${fault}-${index}`, key: String(index) })
  }
  entries[0]!.store.setFault(StoreFault.Silent)
  await Promise.all(entries.map(async ({ entry }) => { await new Promise<void>((resolve) => { entry.stop(() => { resolve() }) }) }))
  await platform.close()
  await platform.waitUntil(() => countOpenResources().connections === before.connections)
  // The wait's own timer has run; those of the test runner stay.
  assert.ok(countOpenResources().timers <= before.timers, `${countOpenResources().timers} timers`)
})
