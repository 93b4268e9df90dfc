import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import type { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const DOMAINS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south' }
const ROUTES = [{ Name: 'lookups', Prefix: '/safe/', Service: 'archive' }]
const RATE_LIMIT = 5
/** The span over which a worker's limit is kept. */
const WINDOW_MS = 4_000
const MS_PER_SECOND = 1_000

describe('a worker that names a rate limit', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entries: LocalEntry[]
  let limited: PlatformWorkerStandIn
  let requests = 0

  beforeEach(async () => {
    platform = new LocalPlatform(DOMAINS)
    limited = await platform.addWorker('w-limited', 'archive', 'north-1')
    await platform.addWorker('w-2', 'archive', 'north-2')
    await platform.addWorker('w-3', 'archive', 'south-1')
    platform.putConfiguration(ROUTES)
    entries = await Promise.all(Object.keys(DOMAINS).flatMap((domain, index) => [
      platform.startEntry(`vm-${index}-a`, domain), platform.startEntry(`vm-${index}-b`, domain)
    ]))
    for (const entry of entries) await platform.waitUntilReady(entry)
    await platform.waitUntil(() => entries.every(({ lines }) => lines.filter(({ change }) => change === 'node-joined').length >= entries.length))
  })

  afterEach(async () => { await platform.close() })

  /** Sends requests for as many objects to each VM, so that every worker is the first choice for some. */
  async function sendEach (count: number): Promise<ClientAnswer[]> {
    return await Promise.all(entries.flatMap((entry) => Array.from({ length: count }, async () => {
      const id = requests++
      return await platform.call(entry, { path: `/safe/${id}`, id: `id-${id}`, key: `${id}` })
    })))
  }

  /** @returns the requests that all windows may bring which touch the span since an instant */
  function countAllowed (since: number): number {
    return (1 + Math.ceil((platform.clock.now() - since) / WINDOW_MS)) * RATE_LIMIT * WINDOW_MS / MS_PER_SECOND
  }

  /** Each VM learns of a limit, and of its end, from a response or from the record of another VM. */
  function hasLearned ({ lines }: LocalEntry, expected: number | undefined): boolean {
    const change = expected === undefined ? 'rate-limit-ended' : 'rate-limit-reported'
    return lines.some((line) => (line['step'] === 'limit-rate' && line['perSecond'] === expected) || line['change'] === change)
  }

  async function sendUntilAllKnow (): Promise<void> {
    limited.rateLimit = RATE_LIMIT
    await platform.waitUntil(async () => {
      await sendEach(1)
      return entries.every((entry) => hasLearned(entry, RATE_LIMIT))
    })
  }

  // Guards against entry VMs that together exceed a limit which none of them exceeds alone.
  it('gets no more than that from all entry VMs together, once they know of it', async () => {
    await sendUntilAllKnow()
    const before = limited.arrivals
    const startedAt = platform.clock.now()
    const answers = await sendEach(60)
    const arrived = limited.arrivals - before
    assert.ok(arrived <= countAllowed(startedAt), `${arrived} requests arrived`)
    assert.ok(answers.every(({ status }) => status === 200), 'the other workers have room')
  })

  // Guards against a limit that lasts longer than its worker names it.
  it('gets its part again when its answers name none any more', async () => {
    await sendUntilAllKnow()
    limited.rateLimit = undefined
    await platform.waitUntil(async () => {
      await sendEach(2)
      return entries.every((entry) => hasLearned(entry, undefined))
    })
    const before = limited.arrivals
    const startedAt = platform.clock.now()
    await sendEach(60)
    assert.ok(limited.arrivals - before > countAllowed(startedAt))
  })

  // Guards against callers that wait for nothing when only workers with exhausted limits are left.
  it('has requests refused at once, with when to come back, if no other worker may take them', async () => {
    platform.removeWorker('w-2')
    platform.removeWorker('w-3')
    await platform.waitUntil(() => entries.every(({ lines }) => lines.filter(({ change }) => change === 'upstream-left').length === 2))
    await sendUntilAllKnow()
    const startedAt = platform.clock.now()
    const answers = await sendEach(20)
    const refused = answers.filter(({ status }) => status === 503)
    assert.ok(refused.length >= answers.length - countAllowed(startedAt), `${refused.length} of ${answers.length} refused`)
    assert.ok(refused.every(({ headers }) => Number(headers['retry-after']) > 0))
  })
})
