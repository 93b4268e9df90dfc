import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { type PlatformWorkerStandIn, WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const ROUTES = [{ Name: 'lookups', Prefix: '/safe/', Service: 'archive' }]
/** Longer than the test. */
const COOL_DOWN_SECONDS = 50
/** Long enough that a worker in another region is a much worse choice. */
const BODY = 'x'.repeat(60_000)
/** The requests that operators tolerate during a cool-down, from one VM. */
const MAX_TOLERATED = 2

describe('a worker that refuses with Retry-After', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let refusing: PlatformWorkerStandIn
  let requests = 0

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north', 'south-1': 'south' })
    refusing = await platform.addWorker('w-refusing', 'archive', 'north-1')
    await platform.addWorker('w-2', 'archive', 'south-1')
    for (const worker of platform.workers.values()) worker.body = BODY
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  /** Sends requests for as many objects, one after the other. */
  async function sendEach (count: number): Promise<ClientAnswer[]> {
    const answers: ClientAnswer[] = []
    for (let index = 0; index < count; index++) {
      const id = requests++
      answers.push(await platform.call(entry, { path: `/safe/${id}`, id: `id-${id}`, key: `${id}` }))
    }
    return answers
  }

  async function sendUntilRefused (worker: PlatformWorkerStandIn, seconds = COOL_DOWN_SECONDS): Promise<void> {
    worker.fault = WorkerFault.Shed
    worker.retryAfter = [String(seconds)]
    await platform.waitUntil(async () => {
      await sendEach(1)
      return entry.lines.some(({ step, peer }) => step === 'cool-down-worker' && peer === worker.id)
    })
  }

  // Guards against retries that pile up at an overloaded worker which has asked for a pause.
  it('gets no more than two requests from the same VM until that time is over', async () => {
    await sendEach(20)
    await sendUntilRefused(refusing)
    const before = refusing.arrivals
    const answers = await sendEach(40)
    assert.ok(refusing.arrivals - before <= MAX_TOLERATED, `${refusing.arrivals - before} requests arrived`)
    assert.ok(answers.every(({ status }) => status === 200), 'the other worker is free')
  })

  // Guards against a worker that is avoided as failing because it asked for a pause.
  for (const saysNotRun of [true, false]) {
    it(`is chosen again when that time is over, and has not failed${saysNotRun ? '' : ', though it did not say that the request had not run'}`, async () => {
      await sendEach(20)
      refusing.saysNotRun = saysNotRun
      await sendUntilRefused(refusing, 0.3)
      refusing.fault = WorkerFault.None
      const refusedLines = entry.lines.length
      await platform.waitUntil(async () => {
        await sendEach(1)
        return entry.lines.slice(refusedLines).some(({ step, worker }) => step === 'offer-request' && worker === refusing.id)
      })
      const offer = entry.lines.slice(refusedLines).find(({ step, worker }) => step === 'offer-request' && worker === refusing.id)
      assert.equal(offer?.failure, 0)
    })
  }

  // Guards against callers that wait inside the VM, or come back too early, while every worker pauses.
  it('has callers refused at once, with the end of the earliest pause, if no other worker is left', async () => {
    for (const [index, worker] of [...platform.workers.values()].entries()) await sendUntilRefused(worker, COOL_DOWN_SECONDS + index * 10)
    const before = [...platform.workers.values()].reduce((sum, { arrivals }) => sum + arrivals, 0)
    const answers = await sendEach(10)
    const arrived = [...platform.workers.values()].reduce((sum, { arrivals }) => sum + arrivals, 0) - before
    assert.ok(arrived <= MAX_TOLERATED * platform.workers.size, `${arrived} requests arrived`)
    for (const { status, headers } of answers) {
      assert.equal(status, 503)
      const retryAfterSeconds = Number(headers['retry-after'])
      assert.ok(retryAfterSeconds > COOL_DOWN_SECONDS - 30 && retryAfterSeconds < COOL_DOWN_SECONDS + 10, `come back after ${retryAfterSeconds} s`)
    }
  })
})
