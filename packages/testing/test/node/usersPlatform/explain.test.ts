import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type Explanation, formatExplanation, RequestExplainer } from '@umberspar/cli/common/explainRequest'
import { parseLogLine } from '@umberspar/cli/common/logLines'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerFault } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const ROUTE = { Name: 'closeouts', Prefix: '/a/', Service: 'desk', Kind: 'non_idempotent', Timeout: '400ms', Goal: '100ms' }

/** The logs alone have to lead from a request's id to the planted cause. */
describe('from a request\'s id to the cause, by the logs alone', { timeout: 30_000 }, () => {
  let platform: LocalPlatform
  let entry: LocalEntry

  beforeEach(async () => {
    platform = new LocalPlatform({ 'north-1': 'north' })
    await platform.addWorker('w-1', 'desk', 'north-1')
    platform.putConfiguration([ROUTE])
    entry = await platform.startEntry('vm-1', 'north-1')
    await platform.waitUntilReady(entry)
  })

  afterEach(async () => { await platform.close() })

  function explain (id: string): Explanation {
    const explainer = new RequestExplainer(id)
    for (const text of entry.text) {
      const line = parseLogLine(`2026-12-02 vm-1 ${text}`)
      if (line !== undefined) explainer.add(line)
    }
    return explainer.explain()
  }

  it('refused though workers were free: the VM believed that the worker leaves', async () => {
    // The worker said by mistake that it leaves. It is idle, and callers are refused.
    platform.putWorker({ id: 'w-1', service: 'desk', domain: 'north-1', address: '127.0.0.1:1', isLeaving: true })
    await platform.waitUntil(() => entry.lines.some(({ change }) => change === 'upstream-changed'))
    assert.equal((await platform.call(entry, { path: '/a/1', method: 'POST', id: 'refused' })).status, 503)
    const explanation = explain('refused')
    assert.match(explanation.conclusion, /no worker may take it/)
    assert.equal(explanation.steps.at(-1)?.line.fields.reason, 'no-worker')
    assert.equal(explanation.steps.at(-1)?.configuration?.fields.subject, '3')
    assert.ok(entry.text.some((text) => text.includes('"upstream-changed"') && text.includes('"w-1"')))
  })

  it('failed after it may have run: the worker reset the connection', async () => {
    platform.workers.get('w-1')!.fault = WorkerFault.AnswerLost
    assert.equal((await platform.call(entry, { path: '/a/1', method: 'POST', id: 'broken' })).status, 502)
    const explanation = explain('broken')
    assert.match(explanation.conclusion, /broke off or failed it after it may have run/)
    const end = explanation.steps.find(({ line }) => line.step === 'end-offer')
    assert.equal(end?.line.fields.end, 'broken')
    assert.equal(end?.line.fields.peer, 'w-1')
    assert.equal(end?.worker?.fields.change, 'upstream-joined')
  })

  it('late: the worker took longer than was expected of it', async () => {
    platform.workers.get('w-1')!.workMs = 250
    assert.equal((await platform.call(entry, { path: '/a/1', method: 'POST', id: 'late' })).status, 200)
    const explanation = explain('late')
    assert.match(explanation.conclusion, /where 100 ms are the goal/)
    const offer = explanation.steps.find(({ line }) => line.step === 'offer-request')
    assert.equal(offer?.line.fields.waitMs, 0, 'it did not wait for a slot')
    assert.match(formatExplanation(explanation), /worker: the view changed, change=upstream-joined subject=w-1/)
  })

  it('a worker that drains by its responses, and not by its registration', async () => {
    platform.workers.get('w-1')!.isDraining = true
    assert.equal((await platform.call(entry, { path: '/a/1', method: 'POST', id: 'first' })).status, 200)
    const lines = entry.lines.filter(({ step }) => step === 'drain-worker')
    assert.deepEqual(lines.map(({ peer, source }) => ({ peer, source })), [{ peer: 'w-1', source: 'response' }])
    const { body } = await platform.ask(entry.settings.listen.metrics, '/metrics')
    assert.match(body, /umberspar_workers_draining_by_response 1\n/)
    assert.match(body, /umberspar_workers_draining_by_registration 0\n/)
  })

  it('a worker that asked for a pause', async () => {
    const worker = platform.workers.get('w-1')!
    worker.fault = WorkerFault.Shed
    worker.retryAfter = ['30']
    assert.equal((await platform.call(entry, { path: '/a/1', method: 'POST', id: 'refused' })).status, 503)
    const end = explain('refused').steps.find(({ line }) => line.step === 'end-offer')
    assert.equal(end?.announcement?.fields.coolDownMs, 30_000)
    assert.match(formatExplanation(explain('refused')), /announcement: worker asked for a cool-down, peer=w-1/)
    assert.match((await platform.ask(entry.settings.listen.metrics, '/metrics')).body, /umberspar_workers_cooling_down 1\n/)
  })

  it('says so when no line names the request', () => {
    assert.match(explain('unknown').conclusion, /No line names this request/)
  })
})
