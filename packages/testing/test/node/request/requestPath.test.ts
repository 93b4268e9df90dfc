/** The daemon's request path over sockets, with upstreams that fail in every way. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { Readable } from 'node:stream'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Agent, request, type Dispatcher } from 'undici'
import { ExecutionKind } from '../../../src/node/standIns/upstream/executionEvent.js'
import { AnswerFault, RequestFault } from '../../../src/node/standIns/upstream/workerFaults.js'
import { EntryUnderTest, ONCE_SERVICE, PLAIN_SERVICE } from './entryUnderTest.js'

interface Answer {
  readonly status: number
  readonly body: { outcome?: string, type?: string, requestId?: string, firstStatus?: number }
  readonly retryAfter: string | undefined
}

let entry: EntryUnderTest
let agent: Agent

beforeEach(async () => {
  agent = new Agent()
  entry = await EntryUnderTest.start()
})

afterEach(async () => {
  await agent.close()
  await entry.close()
})

async function sendRequest (method: Dispatcher.HttpMethod, service: string, id: string, headers: Record<string, string> = {}, body: string | Readable | null = null): Promise<Answer> {
  const answer = await request(entry.getUrl(service, '/work'), { method, body, dispatcher: agent, headers: { 'umberspar-request-id': id, ...headers } })
  const text = await answer.body.text()
  return { status: answer.statusCode, body: text === '' ? {} : JSON.parse(text), retryAfter: answer.headers['retry-after'] as string | undefined }
}

/**
 * On a busy machine a short time limit passes before the request has left; the
 * answer then says so, and the next one gets twice the time.
 */
async function sendUntilStarted (spanMs: number): Promise<Answer> {
  const id = `late-${spanMs}`
  const answer = await sendRequest('POST', PLAIN_SERVICE, id, { 'umberspar-timeout-ms': String(spanMs) }, 'body')
  assert.equal(answer.status, 504)
  return entry.listRuns().includes(id) ? answer : await sendUntilStarted(2 * spanMs)
}

describe('the request path, when an upstream fails', () => {
  // An escort is assigned; the worker runs it and its connection breaks before the
  // first byte of the answer. Sent again it would put two staff at one gate.
  it('answers unknown and does not repeat what is not idempotent', async () => {
    entry.platform.fleet.setFaults({ answerFaults: { [AnswerFault.ResetBeforeFirstByte]: 1 } })
    const answer = await sendRequest('POST', PLAIN_SERVICE, 'a', {}, 'body')
    assert.deepEqual([answer.status, answer.body.outcome, answer.retryAfter], [502, 'unknown', undefined])
    assert.deepEqual(entry.listRuns(), ['a'])
  })

  // The same with a look-up of an itinerary: it is repeated, with pauses, and given
  // up at once when its attempts are used up, long before its deadline.
  it('repeats what is idempotent on the other worker, and no more than allowed', async () => {
    entry.platform.fleet.setFaults({ answerFaults: { [AnswerFault.ResetBeforeFirstByte]: 1 } })
    const failed = await sendRequest('GET', PLAIN_SERVICE, 'a')
    assert.equal(failed.body.outcome, 'unknown')
    const workers = entry.executions.filter(({ kind }) => kind === ExecutionKind.Started).map(({ workerId }) => workerId)
    assert.deepEqual([...workers].sort(), [`${PLAIN_SERVICE}/klang-a/w1`, `${PLAIN_SERVICE}/klang-a/w2`])
    entry.platform.fleet.clearFaults()
    const answered = await sendRequest('GET', PLAIN_SERVICE, 'b')
    assert.deepEqual([answered.status, answered.body.requestId], [200, 'b'])
  })

  // A worker dies in the middle of its answer. A caller that took the first half
  // for the whole would show half an itinerary.
  it('breaks the caller\'s connection where the upstream\'s answer breaks', async () => {
    for (const fault of [AnswerFault.ShortOfContentLength, AnswerFault.UnfinishedChunks, AnswerFault.MalformedChunk, AnswerFault.ResetAfterFirstByte]) {
      entry.platform.fleet.setFaults({ answerFaults: { [fault]: 1 } })
      await assert.rejects(sendRequest('POST', PLAIN_SERVICE, fault, {}, 'body'), fault)
    }
    assert.equal(entry.listRuns().length, 4)
  })

  // A worker answers a payment after its deadline, when the caller has had its 504.
  // Read from a kept connection the late answer would go to the next caller.
  it('never reads a late answer as the next one', async () => {
    entry.platform.fleet.setFaults({ answerFaults: { [AnswerFault.Late]: 1 }, lateSpanMs: 1 })
    const late = await sendUntilStarted(50)
    assert.deepEqual([late.status, late.body.outcome], [504, 'unknown'])
    entry.platform.fleet.clearFaults()
    for (let index = 0; index < 8; index++) {
      const next = await sendRequest('POST', PLAIN_SERVICE, `next-${index}`, {}, 'body')
      assert.deepEqual([next.status, next.body.requestId], [200, `next-${index}`])
    }
  })

  // Both workers refuse an upload, one after it read the body. Nothing ran, so the
  // caller is told so at once, and when to come back.
  it('answers not-run with Retry-After when every upstream refused', async () => {
    entry.platform.fleet.setFaults({ requestFaults: { [RequestFault.RefuseAfterBody]: 1 } })
    const answer = await sendRequest('POST', PLAIN_SERVICE, 'a', {}, 'body')
    assert.deepEqual([answer.status, answer.body.outcome], [503, 'not-run'])
    assert.ok(Number(answer.retryAfter) >= 1)
    const streamed = await sendRequest('POST', PLAIN_SERVICE, 'b', {}, Readable.from(['part', 'part']))
    assert.equal(streamed.body.outcome, 'not-run')
    const tries = entry.executions.filter(({ requestId, kind }) => requestId === 'b' && kind === ExecutionKind.Refused).length
    assert.equal(tries, 1, 'a streamed body that was touched was sent again')
    assert.deepEqual(entry.listRuns(), [])
  })

  // Guards against requests to upstream workers that asked for a pause, and callers that wait for its end.
  it('sends nothing to workers that refused with Retry-After until that time is over, and refuses at once', async () => {
    entry.platform.fleet.setFaults({ requestFaults: { [RequestFault.Refuse]: 1 }, retryAfterSeconds: 60 })
    await sendRequest('GET', PLAIN_SERVICE, 'a')
    await sendRequest('GET', PLAIN_SERVICE, 'b')
    entry.platform.fleet.setFaults({ requestFaults: {} })
    const arrivals = entry.executions.length
    const answer = await sendRequest('GET', PLAIN_SERVICE, 'c')
    assert.deepEqual([answer.status, answer.body.outcome], [503, 'not-run'])
    assert.ok(Number(answer.retryAfter) >= 1)
    assert.equal(entry.executions.length, arrivals)
  })

  // A parent closes the browser while an upload is on its way, and while an answer
  // is awaited. The upstream must be told, and the next request must be served.
  it('cancels the upstream call of a caller that leaves at any byte', async () => {
    entry.platform.fleet.setFaults({ requestFaults: { [RequestFault.Hang]: 1 } })
    const { host, hostname, port } = new URL(entry.getUrl(PLAIN_SERVICE, '/'))
    const text = `POST /v1/services/${PLAIN_SERVICE}/work HTTP/1.1\r\nHost: ${host}\r\nUmberspar-Request-Id: gone\r\nContent-Length: 100000\r\n\r\n${'x'.repeat(500)}`
    for (const bytes of [1, 60, 150, text.length]) {
      const socket = connect(Number(port), hostname)
      await new Promise<void>((resolve) => { socket.write(text.slice(0, bytes), () => resolve()) })
      if (bytes === text.length) await entry.waitFor(() => entry.platform.fleet.listWorkers().some(({ worker }) => worker.getGauges().connections > 0))
      socket.destroy()
    }
    await entry.waitFor(() => entry.platform.fleet.listWorkers().every(({ worker }) => worker.getGauges().running === 0))
    entry.platform.fleet.clearFaults()
    const next = await sendRequest('POST', PLAIN_SERVICE, 'next', {}, 'body')
    assert.deepEqual([next.status, next.body.requestId], [200, 'next'])
    assert.deepEqual(entry.listRuns(), ['next'])
  })

  it('answers HEAD without a body', async () => {
    const answer = await sendRequest('HEAD', PLAIN_SERVICE, 'a')
    assert.deepEqual([answer.status, answer.body], [200, {}])
  })
})

describe('the request path, with an Idempotency-Key', () => {
  // A guardian's phone sends the payment twice. The first runs; the second is told.
  it('runs a key once and tells a second arrival what became of the first', async () => {
    const key = { 'idempotency-key': 'payment-1' }
    entry.platform.fleet.setFaults({ slowFactor: 300 })
    const first = sendRequest('POST', ONCE_SERVICE, 'a', { ...key, 'umberspar-timeout-ms': '9000' }, 'body')
    await entry.waitFor(() => entry.listRuns().length === 1)
    const during = await sendRequest('POST', ONCE_SERVICE, 'b', key, 'body')
    assert.deepEqual([during.status, during.body.type, during.body.outcome], [409, 'urn:umberspar:problem:request-running', 'unknown'])
    assert.ok(Number(during.retryAfter) >= 1)
    assert.equal((await first).status, 200)
    const after = await sendRequest('POST', ONCE_SERVICE, 'c', key, 'body')
    assert.deepEqual([after.status, after.body.type, after.body.outcome, after.body.firstStatus], [409, 'urn:umberspar:problem:already-ran', 'done', 200])
    const reused = await sendRequest('PUT', ONCE_SERVICE, 'd', key, 'body')
    assert.deepEqual([reused.status, reused.body.outcome], [422, 'not-run'])
    assert.deepEqual(entry.listRuns(), ['a'])
  })

  // A caller allows three days. At a worker that hangs, its request would hold a slot
  // for as long. The claim shows by when the request will have ended.
  it('cuts a time limit that is too long', async () => {
    await sendRequest('POST', ONCE_SERVICE, 'a', { 'idempotency-key': 'k', 'umberspar-timeout-ms': '259200000' }, 'body')
    const stored = entry.platform.store.saveState().keys.keys.find(({ key }) => Buffer.from(key).includes('/dedup/'))
    assert.ok(stored !== undefined)
    const { endsByWallMs } = JSON.parse(Buffer.from(stored.value).toString('utf8')) as { endsByWallMs: number }
    const leftMs = endsByWallMs - entry.clock.getWallTime()
    assert.ok(leftMs <= 600_000 && leftMs > 300_000, String(leftMs))
  })

  // Every worker refuses the payment, the caller is told not-run and sends it again
  // with the same key: it must run now, and once.
  it('lets a repetition run after a proven not-run', async () => {
    const key = { 'idempotency-key': 'payment-2' }
    entry.platform.fleet.setFaults({ requestFaults: { [RequestFault.Refuse]: 1 } })
    const refused = await sendRequest('POST', ONCE_SERVICE, 'a', key, 'body')
    assert.equal(refused.body.outcome, 'not-run')
    entry.platform.fleet.clearFaults()
    const again = await sendRequest('POST', ONCE_SERVICE, 'b', key, 'body')
    assert.equal(again.status, 200)
    assert.deepEqual(entry.listRuns(), ['b'])
  })

  // The store takes the claim and its answer is lost: the claim is found by reading
  // it back. Then the store is down: nothing may run, and the caller is told so.
  it('settles a lost answer of the store, and refuses while the store is down', async () => {
    await sendRequest('POST', ONCE_SERVICE, 'warm', { 'idempotency-key': 'warm' }, 'body')
    entry.platform.store.setFault({ loseNextAnswers: 1 })
    const settled = await sendRequest('POST', ONCE_SERVICE, 'a', { 'idempotency-key': 'k1' }, 'body')
    assert.equal(settled.status, 200)
    entry.platform.store.setFault({ isDown: true })
    const refused = await sendRequest('POST', ONCE_SERVICE, 'b', { 'idempotency-key': 'k2' }, 'body')
    assert.deepEqual([refused.status, refused.body.type, refused.body.outcome], [503, 'urn:umberspar:problem:claim-unavailable', 'not-run'])
    assert.ok(Number(refused.retryAfter) >= 1)
    assert.deepEqual(entry.listRuns(), ['warm', 'a'])
  })
})
