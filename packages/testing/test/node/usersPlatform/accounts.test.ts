import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { AccountInput } from '../../../src/node/standIns/usersPlatform/platformRecords.js'
import { StoreFault } from '../../../src/node/standIns/usersPlatform/recordStoreStandIn.js'

const ROUTES = [
  { Name: 'lookups', Prefix: '/a/', Service: 'archive' },
  { Name: 'open', Prefix: '/open/', Service: 'archive', NoAuth: true },
  { Name: 'southern', Prefix: '/s/', Service: 'archive', HomeRegions: ['south'] }
]
const FIRST_KEY = 'first-key-6aw63is47q'
const SECOND_KEY = 'second-key-a9rgy35i'
const ACCOUNTS: readonly AccountInput[] = [
  { Name: 'families', ApiKeys: [FIRST_KEY] },
  { Name: 'desks', ApiKeys: [SECOND_KEY], HomeRegions: ['north'] }
]

function buildKeyField (key: string): Record<string, string> {
  return { Authorization: `Bearer ${key}` }
}

describe('client accounts on the users\' platform', { timeout: 120_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north', 'south-1': 'south' })
    await platform.addWorker('w-north', 'archive', 'north-1')
    await platform.addWorker('w-south', 'archive', 'south-1')
    platform.putConfiguration(ROUTES, 7, ACCOUNTS)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  function listRuns () {
    return [...platform.workers.values()].flatMap(({ runs }) => runs)
  }

  async function callWith (headers: Record<string, string>, path = '/a/1'): Promise<ClientAnswer> {
    return await platform.call(entry, { path, headers })
  }

  it('runs a request for the account of its key, told by us alone, and keeps the key to itself', async () => {
    const answer = await callWith({ ...buildKeyField(FIRST_KEY), 'x-uMBERSPAR-Tenant': 'desks', Connection: 'X-Umberspar-Tenant, Authorization' })
    assert.equal(answer.status, 200)
    const [run] = listRuns()
    assert.equal(run?.account, 'families')
    assert.equal(run?.authorization, '')
    const metrics = await platform.ask(entry.settings.listen.metrics, '/metrics')
    for (const told of [...entry.text, metrics.body, JSON.stringify(answer)]) assert.ok(!told.includes(FIRST_KEY), told.slice(0, 200))
  })

  it('refuses unknown, absent and doubtful keys with 401, and runs nothing', async () => {
    for (const headers of [{}, buildKeyField('unknown'), { Authorization: `Basic ${FIRST_KEY}` }, buildKeyField(`${FIRST_KEY} ${SECOND_KEY}`)]) {
      const answer = await callWith(headers)
      assert.equal(answer.status, 401)
      assert.equal(answer.headers['www-authenticate'], 'Bearer')
    }
    assert.equal(listRuns().length, 0)
  })

  it('needs no key on an open route, and never passes on an account or a key that the caller made up', async () => {
    assert.equal((await callWith({ 'X-Umberspar-Tenant': 'families' }, '/open/1')).status, 200)
    assert.equal((await callWith(buildKeyField('unknown'), '/open/1')).status, 200)
    assert.deepEqual(listRuns().map(({ account, authorization }) => [account, authorization]), [['', ''], ['', '']])
  })

  it('keeps to the homes of route and account both, and refuses truthfully where they have none in common', async () => {
    for (let call = 0; call < 8; call++) assert.equal((await callWith(buildKeyField(SECOND_KEY), `/a/${call}`)).status, 200)
    assert.equal(platform.workers.get('w-south')!.runs.length, 0)
    assert.equal((await callWith(buildKeyField(FIRST_KEY), '/s/1')).status, 200)
    assert.equal(platform.workers.get('w-south')!.runs.length, 1)
    const nowhere = await callWith(buildKeyField(SECOND_KEY), '/s/1')
    assert.equal(nowhere.status, 503)
    assert.match(nowhere.body, /^not run: no region is a home/)
  })

  it('runs nothing for a key that was taken away', async () => {
    platform.putConfiguration(ROUTES, 7, [{ Name: 'families', ApiKeys: [] }, ACCOUNTS[1]!])
    await platform.waitUntil(async () => (await callWith(buildKeyField(FIRST_KEY))).status === 401)
    const before = listRuns().length
    assert.equal((await callWith(buildKeyField(FIRST_KEY))).status, 401)
    assert.equal(listRuns().length, before)
  })

  it('stops running requests with keys when the store falls silent, and says that it cannot tell, also of new keys', async () => {
    // The VM is cut off from the store and from all others, and no request shows it. A key
    // is taken away meanwhile; the VM went on running its requests for as long as the cut
    // lasted, and told the callers of a new account that their key was unknown.
    entry.store.setFault(StoreFault.Silent)
    platform.putConfiguration(ROUTES, 7, [{ Name: 'new', ApiKeys: ['new-key'] }, ACCOUNTS[1]!])
    await platform.waitUntil(async () => (await callWith(buildKeyField(FIRST_KEY))).status === 503)
    const { status, body, headers } = await callWith(buildKeyField(FIRST_KEY))
    assert.equal(status, 503)
    assert.match(body, /^not run:/)
    assert.ok(Number(headers['retry-after']) > 0)
    assert.equal((await callWith(buildKeyField('new-key'))).status, 503)
    assert.equal((await callWith({}, '/nowhere/1')).status, 503)
    assert.equal((await callWith({}, '/open/1')).status, 200)
    assert.equal((await platform.ask(entry.settings.listen.readiness, '/umberspar/readyz')).status, 503)
    assert.deepEqual(await platform.lookUp(entry, 'north-1'), [])
    entry.store.setFault(StoreFault.None)
    await platform.waitUntil(async () => (await callWith(buildKeyField('new-key'))).status === 200)
    assert.equal((await callWith(buildKeyField(FIRST_KEY))).status, 401)
  })

  it('goes on while the store refuses it, by what another VM proves', async () => {
    const other = await platform.startEntry('vm-2', 'north-1')
    await platform.waitUntilReady(other)
    await platform.waitUntil(() => [entry, other].every(({ entry: { synchronizer: follower } }) => follower.isFollowing))
    entry.store.setFault(StoreFault.Busy)
    await platform.waitUntil(() => entry.entry.synchronizer.countSources() > 0)
    platform.putConfiguration(ROUTES, 7, [{ Name: 'new', ApiKeys: ['new-key'] }])
    await platform.waitUntil(async () => (await callWith(buildKeyField('new-key'))).status === 200)
    await platform.waitUntil(async () => (await callWith(buildKeyField(FIRST_KEY))).status === 401)
  })

  it('keeps the accounts before when new ones share a key, and names them without the key', async () => {
    for (const bad of [
      [{ Name: 'one', ApiKeys: [FIRST_KEY] }, { Name: 'two', ApiKeys: [FIRST_KEY] }],
      [{ Name: 'one', ApiKeys: [''] }],
      [{ Name: 'one', ApiKeys: ['k'], RatePerS: -1 }],
      [{ Name: 'line\nbreak', ApiKeys: ['k'] }],
      [{ Name: 'one', ApiKeys: ['k'] }, { Name: 'one', ApiKeys: ['l'] }]
    ]) {
      const known = entry.lines.filter(({ step }) => step === 'read-configuration').length
      platform.putConfiguration(ROUTES, 7, bad)
      await platform.waitUntil(() => entry.lines.filter(({ step }) => step === 'read-configuration').length > known)
      assert.match(String(entry.lines.findLast(({ step }) => step === 'read-configuration')?.message), /Tenants/)
    }
    assert.equal((await callWith(buildKeyField(FIRST_KEY))).status, 200)
    for (const told of entry.text) assert.ok(!told.includes(FIRST_KEY))
  })
})
