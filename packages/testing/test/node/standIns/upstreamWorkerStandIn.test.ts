import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { connect } from 'node:net'
import { afterEach, describe, test } from 'node:test'
import { Agent, request } from 'undici'
import { SeededRandom } from '@umberspar/base/common/random'
import type { ExecutionEvent } from '../../../src/node/standIns/upstream/executionEvent.js'
import { ExecutionKind, StopReason } from '../../../src/node/standIns/upstream/executionEvent.js'
import { isItemWhole } from '../../../src/node/standIns/upstream/itemBytes.js'
import { AnswerFault, RequestFault, WorkerHealth } from '../../../src/node/standIns/upstream/workerFaults.js'
import type { WorkerOptionsInput } from '../../../src/node/standIns/upstream/workerOptions.js'
import { UpstreamWorkerStandIn } from '../../../src/node/standIns/upstreamWorkerStandIn.js'

interface Answer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

const ITEM_PATH = '/items/7?size=50000'

describe('upstream worker stand-in', () => {
  let worker: UpstreamWorkerStandIn
  let agent: Agent
  let origin: string
  let events: ExecutionEvent[]

  const start = async (options: Partial<WorkerOptionsInput> = {}): Promise<void> => {
    worker = new UpstreamWorkerStandIn({ workerId: 'w', slots: 3, connections: 100, meanSpanMs: 2, sigma: 0, random: new SeededRandom(5), ...options })
    events = []
    worker.onDidExecute((event) => events.push(event))
    agent = new Agent({ connections: 100, pipelining: 1 })
    origin = `http://${await worker.start()}`
  }
  const send = async (requestId: string, path = ITEM_PATH, options: { method?: 'GET' | 'POST', body?: Buffer, signal?: AbortSignal, headers?: Record<string, string> } = {}): Promise<Answer> => {
    const { headers, ...rest } = options
    const answer = await request(`${origin}${path}`, { dispatcher: agent, ...rest, headers: { 'umberspar-request-id': requestId, ...headers } })
    const body = Buffer.from(await answer.body.arrayBuffer())
    return { status: answer.statusCode, headers: answer.headers, body }
  }
  const waitForEvent = async (kind: ExecutionKind): Promise<ExecutionEvent> => {
    const seen = events.find((event) => event.kind === kind)
    return seen ?? await new Promise((resolve) => {
      const listening = worker.onDidExecute((event) => {
        if (event.kind !== kind) return
        listening.close()
        resolve(event)
      })
    })
  }

  afterEach(async () => {
    await agent.destroy()
    await worker.close()
  })

  test('an answer is the whole one to its own request, and an upload is read to its end', async () => {
    await start()
    const answers = await Promise.all(['r1', 'r2'].map((requestId) => send(requestId)))
    assert.ok(answers.every((answer, index) => isItemWhole({ path: ITEM_PATH, requestId: `r${index + 1}`, body: answer.body })))
    assert.equal(isItemWhole({ path: ITEM_PATH, requestId: 'r2', body: answers[0]?.body ?? Buffer.alloc(0) }), false)
    const body = Buffer.alloc(3_000_000, 'photo')
    const upload = JSON.parse((await send('r3', '/uploads/1', { method: 'POST', body })).body.toString())
    assert.equal(upload.bytes, body.length)
    assert.equal(upload.sha256, createHash('sha256').update(body).digest('hex'))
  })

  // The caller would take a part of a consent letter for the whole if a broken
  // answer ended in order. The worker ran the request; only the answer is lost.
  const BROKEN = [
    AnswerFault.ResetBeforeFirstByte, AnswerFault.ResetAfterFirstByte, AnswerFault.ShortOfContentLength,
    AnswerFault.UnfinishedChunks, AnswerFault.MalformedChunk
  ]
  for (const fault of BROKEN) {
    test(`an answer broken by ${fault} is seen as broken although the request ran`, async () => {
      await start()
      worker.setFaults({ answerFaults: { [fault]: 1 } })
      await assert.rejects(send('r1'))
      await waitForEvent(ExecutionKind.Finished)
      assert.deepEqual(events.map((event) => event.kind), [
        ExecutionKind.Arrived, ExecutionKind.Started, ExecutionKind.Finished, ExecutionKind.Faulted
      ])
    })
  }

  test('a draining worker finishes what runs, refuses the rest explicitly and says so', async () => {
    await start({ meanSpanMs: 100 })
    const open = send('open')
    await waitForEvent(ExecutionKind.Started)
    worker.startDrain()
    const refused = await send('late')
    assert.equal(refused.status, 503)
    assert.equal(refused.headers['umberspar-not-run'], '1')
    assert.equal(refused.headers['umberspar-draining'], '1')
    assert.equal((await send('probe', '/health')).status, 503)
    assert.ok(isItemWhole({ path: ITEM_PATH, requestId: 'open', body: (await open).body }))
    assert.deepEqual(events.filter((event) => event.requestId === 'late').map((event) => event.reason), [StopReason.Draining])
  })

  test('slots are never exceeded; what the queue cannot hold is refused and never runs', async () => {
    await start({ slots: 3, maxQueue: 4, meanSpanMs: 30, probeSpanMs: 6 })
    let running = 0
    let peak = 0
    worker.onDidExecute(({ kind }) => {
      if (kind === ExecutionKind.Started) running += 1
      if (kind === ExecutionKind.Finished) running -= 1
      peak = Math.max(peak, running)
    })
    const probes = [send('p1', '/load'), send('p2', '/health')]
    const answers = await Promise.all(Array.from({ length: 40 }, (_, index) => send(`r${index}`)))
    await Promise.all(probes)
    const refusedIds = answers.flatMap((answer, index) => answer.status === 503 ? [`r${index}`] : [])
    assert.ok(refusedIds.length > 0)
    for (const refusedId of refusedIds) {
      const kinds = events.filter(({ requestId }) => requestId === refusedId).map(({ kind }) => kind)
      assert.deepEqual(kinds, [ExecutionKind.Arrived, ExecutionKind.Refused])
    }
    assert.ok(peak <= 3)
    assert.ok(worker.getGauges().peakRunning <= 3)
    assert.equal(worker.getGauges().running, 0)
  })

  test('a caller that leaves frees the slot, and a deadline too short for the work is not begun', async () => {
    await start({ slots: 1, meanSpanMs: 60_000 })
    const controller = new AbortController()
    const left = send('left', ITEM_PATH, { signal: controller.signal })
    await waitForEvent(ExecutionKind.Started)
    assert.equal(worker.getGauges().running, 1)
    controller.abort()
    await assert.rejects(left)
    assert.equal((await waitForEvent(ExecutionKind.Cancelled)).reason, StopReason.CallerLeft)
    assert.equal(worker.getGauges().running, 0)
    assert.equal((await send('short', ITEM_PATH, { headers: { 'umberspar-timeout-ms': '1000' } })).status, 504)
    assert.equal(events.at(-1)?.reason, StopReason.DeadlineTooShort)
  })

  test('a request reset or refused before it runs leaves no execution', async () => {
    await start()
    worker.setFaults({ requestFaults: { [RequestFault.Reset]: 1 } })
    await assert.rejects(send('r1', '/assignments', { method: 'POST', body: Buffer.from('{}') }))
    worker.setFaults({ requestFaults: { [RequestFault.RefuseAfterBody]: 1 } })
    assert.equal((await send('r2', '/assignments', { method: 'POST', body: Buffer.from('{}') })).headers['umberspar-not-run'], '1')
    assert.deepEqual(events.map((event) => event.kind), [
      ExecutionKind.Faulted, ExecutionKind.Refused, ExecutionKind.Faulted, ExecutionKind.Refused
    ])
  })

  test('health and load lie when told to', async () => {
    await start()
    worker.startDrain()
    worker.setFaults({ reportedHealth: WorkerHealth.Ready, reportedUtilization: 0 })
    assert.deepEqual(JSON.parse((await send('p', '/health')).body.toString()), { state: 'ready' })
    assert.equal((await send('r')).headers['umberspar-draining'], undefined)
    assert.deepEqual(JSON.parse((await send('p', '/load')).body.toString()), { utilization: 0, inFlight: 0 })
  })

  test('a connection beyond the limit is closed without an answer', async () => {
    await start({ connections: 1 })
    const port = Number(new URL(origin).port)
    const first = connect(port, '127.0.0.1')
    await once(first, 'connect')
    const second = connect(port, '127.0.0.1')
    second.on('error', () => {})
    second.resume()
    await once(second, 'close')
    assert.equal(worker.getGauges().refusedConnections, 1)
    assert.equal(worker.getGauges().peakConnections, 1)
    first.destroy()
  })
})
