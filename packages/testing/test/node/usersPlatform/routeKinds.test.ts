import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive' },
  { Name: 'exports', Prefix: '/exports/', Service: 'archive', Kind: 'download' },
  { Name: 'streams', Prefix: '/streams/', Service: 'archive', Kind: 'of-a-later-version' }
]

describe('routes of several kinds', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    for (const id of ['w-1', 'w-2', 'w-3']) await platform.addWorker(id, 'archive', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  async function countRuns (path: string): Promise<number> {
    for (const worker of platform.workers.values()) worker.fault = WorkerFault.Fail
    await platform.call(entry, { path, id: path })
    return [...platform.workers.values()].reduce((sum, { runs }) => sum + runs.filter((run) => run.path === path).length, 0)
  }

  // Guards against a configuration that is refused whole because of one route of a later version.
  it('are all served though one is of an unknown kind, and it is told of', async () => {
    for (const { Prefix } of ROUTES) assert.equal((await platform.call(entry, { path: `${Prefix}1` })).status, 200)
    assert.equal(entry.lines.find(({ step }) => step === 'adopt-configuration')?.routes, 'streams')
  })

  it('run again after a failure only if their kind says that they may', async () => {
    assert.equal(await countRuns('/safe/1'), 2)
    assert.equal(await countRuns('/exports/1'), 2)
    assert.equal(await countRuns('/streams/1'), 1)
  })
})
