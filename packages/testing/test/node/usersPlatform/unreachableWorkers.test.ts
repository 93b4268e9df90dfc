import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ConnectionResources } from '@umberspar/base/node/http/connectionResources'
import { EndpointServer } from '@umberspar/entry/node/lookup/endpointServer'
import { findFreeAddresses } from '../../../src/node/deployment/freeAddresses.js'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
import { LinkFault } from '../../../src/node/standIns/tcpRelay.js'
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
const KEY = 'key-of-the-families'
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

  /** Cuts a VM off from all workers and waits until it has noticed. */
  async function breakLinks (entry: LocalEntry): Promise<void> {
    entry.link.setFault(WorkerLinkFault.Hang)
    await platform.waitUntil(async () => {
      await sendEach(entry, 4)
      return countSteps(entry, 'disconnect-workers') === SERVICES.length
    })
  }

  /** @returns the number of runs of requests whose ids begin with a prefix */
  function countRuns (prefix = ''): number {
    return [...platform.workers.values()].flatMap(({ runs }) => runs).filter(({ requestId }) => requestId.startsWith(prefix)).length
  }

  function listAddresses (service: string, domain = ''): string[] {
    return [...platform.workers.keys()]
      .filter((id) => id.startsWith(service) && id.endsWith(domain))
      .map((id) => (JSON.parse(platform.store.state.get(`servers/${id}`)!.value) as { Addr: string }).Addr)
  }

  /** Each request ran as it was sent; what must not be repeated ran once at most. */
  function assertUnchanged (): void {
    const runsById = new Map<string, number>()
    for (const { requestId, path, method, bodyLength } of [...platform.workers.values()].flatMap(({ runs }) => runs)) {
      const isSafe = path === PATHS[0]
      assert.ok(PATHS.includes(path), path)
      assert.equal(method, isSafe ? 'GET' : 'POST')
      assert.equal(bodyLength, isSafe ? 0 : `body of ${requestId}`.length)
      runsById.set(requestId, (runsById.get(requestId) ?? 0) + 1)
      assert.ok(isSafe || runsById.get(requestId) === 1, `${requestId} ran twice`)
    }
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
      assertUnchanged()
    })
  }

  it('sends requests itself again once connections open', async () => {
    const [entry] = entries
    await breakLinks(entry!)
    entry!.link.setFault(WorkerLinkFault.None)
    await platform.waitUntil(() => countSteps(entry!, 'reconnect-workers') === countSteps(entry!, 'disconnect-workers'))
    const relays = countSteps(entry!, 'relay-request')
    const answers = await sendEach(entry!, TRIES)
    assert.equal(countStatus(answers, 200), answers.length)
    assert.equal(countSteps(entry!, 'relay-request'), relays)
  })

  it('sends requests for a service that it reaches itself, and relays those of another one', async () => {
    const [entry] = entries
    entry!.link.setFault(WorkerLinkFault.Hang, listAddresses('ledger'))
    await sendUntil(entry!, platform.clock.now() + STABILITY_MS)
    const answers = await sendEach(entry!, TRIES)
    assert.equal(countStatus(answers, 200), answers.length)
    const relayed = entry!.lines.filter(({ step }) => step === 'relay-request').map(({ service }) => service)
    assert.deepEqual([...new Set(relayed)], ['ledger'])
  })

  it('sends requests to the workers that it reaches while those of a failure domain are lost', async () => {
    const [entry] = entries
    entry!.link.setFault(WorkerLinkFault.Hang, listAddresses('', 'north-1'))
    await sendUntil(entry!, platform.clock.now() + STABILITY_MS)
    const answers = await sendEach(entry!, TRIES)
    assert.equal(countStatus(answers, 200), answers.length)
    assert.equal(countSteps(entry!, 'relay-request'), 0)
  })

  // Guards against requests that VMs pass to each other, and look-ups without addresses, when the workers are gone for all.
  it('refuses at once if no other VM reaches the workers either', async () => {
    for (const entry of entries) entry.link.setFault(WorkerLinkFault.Hang)
    await Promise.all(entries.map(async (entry) => { await sendUntil(entry, platform.clock.now() + STABILITY_MS) }))
    const relays = entries.map((entry) => countSteps(entry, 'relay-request'))
    const startedAt = platform.clock.now()
    const answers = (await Promise.all(entries.map(async (entry) => await sendEach(entry, TRIES)))).flat()
    const seconds = Math.ceil((platform.clock.now() - startedAt) / 1_000)
    assert.equal(countStatus(answers, 503), answers.length)
    assert.ok(answers.every(({ headers }) => Number(headers['retry-after']) > 0))
    // Each VM asks each other one about once a second for each service.
    for (const [index, entry] of entries.entries()) {
      assert.ok(countSteps(entry, 'relay-request') - relays[index]! <= SERVICES.length * (entries.length - 1) * (seconds + 1))
    }
    assert.equal((await platform.lookUp(entries[0]!, 'north-1')).length, 1)
  })

  it('cancels a request at its worker when the caller leaves', async () => {
    const [entry] = entries
    await breakLinks(entry!)
    for (const worker of platform.workers.values()) worker.workMs = LONG_MS
    const running = countRuns()
    const leaving = new AbortController()
    const answer = platform.call(entry!, { path: '/safe/leaves', id: 'leaves', deadlineMs: 60_000, signal: leaving.signal })
    await platform.waitUntil(() => countRuns() > running)
    leaving.abort()
    await assert.rejects(answer)
    await platform.waitUntil(() => [...platform.workers.values()].some(({ cancelled }) => cancelled > 0))
  })

  it('answers 502 for a request that must not be repeated, and repeats another one, when the other VM is lost', async () => {
    const [entry, ...others] = entries
    const relays = await Promise.all(others.map(async (other) => await platform.addPeerRelay(other)))
    await breakLinks(entry!)
    for (const worker of platform.workers.values()) worker.workMs = 500
    for (const [path, status, runs] of [['/unsafe/lost', 502, 1], ['/safe/lost', 200, 2]] as const) {
      const running = countRuns()
      const answer = platform.call(entry!, { path, id: `lost-${status}`, method: status === 502 ? 'POST' : 'GET', deadlineMs: 60_000 })
      await platform.waitUntil(() => countRuns() > running)
      for (const relay of relays) relay.setFault(LinkFault.Reset)
      for (const relay of relays) relay.setFault(LinkFault.None)
      assert.equal((await answer).status, status)
      assert.equal(countRuns(), running + runs)
    }
  })

  // Guards against requests that a planned stop of the other VM cuts off.
  it('gets the answers to its requests from a VM that drains, and sends it no further ones', async () => {
    const [entry, near, far] = entries
    await breakLinks(entry!)
    for (const worker of platform.workers.values()) worker.workMs = 700
    const answers = Array.from({ length: 12 }, async (_, index) => await platform.call(entry!, { path: '/unsafe/drain', id: `drain-${index}`, method: 'POST', deadlineMs: 60_000 }))
    await platform.waitUntil(() => countRuns('drain-') === 12)
    const stopped = new Promise<void>((resolve) => { near!.entry.stop(() => { resolve() }) })
    const later = Array.from({ length: 12 }, async (_, index) => await platform.call(entry!, { path: '/unsafe/drain', id: `later-${index}`, method: 'POST', deadlineMs: 60_000 }))
    assert.ok((await Promise.all([...answers, ...later])).every(({ status }) => status === 200))
    assert.equal(near!.lines.filter(({ step, requestId }) => step === 'offer-request' && String(requestId).startsWith('later-')).length, 0)
    assert.ok(countSteps(far!, 'offer-request') > 0)
    await stopped
  })

  // Guards against a caller that is told that its request has not run because the other VM, where it ran, has lost its workers since.
  it('tells no caller that its request has not run if the other VM lost its workers while it ran', async () => {
    const [entry, ...others] = entries
    await breakLinks(entry!)
    for (const worker of platform.workers.values()) worker.workMs = LONG_MS
    const answers = Array.from({ length: 6 }, async (_, index) => await platform.call(entry!, { path: '/safe/ran', id: `ran-${index}`, deadlineMs: 60_000 }))
    await platform.waitUntil(() => countRuns('ran-') === answers.length)
    for (const worker of platform.workers.values()) worker.workMs = WORK_MS
    for (const other of others) other.link.setFault(WorkerLinkFault.Reset)
    await Promise.all(others.map(async (other) => { await sendUntil(other, platform.clock.now() + CRASH_CHECK_MS) }))
    assert.deepEqual((await Promise.all(answers)).map(({ status }) => status), answers.map(() => 502))
  })

  // Guards against an interim response that is taken for the final one, so that the request is sent once more.
  it('relays a request whose caller expects to be told to continue, once', async () => {
    const [entry] = entries
    await breakLinks(entry!)
    const { status } = await platform.call(entry!, { path: '/up/expects', id: 'expects', method: 'POST', body: 'a body', headers: { Expect: '100-continue' } })
    assert.equal(status, 200)
    assert.equal(countRuns('expects'), 1)
  })

  // Guards against requests to a draining worker from a VM that passed on its announcement without reading it.
  it('learns from a relayed response that its worker drains', async () => {
    const [entry] = entries
    await breakLinks(entry!)
    for (const worker of platform.workers.values()) worker.isDraining = worker.id.endsWith('north-1')
    await platform.waitUntil(async () => {
      await sendEach(entry!, 4)
      return entry!.lines.some(({ step, peer }) => step === 'drain-worker' && String(peer).endsWith('north-1'))
    })
  })

  // Guards against a healthy worker that counts as draining because of another one's response.
  it('learns from a relayed error response that its worker drains, not the one tried after it', async () => {
    const [entry] = entries
    await breakLinks(entry!)
    for (const worker of platform.workers.values()) {
      worker.isDraining = worker.id.endsWith('north-1')
      worker.fault = worker.isDraining ? WorkerFault.Fail : WorkerFault.AnswerLost
    }
    await platform.waitUntil(async () => {
      await platform.call(entry!, { path: '/safe/fails', id: `fails-${requests++}` })
      return entry!.lines.some(({ step }) => step === 'drain-worker')
    })
    assert.ok(entry!.lines.filter(({ step }) => step === 'drain-worker').every(({ peer }) => String(peer).endsWith('north-1')))
  })

  // Guards against requests to workers that asked the relaying VM for a pause.
  it('keeps the pauses that workers asked either VM for', async () => {
    const [entry] = entries
    const paused = [...platform.workers.values()].filter(({ id }) => id.startsWith('archive'))
    for (const worker of paused) {
      worker.fault = WorkerFault.Shed
      worker.retryAfter = ['30']
    }
    const isPaused = (each: LocalEntry): boolean => new Set(each.lines.filter(({ step }) => step === 'cool-down-worker').map(({ peer }) => peer)).size === paused.length
    await platform.waitUntil(async () => {
      await sendEach(entry!, 6)
      return isPaused(entry!)
    })
    const arrivals = paused.reduce((sum, worker) => sum + worker.arrivals, 0)
    await breakLinks(entry!)
    const answers = await sendEach(entry!, TRIES)
    assert.ok(answers.every(({ status }) => status === 200 || status === 503))
    assert.equal(paused.reduce((sum, worker) => sum + worker.arrivals, 0), arrivals)
  })

  // Guards against requests whose body leaves the regions that may have it.
  it('relays requests of routes with homes only to VMs there', async () => {
    const [entry] = entries
    platform.putConfiguration([...ROUTES, { Name: 'homed', Prefix: '/home/', Service: 'ledger', Kind: 'upload', HomeRegions: ['south'] }])
    await platform.waitUntil(() => entries.every(({ lines }) => lines.filter(({ change }) => change === 'document-adopted').length > 1))
    await breakLinks(entry!)
    for (let index = 0; index < 20; index++) {
      assert.equal((await platform.call(entry!, { path: '/home/1', id: `home-${index}`, method: 'POST', body: 'at home' })).status, 200)
    }
    const relays = entry!.lines.filter(({ step, requestId }) => step === 'relay-request' && String(requestId).startsWith('home-')).map(({ peer }) => peer)
    assert.deepEqual([...new Set(relays)], ['vm-2'])
  })

  it('does without VMs of a build that knows no relays', async () => {
    const [entry] = entries
    const resources = new ConnectionResources({ clock: platform.clock, maxBytes: 1_000_000 })
    const old = new EndpointServer(resources, resources.createLimit(100))
    const [address] = await findFreeAddresses('127.0.0.1', 1)
    await old.listen(address!)
    platform.store.put('entry-vms/vm-old', { address, peerAddress: address, domain: 'north-1' })
    await platform.waitUntil(() => entry!.lines.some(({ change, subject }) => change === 'node-joined' && subject === 'vm-old'))
    await breakLinks(entry!)
    const answers = await sendEach(entry!, TRIES)
    assert.equal(countStatus(answers, 200), answers.length)
    assert.ok(entry!.lines.some(({ step, peer }) => step === 'relay-request' && peer === 'vm-old'))
    old.close()
  })

  it('has keys checked by both VMs and keeps them from workers', async () => {
    const [entry] = entries
    const headers = { Authorization: `Bearer ${KEY}` }
    const callOnce = async (id: string): Promise<number> => (await platform.call(entry!, { path: '/safe/keyed', id, headers })).status
    platform.putConfiguration(ROUTES, 7, [{ Name: 'families', ApiKeys: [KEY], RatePerS: 100, Burst: 100 }])
    await platform.waitUntil(async () => await callOnce('before') === 200)
    // Requests without a key find out that the workers can't be reached.
    entry!.link.setFault(WorkerLinkFault.Hang)
    platform.putConfiguration([...ROUTES, { Name: 'open', Prefix: '/open/', Service: 'archive', NoAuth: true }])
    await platform.waitUntil(async () => (await platform.call(entry!, { path: '/open/1', id: 'open' })).status === 200 && countSteps(entry!, 'relay-request') > 0)
    const statuses: number[] = []
    for (let index = 0; index < TRIES; index++) statuses.push(await callOnce(`keyed-${index}`))
    assert.deepEqual(new Set(statuses), new Set([200]))
    const runs = [...platform.workers.values()].flatMap((worker) => worker.runs).filter(({ requestId }) => requestId.startsWith('keyed-'))
    assert.equal(runs.length, TRIES)
    assert.ok(runs.every(({ account, authorization }) => account === 'families' && authorization === ''))
    platform.putConfiguration(ROUTES, 7, [{ Name: 'families', ApiKeys: ['another key'], RatePerS: 100, Burst: 100 }])
    await platform.waitUntil(async () => await callOnce('removed') === 401)
    const running = countRuns('removed')
    for (let index = 0; index < TRIES; index++) assert.equal(await callOnce('removed'), 401)
    assert.equal(countRuns('removed'), running)
  })

  // Guards against callers that pass themselves off as entry VMs.
  it('takes nothing that a caller sends for a relayed request', async () => {
    const [entry] = entries
    assert.equal((await platform.call(entry!, { path: '/v1/relay/safe/1', id: 'forged-1', headers: { 'umberspar-relay': '0 archive' } })).status, 404)
    const answer = await platform.call(entry!, { path: '/safe/1', id: 'forged-2', headers: { 'umberspar-relay': '9 ledger' } })
    assert.equal(answer.status, 200)
    assert.equal(answer.headers['umberspar-relay'], undefined)
    await breakLinks(entry!)
    assert.equal((await sendOne(entry!, '/safe/1')).headers['umberspar-relay'], undefined)
  })

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
