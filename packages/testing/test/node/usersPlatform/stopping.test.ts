import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

/** The grace period of the stand-in's entry processes is 4 s. */
const LONG_LIMIT_MS = 2_500
const LONG_WORK_MS = 2_400
const AFTER_STOP_MS = 1_500
const ROUTES = [
  { Name: 'reads', Prefix: '/long/', Service: 'archive', Timeout: `${LONG_LIMIT_MS}ms` },
  { Name: 'lookups', Prefix: '/short/', Service: 'ledger', Timeout: '500ms' }
]

describe('a stopping entry process', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let archive: PlatformWorkerStandIn

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    archive = await platform.addWorker('w-1', 'archive', 'north-1')
    await platform.addWorker('w-2', 'ledger', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    archive.workMs = LONG_WORK_MS
  })

  afterEach(async () => { await platform.close() })

  it('finishes what it accepts, and refuses at once what it can\'t finish', async () => {
    // Guards against requests that are accepted during a stop and cut off by its end.
    const startedAt = platform.clock.now()
    const stopped = new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    const first = platform.call(entry, { path: '/long/1', id: 'first' })
    await platform.waitUntil(() => platform.clock.now() - startedAt > AFTER_STOP_MS)
    const late = await platform.call(entry, { path: '/long/2', id: 'late' })
    assert.equal(late.status, 503)
    assert.equal(late.headers['retry-after'], '0.000')
    assert.equal(late.headers.connection, 'close')
    assert.equal((await platform.call(entry, { path: '/short/1', id: 'short' })).status, 200)
    assert.equal((await first).status, 200)
    assert.equal(await stopped, 0)
    assert.deepEqual(archive.runs.map(({ requestId }) => requestId), ['first'])
  })

  it('takes a request whose caller waits less than the time limit of its route', async () => {
    const startedAt = platform.clock.now()
    const stopped = new Promise<number>((resolve) => { entry.entry.stop(resolve) })
    await platform.waitUntil(() => platform.clock.now() - startedAt > AFTER_STOP_MS)
    archive.workMs = 0
    assert.equal((await platform.call(entry, { path: '/long/1', id: 'hasty', deadlineMs: 1_000 })).status, 200)
    assert.equal(await stopped, 0)
  })
})
