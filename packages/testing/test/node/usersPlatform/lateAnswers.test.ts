import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import type { ChildProgram } from '../../../src/node/measure/childProgram.js'
import { findEntryAddresses, spawnEntry } from '../../../src/node/standIns/usersPlatform/entryProgram.js'
import { LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { isReadyAt, sendCall } from '../../../src/node/standIns/usersPlatform/platformClient.js'
import type { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive', Timeout: '1000ms' },
  { Name: 'closeouts', Prefix: '/unsafe/', Service: 'archive', Kind: 'non_idempotent', Timeout: '1000ms' }
]
/** The worker answers while the entry process can't run. */
const WORK_MS = 300
/** Longer than the routes' timeouts. */
const PAUSE_MS = 2_500
const DEADLINE_MS = 60_000

describe('an entry process that could not run while workers answered', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let closing: CloseStack
  let folder: string
  let callers: string
  let worker: PlatformWorkerStandIn
  let program: ChildProgram

  beforeEach(async () => {
    closing = new CloseStack()
    folder = mkdtempSync(join(tmpdir(), 'umberspar-answers-'))
    platform = closing.add(new LocalPlatform({ 'north-1': 'north' }))
    worker = await platform.addWorker('w-1', 'archive', 'north-1')
    worker.workMs = WORK_MS
    platform.putConfiguration(ROUTES)
    const settings = platform.createSettings('vm-1', 'north-1', await findEntryAddresses(await platform.store.addListener().listen()))
    const file = join(folder, 'settings.json')
    writeFileSync(file, JSON.stringify(settings))
    callers = settings.listen.callers
    program = closing.add(spawnEntry(file))
    await platform.waitUntil(async () => await isReadyAt(settings.listen.readiness))
  })

  afterEach(async () => {
    await closing.close()
    rmSync(folder, { recursive: true })
  })

  for (const [path, method] of [['/safe/1', 'GET'], ['/unsafe/1', 'POST']] as const) {
    it(`passes on the answer to ${method} ${path}`, async () => {
      // Guards against 504 for a request whose answer waits in the socket.
      const answer = sendCall(callers, { path, method, body: method === 'POST' ? 'x' : undefined, deadlineMs: DEADLINE_MS })
      await platform.waitUntil(() => worker.runs.length === 1)
      program.hold()
      const until = platform.clock.now() + PAUSE_MS
      await platform.waitUntil(() => platform.clock.now() >= until)
      program.release()
      assert.equal((await answer).status, 200)
      assert.equal(worker.runs.length, 1)
    })
  }
})
