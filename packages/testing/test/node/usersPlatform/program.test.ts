/** The entry process as a program of its own. */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { waitForCondition } from '../../../src/node/load/polling.js'
import type { ChildProgram, ProgramOptions } from '../../../src/node/measure/childProgram.js'
import { findEntryAddresses, spawnEntry } from '../../../src/node/standIns/usersPlatform/entryProgram.js'
import { isReadyAt } from '../../../src/node/standIns/usersPlatform/platformClient.js'
import { PlatformRecords } from '../../../src/node/standIns/usersPlatform/platformRecords.js'

const POLL_MS = 10

describe('the entry process as a program', { timeout: 60_000 }, () => {
  const clock = new SystemClock()
  let closing: CloseStack
  let folder: string
  let readiness: string
  let file: string

  beforeEach(async () => {
    closing = new CloseStack()
    folder = mkdtempSync(join(tmpdir(), 'umberspar-program-'))
    file = join(folder, 'node.json')
    const records = new PlatformRecords({ 'north-1': 'north' })
    closing.add(records.store)
    records.putWorker({ id: 'w-1', service: 'archive', domain: 'north-1', address: '127.0.0.1:1' })
    records.putConfiguration([{ Name: 'a', Prefix: '/a/', Service: 'archive' }])
    const store = await records.store.addListener().listen()
    const settings = records.createSettings('vm-1', 'north-1', await findEntryAddresses(store))
    readiness = settings.listen.readiness
    writeFileSync(file, JSON.stringify(settings))
  })

  afterEach(async () => {
    await closing.close()
    rmSync(folder, { recursive: true })
  })

  function spawn (options: ProgramOptions): ChildProgram {
    return closing.add(spawnEntry(file, options))
  }

  /** @returns how it ended, or undefined if it became ready first */
  async function waitUntilReadyOrEnded (program: ChildProgram): Promise<string | undefined> {
    let end: string | undefined
    program.waitForExit().then(({ code, signal }) => { end = signal ?? String(code) }, () => {})
    await waitForCondition(clock, Infinity, POLL_MS, async () => end !== undefined || await isReadyAt(readiness))
    return end
  }

  // The platform renders the settings anew just as a VM's process starts, and signals
  // it. The process was still loading its modules and ended; the VM took no requests
  // until it was restarted. Seed 121 of the soak showed it.
  it('survives a hang-up signal that comes while it loads', async () => {
    const program = spawn({ preloads: [new URL('./hangUpPreload.js', import.meta.url)] })
    assert.equal(await waitUntilReadyOrEnded(program), undefined)
  })

  it('ends with code 2 when its settings cannot be read', async () => {
    writeFileSync(file, '{}')
    assert.equal(await waitUntilReadyOrEnded(spawn({})), '2')
  })

  it('ends with code 0 when it is asked to stop', async () => {
    const program = spawn({})
    assert.equal(await waitUntilReadyOrEnded(program), undefined)
    assert.deepEqual(await program.stop(), { code: 0, signal: null })
  })
})
