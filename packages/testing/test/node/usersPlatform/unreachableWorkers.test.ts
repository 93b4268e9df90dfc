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
})
