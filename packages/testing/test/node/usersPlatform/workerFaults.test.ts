import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { PipelinedCaller } from '../../../src/node/standIns/usersPlatform/pipelinedCaller.js'
import { ENDLESS_FRAMING_FAULTS, WorkerFault } from '../../../src/node/standIns/usersPlatform/workerFault.js'

const IDS = ['w-1', 'w-2', 'w-3']
const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive' },
  { Name: 'closeouts', Prefix: '/unsafe/', Service: 'archive', Kind: 'non_idempotent' }
]

/** What callers of both kinds get while all workers have a fault, and how often their requests run. */
interface Expectation {
  readonly fault: WorkerFault
  readonly safeStatus: number
  readonly safeRuns: number
  readonly unsafeStatus: number
  readonly unsafeRuns: number
}

const EXPECTATIONS: readonly Expectation[] = [
  { fault: WorkerFault.None, safeStatus: 200, safeRuns: 1, unsafeStatus: 200, unsafeRuns: 1 },
  { fault: WorkerFault.Shed, safeStatus: 503, safeRuns: 0, unsafeStatus: 503, unsafeRuns: 0 },
  { fault: WorkerFault.AnswerLost, safeStatus: 502, safeRuns: 2, unsafeStatus: 502, unsafeRuns: 1 },
  { fault: WorkerFault.Fail, safeStatus: 500, safeRuns: 2, unsafeStatus: 500, unsafeRuns: 1 },
  { fault: WorkerFault.Extra, safeStatus: 200, safeRuns: 1, unsafeStatus: 200, unsafeRuns: 1 },
  { fault: WorkerFault.LateExtra, safeStatus: 200, safeRuns: 1, unsafeStatus: 200, unsafeRuns: 1 },
  { fault: WorkerFault.Rot, safeStatus: 502, safeRuns: 2, unsafeStatus: 502, unsafeRuns: 1 },
  { fault: WorkerFault.Short, safeStatus: 502, safeRuns: 2, unsafeStatus: 502, unsafeRuns: 1 },
  // Guards against processes that end, and callers without any answer, when a response can't be forwarded.
  { fault: WorkerFault.InvalidField, safeStatus: 502, safeRuns: 2, unsafeStatus: 502, unsafeRuns: 1 },
  { fault: WorkerFault.InvalidFieldUnframed, safeStatus: 502, safeRuns: 2, unsafeStatus: 502, unsafeRuns: 1 },
  { fault: WorkerFault.InvalidFieldName, safeStatus: 502, safeRuns: 2, unsafeStatus: 502, unsafeRuns: 1 },
  { fault: WorkerFault.Unsealed, safeStatus: 502, safeRuns: 2, unsafeStatus: 502, unsafeRuns: 1 }
]

/** Responses of which a part has no end, and which are given up. */
const ENDLESS_FAULTS = [
  ...ENDLESS_FRAMING_FAULTS,
  WorkerFault.EndlessRefusal,
  WorkerFault.EndlessUnsealed,
  WorkerFault.EndlessLateExtra
]
/** What the socket buffers of the operating system may take after the connection's other end has closed it. */
const MAX_ENDLESS_BYTES = 16_000_000

describe('faulty workers on the users\' platform', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    for (const id of IDS) await platform.addWorker(id, 'archive', 'north-1')
    platform.putConfiguration(ROUTES)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  function setFault (fault: WorkerFault): void {
    for (const worker of platform.workers.values()) worker.fault = fault
  }

  function countRuns (): number {
    return [...platform.workers.values()].reduce((sum, { runs }) => sum + runs.length, 0)
  }

  async function readRepeatsLeft (): Promise<number> {
    const { body } = await platform.ask(entry.settings.listen.metrics, '/metrics')
    return Number(/umberspar_repeats_left\{service="archive"\} (\d+)/.exec(body)?.[1])
  }

  it('counts a request for the budget of repeats once, however often no connection could be opened', async () => {
    // Workers crash and nobody listens at their addresses any more. Each try to
    // connect counted as a request of its own, so that one request earned the budget
    // of four, and all VMs together sent more repeats than the operators allow.
    for (const worker of platform.workers.values()) worker.close()
    const requests = 8
    const before = await (async () => {
      await platform.call(entry, { path: '/safe/0', id: 'first' })
      return await readRepeatsLeft()
    })()
    for (let index = 0; index < requests; index++) await platform.call(entry, { path: `/safe/${index}`, id: `safe-${index}` })
    // 0.2 repeats a request, of which 0.7 are spent, in whole repeats.
    assert.ok(await readRepeatsLeft() - before <= Math.ceil(requests * 0.2 * 0.7))
  })

  for (const { fault, safeStatus, safeRuns, unsafeStatus, unsafeRuns } of EXPECTATIONS) {
    it(`tells the truth when every worker has the fault '${fault}'`, async () => {
      setFault(fault)
      const safe = await platform.call(entry, { path: '/safe/1', id: 'safe', key: '1' })
      assert.equal(safe.status, safeStatus)
      assert.equal(countRuns(), safeRuns)
      const unsafe = await platform.call(entry, { path: '/unsafe/1', method: 'POST', id: 'unsafe', key: '1' })
      assert.equal(unsafe.status, unsafeStatus)
      assert.equal(countRuns() - safeRuns, unsafeRuns, 'a request that must not be repeated runs at most once')
      for (const { status, body } of [safe, unsafe]) {
        if (status === 200) assert.equal(body, 'the whole answer')
      }
    })
  }

  for (const fault of ENDLESS_FAULTS) {
    // Guards against processes that run out of memory when a worker's response never ends.
    it(`gives up responses with the fault '${fault}'`, async () => {
      setFault(fault)
      const safe = await platform.call(entry, { path: '/safe/1', id: 'safe', key: '1' })
      const unsafe = await platform.call(entry, { path: '/unsafe/1', method: 'POST', id: 'unsafe', key: '1' })
      // Not 504, as after the time limit.
      assert.deepEqual([safe.status, unsafe.status, countRuns()], [502, 502, 3])
      const bytes = [...platform.workers.values()].map(({ endlessBytes }) => endlessBytes)
      assert.ok(Math.max(...bytes) < MAX_ENDLESS_BYTES, String(bytes))
    })
  }

  it('retries elsewhere when a failure has no end', async () => {
    // Guards against processes that run out of memory when a worker's failure never ends.
    for (const id of ['w-1', 'w-2']) platform.workers.get(id)!.fault = WorkerFault.EndlessFailure
    const answers = await Promise.all(['1', '2', '3', '4'].map((key) => platform.call(entry, { path: '/safe/1', id: `id-${key}`, key })))
    assert.ok(answers.some(({ status }) => status === 200))
    assert.ok(answers.every(({ status }) => status === 200 || status === 502))
  })

  it('passes on a success without end until its caller leaves', async () => {
    setFault(WorkerFault.EndlessBody)
    const caller = new PipelinedCaller(entry.settings.listen.callers)
    caller.send([{ id: 'endless', path: '/safe/1', key: '1' }])
    await platform.waitUntil(() => caller.receivedBytes > MAX_ENDLESS_BYTES)
    caller.close()
    await platform.waitUntil(() => [...platform.workers.values()].every(({ openSockets }) => openSockets === 0))
    assert.equal(countRuns(), 1)
  })

  it('has workers that answer what they run when they begin to refuse', async () => {
    // The soak's seed 132 showed an assignment that ran twice. The stand-in of the
    // workers had said "not run" of a request that it was running when its fault
    // changed to refusing, so that the VM offered it to another worker, as it may.
    const workers = [...platform.workers.values()]
    for (const worker of workers) worker.workMs = 100
    const answered = platform.call(entry, { path: '/unsafe/1', id: 'unsafe' })
    await platform.waitUntil(() => countRuns() === 1)
    setFault(WorkerFault.Shed)
    assert.equal((await answered).status, 200)
    assert.equal(countRuns(), 1)
  })

  it('never gives a caller an answer to an earlier request of its connection', async () => {
    // A worker sends a second answer to each request. On a kept connection it would
    // stand where the next caller's answer is expected, and that caller would get
    // another's itinerary.
    setFault(WorkerFault.Extra)
    for (let index = 0; index < 20; index++) {
      const answer = await platform.call(entry, { path: '/safe/1', id: `id-${index}`, key: '1' })
      assert.equal(answer.headers['x-umberspar-request-id'], `id-${index}`)
      assert.equal(answer.body, 'the whole answer')
    }
  })

  it('repeats an idempotent request at a healthy worker', async () => {
    platform.workers.get('w-1')!.fault = WorkerFault.AnswerLost
    platform.workers.get('w-2')!.fault = WorkerFault.AnswerLost
    const answers = await Promise.all(['1', '2', '3', '4'].map((key) => platform.call(entry, { path: '/safe/1', id: `id-${key}`, key })))
    assert.ok(answers.filter(({ status }) => status === 200).length >= 3, 'at most the requests that met both faulty workers fail')
  })

  it('does not retry on a budget that a process before it may have spent', async () => {
    // Guards against retries beyond the budget of all VMs when processes start again and again.
    const restarted = await platform.startEntry('vm-2', 'north-1', [], platform.clock.now())
    await platform.waitUntilReady(restarted)
    setFault(WorkerFault.Fail)
    const answer = await platform.call(restarted, { path: '/safe/1', id: 'safe', key: '1' })
    assert.equal(answer.status, 500)
    assert.equal(countRuns(), 1)
  })

  it('keeps away from a worker that another service\'s worker has replaced at its address', async () => {
    // A worker ends without a word and its address goes to another service before
    // its registration lapses. The new worker must not run the request, and the
    // caller is served by another.
    const replaced = platform.workers.get('w-1')!
    const address = (JSON.parse(platform.store.state.get('servers/w-1')!.value) as { Addr: string }).Addr
    platform.putWorker({ id: 'w-9', service: 'archive', domain: 'north-1', address })
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'upstream-joined' && subject === 'w-9'))
    for (let index = 0; index < 10; index++) {
      assert.equal((await platform.call(entry, { path: '/safe/1', id: `id-${index}`, key: `${index}` })).status, 200)
    }
    assert.ok(replaced.runs.every(({ requestId }) => requestId.startsWith('id-')))
  })

  // Guards against load reports that are ignored whole because of a figure that a later platform appends.
  for (const load of ['9,5,4', '9,5,4,130']) {
    it(`believes a worker that tells its load as ${load}`, async () => {
      for (const worker of platform.workers.values()) worker.load = load
      for (const key of ['1', '2', '3', '4', '5', '6', '7', '8']) await platform.call(entry, { path: '/safe/1', id: key, key })
      const offer = entry.lines.findLast(({ step }) => step === 'offer-request')
      assert.ok(Number(offer?.held) >= 14)
    })
  }

  it('sends a cold worker no more than its part in a second', async () => {
    platform.removeWorker('w-1')
    platform.removeWorker('w-2')
    platform.removeWorker('w-3')
    const cold = await platform.addWorker('w-cold', 'archive', 'north-1', 60_000)
    await platform.waitUntil(() => entry.lines.some(({ change, subject }) => change === 'upstream-joined' && subject === 'w-cold'))
    const startedAt = platform.clock.now()
    const answers = await Promise.all(Array.from({ length: 60 }, (_, index) => platform.call(entry, { path: '/safe/1', id: `id-${index}`, key: `${index}` })))
    // 0.7 of 7 x 1.5 + 5 requests in any second, for the only entry VM, however long the calls took.
    const seconds = 1 + Math.ceil((platform.clock.now() - startedAt) / 1_000)
    assert.ok(cold.arrivals <= 10 * seconds)
    assert.ok(answers.every(({ status }) => status === 200 || status === 503))
  })
})
