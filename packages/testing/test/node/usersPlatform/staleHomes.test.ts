import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { StoreFault } from '../../../src/node/standIns/usersPlatform/recordStoreStandIn.js'

const ROUTES = [
  { Name: 'homed', Prefix: '/homed/', Service: 'archive', HomeRegions: ['north'] },
  { Name: 'anywhere', Prefix: '/anywhere/', Service: 'archive' }
]

describe('a VM without contact that serves routes with homes', { timeout: 120_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north', 'south-1': 'south' })
    await platform.addWorker('w-1', 'archive', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    await platform.waitUntil(async () => await callStatus('/homed/1') === 200)
  })

  afterEach(async () => { await platform.close() })

  async function callStatus (path: string): Promise<number> {
    return (await platform.call(entry, { path })).status
  }

  it('refuses them once its records are stale, and serves the others', async () => {
    // Guards against requests that run outside homes which changed while the VM was cut off.
    entry.store.setFault(StoreFault.Silent)
    await platform.waitUntil(async () => await callStatus('/homed/1') === 503)
    const { status, body, headers } = await platform.call(entry, { path: '/homed/2' })
    assert.equal(status, 503)
    assert.match(body, /^not run: /)
    assert.ok(Number(headers['retry-after']) > 0)
    assert.equal(await callStatus('/anywhere/1'), 200)
    entry.store.setFault(StoreFault.None)
    await platform.waitUntil(async () => await callStatus('/homed/3') === 200)
  })

  it('does not deny a path that a newer configuration may serve', async () => {
    // Guards against a 404, which callers do not repeat, for a route that was added while the VM was cut off.
    assert.equal(await callStatus('/added/1'), 404)
    entry.store.setFault(StoreFault.Silent)
    await platform.waitUntil(async () => await callStatus('/added/1') === 503)
  })
})
