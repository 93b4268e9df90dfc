import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'

const ROUTES = [{ Name: 'lookups', Prefix: '/a/', Service: 'archive' }]
const KEY = 'key-of-the-families'

describe('entry VMs that start under load on the users\' platform', { timeout: 60_000 }, () => {
  let platform: LocalPlatform

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    await platform.addWorker('w-1', 'archive', 'north-1')
  })

  afterEach(async () => { await platform.close() })

  it('let requests wait for the first reading, which proves the records', async () => {
    // All processes had died. Callers came back before the first reading had ended and were
    // refused; each of them repeats once, so the second refusal was the last word.
    platform.putConfiguration(ROUTES, 7, [{ Name: 'families', ApiKeys: [KEY] }])
    const entry = await platform.startEntry('vm-1', 'north-1')
    const answers = await Promise.all(Array.from({ length: 5 }, async (_, id) => {
      return await platform.call(entry, { path: `/a/${id}`, id: `id-${id}`, headers: { Authorization: `Bearer ${KEY}` } })
    }))
    assert.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200, 200])
  })

  it('refuse what waited in vain, and say when to come back', async () => {
    const entry = await platform.startEntry('vm-1', 'north-1')
    const { status, headers, body } = await platform.call(entry, { path: '/a/1' })
    assert.equal(status, 503)
    assert.match(body, /^not run: this entry VM has no configuration yet/)
    assert.ok(Number(headers['retry-after']) > 0)
  })
})
