import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import type { ChildProgram } from '../../../src/node/measure/childProgram.js'
import { findEntryAddresses, spawnEntry } from '../../../src/node/standIns/usersPlatform/entryProgram.js'
import { LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { askAt, isReadyAt, sendCall } from '../../../src/node/standIns/usersPlatform/platformClient.js'
import type { RecordStoreListener } from '../../../src/node/standIns/usersPlatform/recordStoreStandIn.js'
import { StoreFault } from '../../../src/node/standIns/usersPlatform/recordStoreStandIn.js'

const KEY = 'key-of-families-7a6b'
const ROUTES = [
  { Name: 'keyed', Prefix: '/keyed/', Service: 'archive', Timeout: '60s' },
  { Name: 'open', Prefix: '/open/', Service: 'archive', NoAuth: true, Timeout: '60s' },
  { Name: 'homed', Prefix: '/homed/', Service: 'archive', NoAuth: true, HomeRegions: ['north'], Timeout: '60s' }
]
const VMS = 5
/** Longer than any proof lasts. */
const PAUSE_MS = 3_500
const DEADLINE_MS = 60_000
const CALLS_PER_PATH = 4

interface RealEntry {
  readonly settings: EntrySettings
  readonly store: RecordStoreListener
  readonly program: ChildProgram
}

describe('an entry process that could not run for longer than its proof of fresh records lasts', { timeout: 180_000 }, () => {
  let platform: LocalPlatform
  let closing: CloseStack
  let folder: string
  let entries: RealEntry[]
  /** What VMs said when they did not answer as usual. */
  const refusals: string[] = []

  before(async () => {
    closing = new CloseStack()
    folder = mkdtempSync(join(tmpdir(), 'umberspar-proofs-'))
    platform = closing.add(new LocalPlatform({ 'north-1': 'north' }))
    await platform.addWorker('w-1', 'archive', 'north-1')
    await platform.addWorker('w-2', 'archive', 'north-1')
    platform.putConfiguration(ROUTES, 7, [{ Name: 'families', ApiKeys: [KEY] }])
    entries = []
    for (let index = 0; index < VMS; index++) {
      const store = platform.store.addListener()
      const settings = platform.createSettings(`vm-${index}`, 'north-1', await findEntryAddresses(await store.listen()))
      const file = join(folder, `${index}.json`)
      writeFileSync(file, JSON.stringify(settings))
      entries.push({ settings, store, program: closing.add(spawnEntry(file)) })
    }
    for (const { settings } of entries) await platform.waitUntil(async () => await isReadyAt(settings.listen.readiness))
    await platform.waitUntil(async () => (await Promise.all(entries.map(isFollowing))).filter(Boolean).length === 2)
  })

  after(async () => {
    await closing.close()
    rmSync(folder, { recursive: true })
  })

  async function isFollowing ({ settings }: RealEntry): Promise<boolean> {
    return /umberspar_follows_store 1\n/.test((await askAt(settings.listen.metrics, '/metrics')).body)
  }

  async function callAll ({ settings }: RealEntry): Promise<string[]> {
    // With deadlines beyond the pause.
    const paths = ['/keyed/1', '/homed/1', '/missing/1', '/open/1'].flatMap((path) => Array.from({ length: CALLS_PER_PATH }, () => path))
    return await Promise.all(paths.map(async (path, index) => {
      const { status, body } = await sendCall(settings.listen.callers, { path, id: `call-${index}`, deadlineMs: DEADLINE_MS, headers: { Authorization: `Bearer ${KEY}` } })
      const answer = `${path} ${status}`
      if (!EXPECTED.includes(answer)) refusals.push(`${settings.node}: ${answer} ${body.trim()}`)
      return answer
    }))
  }

  const EXPECTED = ['/homed/1 200', '/keyed/1 200', '/missing/1 404', '/open/1 200']

  async function callPaused (entry: RealEntry): Promise<string[]> {
    entry.program.hold()
    const answers = callAll(entry)
    const until = platform.clock.now() + PAUSE_MS
    await platform.waitUntil(() => platform.clock.now() >= until)
    entry.program.release()
    return await answers
  }

  for (const follows of [true, false]) {
    it(`answers as usual when it runs again and ${follows ? 'the store' : 'another VM'} answers it`, async () => {
      // Guards against 503 for what is read before the newer proof that has arrived as well.
      const unexpected = []
      for (const entry of entries) {
        if (await isFollowing(entry) !== follows) continue
        unexpected.push(...(await callPaused(entry)).filter((answer) => !EXPECTED.includes(answer)))
        await platform.waitUntil(async () => (await Promise.all(entries.map(isFollowing))).filter(Boolean).length === 2)
      }
      assert.deepEqual(unexpected, [], refusals.join('\n'))
    })
  }

  it('runs nothing by records that nobody proves', async () => {
    // Guards against a removed key that runs on while a VM waits for a proof.
    for (const { store } of entries) store.setFault(StoreFault.Silent)
    const answers = await callPaused(entries[0]!)
    assert.deepEqual([...new Set(answers)].sort(), ['/homed/1 503', '/keyed/1 503', '/missing/1 503', '/open/1 200'])
  })
})
