/**
 * Random callers on real sockets: pipelines, bodies, bytes that are no request,
 * callers that stop reading or leave, and a planned stop in the middle of it.
 */
import assert from 'node:assert/strict'
import fc from 'fast-check'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type PipelinedCall, PipelinedCaller } from '../../../src/node/standIns/usersPlatform/pipelinedCaller.js'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'

const SEED = 20261203
const QUICK_MS = 2
const SLOW_MS = 60
const ROUTES = [
  { Name: 'quick', Prefix: '/quick/', Service: 'archive', Sticky: false },
  { Name: 'slow', Prefix: '/slow/', Service: 'ledger', Sticky: false },
  { Name: 'uploads', Prefix: '/up/', Service: 'archive', Kind: 'upload', Sticky: false }
]
const BAD_INPUT = 'GET / no version\u0001\r\n\r\n'

/** What a caller does next. */
enum ActKind {
  Send = 'send',
  SendBad = 'send-bad',
  /** Until all its answers are there. */
  Wait = 'wait',
  Pause = 'pause',
  Resume = 'resume',
  Leave = 'leave'
}

interface Act {
  readonly kind: ActKind
  readonly paths: readonly string[]
}

const paths = fc.array(fc.constantFrom('/quick/1', '/quick/2', '/slow/1', '/up/1', '/none/1'), { minLength: 1, maxLength: 12 })
const act: fc.Arbitrary<Act> = fc.record({
  kind: fc.oneof({ weight: 6, arbitrary: fc.constant(ActKind.Send) }, { weight: 3, arbitrary: fc.constant(ActKind.Wait) }, { weight: 2, arbitrary: fc.constantFrom(...Object.values(ActKind)) }),
  paths
})
const scripts = fc.array(fc.array(act, { minLength: 1, maxLength: 5 }), { minLength: 1, maxLength: 5 })

/** One caller with what it sent. */
class FuzzCaller {
  readonly caller: PipelinedCaller
  private readonly sent: PipelinedCall[] = []
  private isSpoilt = false
  private isPaused = false

  constructor (private readonly platform: LocalPlatform, { settings }: LocalEntry, private readonly name: string) {
    this.caller = new PipelinedCaller(settings.listen.callers)
  }

  async run (script: readonly Act[]): Promise<void> {
    for (const { kind, paths: targets } of script) await ACTS[kind](this, targets)
    this.resume()
    await this.wait()
    this.caller.close()
    this.check()
  }

  send (targets: readonly string[]): void {
    const calls = targets.map((path, index) => ({ id: `${this.name}-${this.sent.length + index}`, path, body: path.startsWith('/up/') ? 'u'.repeat(3_000) : undefined }))
    // What follows bytes that are no request is read as a part of them.
    if (!this.isSpoilt) this.sent.push(...calls)
    this.caller.send(calls)
  }

  sendBad (): void {
    this.isSpoilt = true
    this.caller.sendRaw(BAD_INPUT)
  }

  pause (): void {
    this.isPaused = true
    this.caller.pause()
  }

  resume (): void {
    this.isPaused = false
    this.caller.resume()
  }

  async wait (): Promise<void> {
    if (this.isPaused) return
    const { caller, sent } = this
    await this.platform.waitUntil(() => caller.isEnded || (!this.isSpoilt && caller.answers.length >= sent.length))
  }

  /** Every answer stands at its request's place and is that request's own. */
  private check (): void {
    for (const [index, { status, id, seal, body }] of this.caller.answers.entries()) {
      const call = this.sent[index]
      if (call === undefined) {
        assert.ok(this.isSpoilt && status === 400, `${status} answers nothing that ${this.name} sent`)
        continue
      }
      if (status !== 200) {
        assert.equal(id, undefined, 'an answer of this system\'s own')
        assert.ok(status === 503 || (status === 404 && call.path.startsWith('/none/')), `${call.path}: ${status}`)
        continue
      }
      assert.equal(id, call.id)
      assert.ok(seal?.endsWith(call.id))
      assert.equal(body, 'the whole answer')
    }
  }
}

const ACTS: Readonly<Record<ActKind, (caller: FuzzCaller, targets: readonly string[]) => void | Promise<void>>> = {
  [ActKind.Send]: (caller, targets) => { caller.send(targets) },
  [ActKind.SendBad]: (caller) => { caller.sendBad() },
  [ActKind.Wait]: async (caller) => { await caller.wait() },
  [ActKind.Pause]: (caller) => { caller.pause() },
  [ActKind.Resume]: (caller) => { caller.resume() },
  [ActKind.Leave]: (caller) => { caller.caller.close() }
}

describe('the callers\' listener under random pipelines', { timeout: 120_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    for (let index = 0; index < 3; index++) {
      (await platform.addWorker(`quick-${index}`, 'archive', 'north-1')).workMs = QUICK_MS;
      (await platform.addWorker(`slow-${index}`, 'ledger', 'north-1')).workMs = SLOW_MS
    }
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  async function waitUntilIdle (): Promise<void> {
    const workers = [...platform.workers.values()]
    await platform.waitUntil(() => workers.every(({ runs, answered, cancelled }) => runs.length === answered + cancelled))
    await platform.waitUntil(async () => /umberspar_requests_open 0/.test((await platform.ask(entry.settings.listen.metrics, '/metrics')).body))
  }

  function countRunTwice (): number {
    const ids = [...platform.workers.values()].flatMap(({ runs }) => runs.map(({ requestId }) => requestId))
    return ids.length - new Set(ids).size
  }

  it('gives each caller its own answers in order, and leaves nothing open or at work behind', async () => {
    let run = 0
    await fc.assert(fc.asyncProperty(scripts, async (list) => {
      run++
      await Promise.all(list.map(async (script, index) => { await new FuzzCaller(platform, entry, `r${run}-c${index}`).run(script) }))
      await waitUntilIdle()
      assert.equal(countRunTwice(), 0)
    }), { seed: SEED, numRuns: 40, endOnFailure: true })
  })

  it('ends a planned stop in the middle of it with nothing cut', async () => {
    await fc.assert(fc.asyncProperty(scripts, async (list) => {
      const own = await platform.startEntry('vm-stopped', 'north-1')
      await platform.waitUntilReady(own)
      const callers = list.map(async (script, index) => { await new FuzzCaller(platform, own, `s${index}`).run(script.filter(({ kind }) => kind === ActKind.Send)) })
      const cut = await new Promise<number>((resolve) => { own.entry.stop(resolve) })
      assert.equal(cut, 0)
      await Promise.all(callers)
      await own.entry.close()
      for (const { runs } of platform.workers.values()) runs.length = 0
    }), { seed: SEED, numRuns: 4, endOnFailure: true })
  })
})
