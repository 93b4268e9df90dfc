import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { StoreFault } from '../../../src/node/standIns/usersPlatform/recordStoreStandIn.js'

const ROUTE = { Name: 'lookups', Prefix: '/a/', Service: 'archive' }
const WORKER = { Service: 'archive', Addr: '127.0.0.1:9', Zone: 'north-1', Version: '1', Slots: 4, State: 'ready', ColdLeft: '0ms', Seq: 1 }
const NODE = { address: '127.0.0.1:9', peerAddress: '127.0.0.1:9', domain: 'north-1', exchangeAddress: '127.0.0.1:9' }
const SHARE = { node: 'vm-9', life: 'a', peerAddress: '127.0.0.1:9' }
const ODD_ADDRESSES = ['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999999999999999999', '127.0.0.1:-1', '127.0.0.1:http', '127.0.0.1', '', ':80', '[::1]:80', '127.0.0.1:80:90', '127.0.0.1:80\r\nX: a']
const NESTING = 7_000
const ODD_NUMBERS = ['1e999', '-1e999', '99999999999999999999999', '1e-400', '-0', '9007199254740993']

/** JSON texts of a record in which one field after the other is odd. */
function listOddTexts (record: Record<string, unknown>): string[] {
  const texts: string[] = []
  for (const field of Object.keys(record)) {
    const values = [`${'['.repeat(NESTING)}${']'.repeat(NESTING)}`, `${'{"a":'.repeat(NESTING / 5)}1${'}'.repeat(NESTING / 5)}`, ...ODD_NUMBERS, '"__proto__"', '"\\ud800"', '"a\\r\\nb: c"', 'null', '""']
    if (/addr/i.test(field)) values.push(...ODD_ADDRESSES.map((address) => JSON.stringify(address)))
    for (const value of values) texts.push(`{${Object.entries(record).map(([key, good]) => `${JSON.stringify(key)}:${key === field ? value : JSON.stringify(good)}`).join(',')},"__proto__":{"a":1}}`)
  }
  return texts
}

const PREFIXES: Readonly<Record<string, Record<string, unknown>>> = {
  'servers/': WORKER,
  'entry-vms/': NODE,
  'entry-quotas/': SHARE,
  'entry-crashes/': { crashes: [], answers: [], expiresAt: 1 },
  'entry-quarantines/': { service: 'archive', workerIds: [], expiresAt: 1 },
  'entry-members/': { domain: 'north-1' },
  'entry-rate-limits/': { perSecond: 1, startedAt: 1 }
}
/** A worker that doesn't exist may be tried, and a VM that has just claimed shares of a quota may have no token. */
const POSSIBLE_STATUSES: ReadonlySet<number> = new Set([200, 429, 502, 503])
const ODD_NAMES = ['__proto__', 'constructor', '', 'a\r\nX-Umberspar-Tenant: b', '\ud800', 'ü', ' ', '/', 'a'.repeat(150)]

// Guards against processes that end, or stop following the records, by entries that another writer left.
describe('odd entries in the store', { timeout: 120_000 }, () => {
  let platform: LocalPlatform
  let watching: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    await platform.addWorker('w-1', 'archive', 'north-1')
    platform.putConfiguration([ROUTE], undefined, [{ Name: 'families', ApiKeys: ['key-of-the-families'], RatePerS: 1_000, Burst: 1_000 }])
    watching = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(watching)
  })

  afterEach(async () => { await platform.close() })

  /** Checks that a VM that watched and one that reads anew use a worker that is added now, and nothing else. */
  async function checkFollowing (name: string, reading?: LocalEntry): Promise<void> {
    const worker = await platform.addWorker(name, 'archive', 'north-1')
    for (const entry of [watching, reading ?? await platform.startEntry('vm-2', 'north-1')]) {
      await platform.waitUntilReady(entry)
      await platform.waitUntil(async () => {
        const before = worker.arrivals
        for (let index = 0; index < 8; index++) {
          const { status } = await platform.call(entry, { path: '/a/1', key: `${index}`, id: `${name}-${index}`, headers: { Authorization: 'Bearer key-of-the-families' } })
          assert.ok(POSSIBLE_STATUSES.has(status), `status ${status}`)
        }
        return worker.arrivals > before
      })
    }
  }

  for (const [prefix, record] of Object.entries(PREFIXES)) {
    it(`below ${prefix} end no process, which follows what comes later`, async () => {
      for (const [index, text] of listOddTexts(record).entries()) platform.store.putText(`${prefix}odd-${index}`, text)
      for (const name of ODD_NAMES) platform.store.put(`${prefix}${name}`, record)
      await checkFollowing('w-2')
    })
  }

  // Guards against processes that end as they connect to another VM at an address that is none.
  it('below entry-vms/ end no process that the store refuses', async () => {
    const good = platform.store.state.get('entry-vms/vm-1')?.value ?? '{}'
    for (const [index, peerAddress] of ODD_ADDRESSES.entries()) platform.store.put(`entry-vms/odd-${index}`, { ...JSON.parse(good) as object, ...NODE, peerAddress })
    const refused = await platform.startEntry('vm-2', 'north-1')
    await platform.waitUntilReady(refused)
    refused.store.setFault(StoreFault.Busy)
    refused.store.closeWatches()
    await checkFollowing('w-2', refused)
  })

  // Guards against fields that an id adds to the requests of callers.
  it('below servers/ get no request by an id that is no field value', async () => {
    const ids = ['a\r\nX-Umberspar-Tenant: other', 'a\u0000b', '\ud800', 'a b', '\u0100']
    const workers = []
    for (const id of ids) workers.push(await platform.addWorker(id, 'archive', 'north-1'))
    await checkFollowing('w-2')
    assert.deepEqual(workers.map(({ arrivals }) => arrivals), ids.map(() => 0))
  })

  it('below op/evacuate/ end no process, which follows what comes later', async () => {
    for (const name of ODD_NAMES) platform.store.putText(`op/evacuate/${name}`, '1')
    await checkFollowing('w-2')
  })
})
