import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'

const ROUTE = { Service: 'archive', Goal: '400ms', Timeout: '3s', Attempts: 1, Sticky: false }
const ROUTES = [
  { ...ROUTE, Name: 'urgent', Prefix: '/urgent/', Priority: 0 },
  { ...ROUTE, Name: 'other', Prefix: '/other/', Priority: 5 }
]
const WORK_MS = 50
/** Slots all used, and a queue that makes an answer on time uncertain. */
const FULL_LOAD = '4,24,4'
const ROUNDS = 120

describe('a service without room', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry
  let requests = 0

  async function startPlatform (routes: typeof ROUTES): Promise<void> {
    platform = new LocalPlatform({ 'north-1': 'north' })
    const worker = await platform.addWorker('w-1', 'archive', 'north-1')
    worker.workMs = WORK_MS
    platform.putConfiguration(routes)
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
    // Enough answers that the estimate of the service time counts.
    for (let index = 0; index < 30; index++) await Promise.all(['urgent', 'other'].map(async (route) => await call(route)))
    worker.load = FULL_LOAD
  }

  afterEach(async () => { await platform.close() })

  async function call (route: string): Promise<ClientAnswer & { readonly id: string }> {
    const id = `id-${requests++}`
    return { ...await platform.call(entry, { path: `/${route}/${id}`, id }), id }
  }

  // Guards against overflow that takes the slots of urgent requests.
  it('refuses less urgent requests first, and tells their callers when to return and operators why', async () => {
    await startPlatform(ROUTES)
    const answers = { urgent: [] as ClientAnswer[], other: [] as Array<ClientAnswer & { readonly id: string }> }
    for (let round = 0; round < ROUNDS; round++) {
      const [urgent, other] = await Promise.all([call('urgent'), call('other')])
      answers.urgent.push(urgent)
      answers.other.push(other)
    }
    const countServed = (list: readonly ClientAnswer[]): number => list.filter(({ status }) => status === 200).length
    const yields = entry.lines.filter(({ step }) => step === 'yield-request')
    assert.ok(yields.length > 0)
    assert.ok(yields.every(({ priority, reason }) => priority === 5 && reason === 'priority-yielded'))
    assert.ok(countServed(answers.urgent) >= countServed(answers.other), `${countServed(answers.urgent)} urgent ones served, ${countServed(answers.other)} others`)
    const refused = answers.other.find(({ id }) => id === yields[0]!.requestId)!
    assert.equal(refused.status, 503)
    assert.ok(Number(refused.headers['retry-after']) > 0)
    assert.ok(entry.lines.some(({ step, requestId, reason }) => step === 'end-request' && requestId === refused.id && reason === 'priority-yielded'))
  })

  it('refuses nobody for its rank where all routes have one priority', async () => {
    await startPlatform(ROUTES.map((route) => ({ ...route, Priority: 5 })))
    for (let round = 0; round < ROUNDS; round++) await Promise.all([call('urgent'), call('other')])
    assert.equal(entry.lines.filter(({ step }) => step === 'yield-request').length, 0)
  })
})
