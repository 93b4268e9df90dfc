import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerLinkFault } from '../../../src/node/standIns/usersPlatform/workerLink.js'

const DOMAINS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south' }
const SERVICES = ['archive', 'ledger']
const ROUTES = [
  { Name: 'lookups', Prefix: '/safe/', Service: 'archive' },
  { Name: 'closeouts', Prefix: '/unsafe/', Service: 'ledger', Kind: 'non_idempotent' },
  { Name: 'uploads', Prefix: '/up/', Service: 'ledger', Kind: 'upload' }
]
const PATHS = ROUTES.map(({ Prefix }) => `${Prefix}1`)
const WORK_MS = 20
const LONG_MS = 30_000
/** So many crashed workers are evidence against a request. */
const CRASHED_WORKERS = 3
/** Rounds in which each worker is likely to get the request once. */
const MAX_ROUNDS = 20
/** By then a worker whose connection broke has been checked. */
const CRASH_CHECK_MS = 1_000
/** From so long after the links are cut, first tries must be served as often as elsewhere. */
const STABILITY_MS = 3_000
const TRIES = 40

describe('an entry process that has lost its links to all workers', { timeout: 120_000 }, () => {
  let platform: LocalPlatform
  let entries: LocalEntry[]
  let requests = 0

  beforeEach(async () => {
    platform = new LocalPlatform(DOMAINS)
    for (const domain of Object.keys(DOMAINS)) {
      for (const service of SERVICES) (await platform.addWorker(`${service}-${domain}`, service, domain)).workMs = WORK_MS
    }
    platform.putConfiguration(ROUTES)
    entries = await Promise.all(Object.keys(DOMAINS).map(async (domain, index) => await platform.startEntry(`vm-${index}`, domain)))
    for (const entry of entries) await platform.waitUntilReady(entry)
    await platform.waitUntil(() => entries.every(({ lines }) => lines.filter(({ change }) => change === 'node-joined').length >= 2))
    await sendEach(entries[0]!, TRIES)
  })

  afterEach(async () => { await platform.close() })

  async function sendOne (entry: LocalEntry, path: string): Promise<ClientAnswer> {
    const id = `id-${requests++}`
    const body = path.startsWith('/safe/') ? undefined : `body of ${id}`
    return await platform.call(entry, { path, id, key: id, deadlineMs: 2_000, method: body === undefined ? 'GET' : 'POST', body })
  }

  /** Sends requests to all paths in turn, four at a time. */
  async function sendEach (entry: LocalEntry, count: number): Promise<ClientAnswer[]> {
    const answers: ClientAnswer[] = []
    const sendSome = async (): Promise<void> => {
      while (answers.length < count) answers.push(await sendOne(entry, PATHS[requests % PATHS.length]!))
    }
    await Promise.all([sendSome(), sendSome(), sendSome(), sendSome()])
    return answers
  }

  async function sendUntil (entry: LocalEntry, until: number): Promise<void> {
    while (platform.clock.now() < until) await sendEach(entry, 4)
  }

  function countSteps ({ lines }: LocalEntry, step: string): number {
    return lines.filter((line) => line.step === step).length
  }

  function countStatus (answers: readonly ClientAnswer[], status: number): number {
    return answers.filter((answer) => answer.status === status).length
  }

  for (const fault of [WorkerLinkFault.Hang, WorkerLinkFault.Reset, WorkerLinkFault.RefuseNew]) {
    // Guards against entry VMs that refuse their callers while other VMs reach the workers.
    it(`serves its callers by way of other VMs while connections to workers: ${fault}`, async () => {
      const [entry] = entries
      entry!.link.setFault(fault)
      await sendUntil(entry!, platform.clock.now() + STABILITY_MS)
      const answers = await sendEach(entry!, TRIES)
      assert.equal(countStatus(answers, 200), answers.length, `statuses ${answers.map(({ status }) => status).join(' ')}`)
    })
  }

  // Guards against a quarantine of requests whose connections broke because this VM lost its links.
  it('does not take requests whose connections were reset for ones that crash workers', async () => {
    const [entry] = entries
    for (const name of ['second', 'third']) await platform.addWorker(`ledger-${name}`, 'ledger', 'north-1')
    await platform.waitUntil(() => entry!.lines.some(({ subject }) => subject === 'ledger-third'))
    const ledgers = [...platform.workers.values()].filter(({ id }) => id.startsWith('ledger'))
    const sendSame = async (): Promise<ClientAnswer> => await platform.call(entry!, { path: '/unsafe/same', id: `same-${requests++}`, method: 'POST', body: 'same', deadlineMs: 60_000 })
    const broken = new Set<string>()
    for (let round = 0; round < MAX_ROUNDS && broken.size < CRASHED_WORKERS; round++) {
      for (const ledger of ledgers) ledger.workMs = LONG_MS
      const runs = ledgers.map((ledger) => ledger.runs.length)
      const answer = sendSame()
      const listRunning = (): string[] => ledgers.filter((ledger, index) => ledger.runs.length > runs[index]!).map(({ id }) => id)
      await platform.waitUntil(() => listRunning().length > 0)
      for (const id of listRunning()) broken.add(id)
      entry!.link.setFault(WorkerLinkFault.Reset)
      assert.equal((await answer).status, 502)
      for (const ledger of ledgers) ledger.workMs = WORK_MS
      await sendUntil(entry!, platform.clock.now() + CRASH_CHECK_MS)
      entry!.link.setFault(WorkerLinkFault.None)
      await platform.waitUntil(() => countSteps(entry!, 'reconnect-workers') === countSteps(entry!, 'disconnect-workers'))
    }
    assert.ok(broken.size >= CRASHED_WORKERS)
    for (const ledger of ledgers) ledger.workMs = WORK_MS
    assert.equal((await sendSame()).status, 200)
    assert.ok(entries.every((each) => countSteps(each, 'quarantine-request') === 0))
  })
})
