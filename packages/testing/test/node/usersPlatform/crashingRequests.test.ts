import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'

const DOMAINS = { 'north-1': 'north', 'south-1': 'south' }
const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive' },
  { Name: 'closeouts', Prefix: '/unsafe/', Service: 'archive', Kind: 'non_idempotent' }
]
const WORKERS = 24
const ATTEMPTS = 12
/** After the third crash no VM that knows of it sends the request again. */
const MOST_CRASHES = 3
const QUARANTINED = 503

describe('a request that crashes every worker that runs it', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entries: LocalEntry[]

  beforeEach(async () => {
    platform = new LocalPlatform(DOMAINS)
    for (let index = 0; index < WORKERS; index++) await platform.addWorker(`w-${index}`, 'archive', index % 2 === 0 ? 'north-1' : 'south-1')
    platform.putConfiguration(ROUTES)
    entries = await Promise.all([platform.startEntry('vm-1', 'north-1'), platform.startEntry('vm-2', 'north-1'), platform.startEntry('vm-3', 'south-1')])
    for (const entry of entries) await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  function setCrashPath (path: string): void {
    for (const worker of platform.workers.values()) worker.crashPath = path
  }

  function countCrashed (): number {
    return [...platform.workers.values()].filter(({ hasCrashed }) => hasCrashed).length
  }

  /** Sends the request to the first VM again and again, as its callers would. */
  async function sendUntilRefused (path: string, method = 'GET'): Promise<void> {
    setCrashPath(path)
    let status = 0
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      status = (await platform.call(entries[0]!, { path, method, id: `attempt-${attempt}` })).status
    }
    assert.equal(countCrashed(), MOST_CRASHES)
    assert.equal(status, QUARANTINED)
  }

  async function waitUntilQuarantinedAt (entry: LocalEntry): Promise<void> {
    await platform.waitUntil(() => entry.lines.some(({ step }) => step === 'quarantine-request'))
  }

  for (const { path, method } of [{ path: '/safe/1', method: 'GET' }, { path: '/unsafe/1', method: 'POST' }]) {
    // Guards against a crashing request that is sent again and again by one entry VM.
    it(`is refused by the VM that saw three workers crash (${method})`, async () => {
      await sendUntilRefused(path, method)
      assert.equal((await platform.call(entries[0]!, { path: '/safe/2', id: 'other' })).status, 200)
    })
  }

  // Guards against entry VMs that each learn of a crashing request by crashing workers of their own.
  it('is refused by VMs that never sent it', async () => {
    await sendUntilRefused('/safe/1')
    for (const entry of entries.slice(1)) {
      await waitUntilQuarantinedAt(entry)
      assert.equal((await platform.call(entry, { path: '/safe/1', id: 'elsewhere' })).status, QUARANTINED)
    }
    assert.equal(countCrashed(), MOST_CRASHES)
  })

  // Guards against a quarantine of popular requests that were in flight when many workers lost power.
  it('is told from one whose workers crashed together', async () => {
    const workers = [...platform.workers.values()]
    for (const worker of workers) worker.workMs = 200
    const inFlight = Array.from({ length: 60 }, (_, index) => platform.call(entries[index % entries.length]!, { path: '/safe/1', id: `popular-${index}`, key: `${index}` }))
    await platform.waitUntil(() => workers.filter(({ runs }) => runs.length > 0).length >= WORKERS / 2)
    for (const worker of workers.slice(0, WORKERS / 2)) worker.close()
    await Promise.all(inFlight)
    for (const worker of workers) worker.workMs = 0
    for (const entry of entries) {
      assert.equal((await platform.call(entry, { path: '/safe/1', id: 'again', key: '1' })).status, 200)
      assert.ok(!entry.lines.some(({ step }) => step === 'quarantine-request'))
    }
  })

  // Guards against a quarantine that ends with the process that decided on it.
  it('is refused by a VM that was restarted', async () => {
    await sendUntilRefused('/safe/1')
    await waitUntilQuarantinedAt(entries[2]!)
    await entries[0]!.entry.close()
    const restarted = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(restarted)
    assert.equal((await platform.call(restarted, { path: '/safe/1', id: 'restarted' })).status, QUARANTINED)
    assert.equal(countCrashed(), MOST_CRASHES)
  })
})
