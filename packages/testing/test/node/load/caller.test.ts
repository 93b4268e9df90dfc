import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { AnswerKind, HistoryEventKind, HistoryRecorder } from '../../../src/common/history/historyEvent.js'
import type { Operation } from '../../../src/common/load/operation.js'
import type { RequestTemplate } from '../../../src/common/load/mixes.js'
import { Caller } from '../../../src/node/load/caller.js'
import { formatContentDigest } from '../../../src/node/standIns/upstream/itemBytes.js'
import { CallerAddressing } from '../../../src/node/load/clientAddresses.js'

const SERVICE = 'escort-svc'
const CLIENT_BLOCK = '127.10.0.0/16'

const READ: RequestTemplate = {
  name: 'read', weight: 1, method: 'GET', path: '/escorts', answerBytes: 0, isIdempotent: true, hasIdempotencyKey: false, minBodyBytes: 0, maxBodyBytes: 0
}
const WRITE: RequestTemplate = { ...READ, name: 'write', method: 'POST', isIdempotent: false, hasIdempotencyKey: false }
const KEYED: RequestTemplate = { ...WRITE, name: 'payment', hasIdempotencyKey: true }

type Reply = (request: IncomingMessage, response: ServerResponse) => void

function writeProblem (outcome: string, headers: Record<string, string> = {}): Reply {
  return (_, response) => {
    response.writeHead(503, { 'content-type': 'application/problem+json', ...headers })
    response.end(JSON.stringify({ title: 'no', status: 503, step: 'admit', peer: 'local', outcome }))
  }
}

/** The first attempt with the key has not ended. */
const writeRunning = writeProblem('unknown', { 'retry-after': '0.01' })

/** Answers as a worker stand-in does, with changes to its report. */
function answerWith (changes: object): Reply {
  return (request, response) => {
    const requestId = String(request.headers['umberspar-request-id'])
    const sha256 = createHash('sha256').digest('hex')
    const path = request.url?.replace(`/v1/services/${SERVICE}`, '')
    const body = Buffer.from(JSON.stringify({ requestId, path, bytes: 0, sha256, ...changes }))
    response.writeHead(200, { 'umberspar-request-id': requestId, 'content-digest': formatContentDigest(body) })
    response.end(body)
  }
}

const writeWhole = answerWith({})
const writeOtherReport = answerWith({ requestId: 'another' })
const writeShortUpload = answerWith({ bytes: 1 })

function writeCrossed (_: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { 'umberspar-request-id': 'another' })
  response.end('{}')
}

function writeWrongDigest (request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { 'umberspar-request-id': request.headers['umberspar-request-id'], 'content-digest': 'sha-256=:AAAA:' })
  response.end('{"half":')
}

function writeBroken (request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { 'umberspar-request-id': request.headers['umberspar-request-id'], 'content-length': '100' })
  response.write('{"half":')
  setImmediate(() => response.destroy())
}

interface Case {
  readonly title: string
  readonly template: RequestTemplate
  readonly replies: readonly Reply[]
  readonly answer: AnswerKind
  readonly attempts: number
}

/** Replies in the order of the attempts; what the caller concludes and how often it asks. */
const CASES: readonly Case[] = [
  { title: 'a whole answer ends the operation', template: READ, replies: [writeWhole], answer: AnswerKind.Complete, attempts: 1 },
  { title: 'a write that did not run is sent again', template: WRITE, replies: [writeProblem('not-run'), writeWhole], answer: AnswerKind.Complete, attempts: 2 },
  { title: 'a write that may have run is not sent again', template: WRITE, replies: [writeProblem('unknown'), writeWhole], answer: AnswerKind.Unknown, attempts: 1 },
  { title: 'a read that may have run is sent again', template: READ, replies: [writeProblem('unknown'), writeWhole], answer: AnswerKind.Complete, attempts: 2 },
  { title: 'a write whose answer breaks off is not sent again', template: WRITE, replies: [writeBroken, writeWhole], answer: AnswerKind.Failed, attempts: 1 },
  { title: 'a write with a key asks again until its lost first attempt has ended', template: KEYED, replies: [writeBroken, writeRunning, writeRunning, writeRunning, writeProblem('done')], answer: AnswerKind.AlreadyRan, attempts: 5 },
  { title: 'a write with a key of which nobody will learn more is given up as lost', template: KEYED, replies: [writeBroken, writeRunning, writeProblem('unknown')], answer: AnswerKind.Failed, attempts: 3 },
  { title: 'a write with a key that may have run is not sent again unless asked back', template: KEYED, replies: [writeProblem('unknown'), writeWhole], answer: AnswerKind.Unknown, attempts: 1 },
  { title: 'repeats are bounded', template: WRITE, replies: [writeProblem('not-run'), writeProblem('not-run'), writeProblem('not-run'), writeWhole], answer: AnswerKind.NotRun, attempts: 3 },
  { title: 'the answer to another request is found', template: READ, replies: [writeCrossed, writeWhole], answer: AnswerKind.Mismatched, attempts: 1 },
  { title: 'another request behind the right header is found', template: READ, replies: [writeOtherReport, writeWhole], answer: AnswerKind.Mismatched, attempts: 1 },
  { title: 'an upload that lost bytes is found', template: READ, replies: [writeShortUpload, writeWhole], answer: AnswerKind.Truncated, attempts: 1 },
  { title: 'a short answer that looks complete is found', template: READ, replies: [writeWrongDigest, writeWhole], answer: AnswerKind.Truncated, attempts: 1 }
]

describe('Caller', () => {
  let server: Server
  let address: string
  let replies: Reply[]
  let clients: Set<string>

  beforeEach(async () => {
    replies = []
    clients = new Set()
    server = createServer((request, response) => {
      clients.add(request.socket.remoteAddress ?? '')
      if (request.url?.startsWith('/v1/lookup') === true) {
        const entries = [{ nodeId: 'e1', address, weight: 1 }]
        response.end(JSON.stringify({ service: SERVICE, region: 'klang', configurationVersion: 1, cacheForMs: 60_000, entries }))
        return
      }
      const reply = replies.shift()
      assert.ok(reply !== undefined, 'an attempt more than the test foresees')
      reply(request, response)
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  function createCaller (history?: HistoryRecorder): Caller {
    return new Caller({
      clock: new SystemClock(),
      random: new SeededRandom(1),
      clientBlock: CLIENT_BLOCK,
      addressing: CallerAddressing.SourceAddress,
      clients: 1,
      maxConnections: 1,
      oneWayMs: 0,
      bootstrapAddresses: [address],
      maxBodyBytes: 0,
      answerWithinMs: 30_000,
      maxAttempts: 3,
      history
    })
  }

  function buildOperation (template: RequestTemplate): Operation {
    const idempotencyKey = template.hasIdempotencyKey ? 'k' : undefined
    return { operationId: 'op', service: SERVICE, template, path: `${template.path}/1`, idempotencyKey, bodyBytes: 0 }
  }

  for (const { title, template, replies: planned, answer, attempts } of CASES) {
    it(title, async () => {
      replies = [...planned]
      const history = new HistoryRecorder()
      const caller = createCaller(history)
      const result = await caller.run(buildOperation(template), new SystemClock().now())
      await caller.close()
      assert.equal(result.last.answer, answer, result.last.detail)
      assert.equal(result.attempts, attempts)
      const sent = history.events.filter(({ kind }) => kind === HistoryEventKind.Sent)
      assert.equal(sent.length, attempts)
    })
  }

  it('speaks from an address of its client block', async () => {
    replies = [writeWhole]
    const caller = createCaller()
    await caller.run(buildOperation(READ), new SystemClock().now())
    await caller.close()
    assert.deepEqual([...clients], ['127.10.0.1'])
  })
})
