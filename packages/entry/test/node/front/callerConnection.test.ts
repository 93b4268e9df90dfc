import assert from 'node:assert/strict'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { ManualClock } from '@umberspar/base/common/manualClock'
import type { EventLoopMonitor } from '../../../src/node/eventLoop/eventLoopMonitor.js'
import { CallerConnection, type CallerExchange, type ConnectionHost } from '../../../src/node/front/callerConnection.js'

const SEED = 20261204
const RUNS = 150
const MAX_COMMANDS = 14
const WAIT_MS = 5
const MAX_TURNS = 1_000

/** What happens next on a connection. */
type Command = 'send' | 'send-two' | 'stream-first' | 'answer-first' | 'answer-last' | 'stop'

const HEAD = { status: 200, rawHeaders: [], isCloseDelimited: false, keepsAlive: true }

/** One connection with a caller that pipelines requests, and the exchanges that were started. */
class Connection {
  private readonly server: Server
  private connection: CallerConnection | undefined
  private caller: Socket | undefined
  private isDraining = false
  private sent = 0
  private received = ''
  private isClosed = false
  readonly started: CallerExchange[] = []
  readonly answered = new Set<string>()
  readonly unprocessed: string[] = []
  /** The targets of requests that were started during the stop, although one before them was not answered. */
  readonly startedBehind: string[] = []
  private readonly streams = new Set<CallerExchange>()

  constructor () {
    const host: ConnectionHost = {
      clock: new ManualClock(),
      eventLoop: { getEarliestArrival: () => 0 } as unknown as EventLoopMonitor,
      isDraining: () => this.isDraining,
      startExchange: (exchange) => {
        if (this.isDraining && this.listOpen().length > 0) this.startedBehind.push(exchange.message.url ?? '')
        this.started.push(exchange)
      },
      refuseBody: () => {},
      recordUnprocessed: ({ message }) => { this.unprocessed.push(message.url ?? '') },
      removeConnection: () => {}
    }
    this.server = createServer((message: IncomingMessage, response) => { this.connection!.accept(message, response) })
    this.server.on('connection', (socket) => { this.connection = new CallerConnection(socket, host) })
  }

  async open (): Promise<void> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    const { port } = this.server.address() as AddressInfo
    this.caller = connect(port, '127.0.0.1')
    this.caller.on('data', (chunk) => { this.received += chunk.toString('latin1') })
    this.caller.on('error', () => {})
    this.caller.on('close', () => { this.isClosed = true })
    await this.waitUntil(() => this.connection !== undefined)
  }

  async close (): Promise<void> {
    this.caller?.destroy()
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => { resolve() }) })
  }

  /** @returns the targets whose responses were received whole, in their order */
  listReceived (): string[] {
    return [...this.received.matchAll(/\r\n\r\nanswer to (\S+);/g)].map(([, target]) => target!)
  }

  async run (command: Command): Promise<void> {
    if (command === 'stop') this.isDraining = true
    else if (command === 'answer-first') await this.answer(this.listOpen()[0])
    else if (command === 'stream-first') this.startStream(this.listOpen()[0])
    else if (command === 'answer-last') await this.answer(this.listOpen().at(-1))
    else await this.send(command === 'send' ? 1 : 2)
  }

  /** Answers what is left until nothing is started any more. */
  async finish (): Promise<void> {
    for (let exchange = this.listOpen()[0]; exchange !== undefined; exchange = this.listOpen()[0]) await this.answer(exchange)
    await this.waitUntil(() => this.listReceived().length === this.answered.size && (this.isClosed || this.listDropped().length === 0))
  }

  /** Checks that no request is without an outcome. */
  check (): void {
    assert.deepEqual(this.listReceived(), this.started.map(({ message }) => message.url), 'each started request is answered whole, in the order of the requests')
    assert.deepEqual(this.startedBehind, [], 'nothing is started behind a request that is not answered')
    const dropped = this.listDropped()
    assert.ok(dropped.length === 0 || this.isClosed, `the connection is open behind ${dropped.join(', ')}`)
  }

  /** @returns the targets of requests that were sent and not started */
  private listDropped (): string[] {
    const started = new Set(this.started.map(({ message }) => message.url))
    return Array.from({ length: this.sent }, (_, index) => `/${index}`).filter((target) => !started.has(target))
  }

  private listOpen (): CallerExchange[] {
    return this.started.filter(({ message }) => !this.answered.has(message.url!))
  }

  private async send (count: number): Promise<void> {
    if (this.isClosed || !this.caller!.writable) return
    const targets = Array.from({ length: count }, () => `/${this.sent++}`)
    this.caller!.write(targets.map((target) => `GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''))
    await this.waitUntil(() => this.isClosed || targets.every((target) => this.unprocessed.includes(target) || this.started.some(({ message }) => message.url === target) || this.started.length - this.answered.size >= 8))
  }

  private async answer (exchange: CallerExchange | undefined): Promise<void> {
    if (exchange === undefined) return
    const { message, response } = exchange
    this.answered.add(message.url!)
    const body = Buffer.from(`answer to ${message.url};`)
    if (this.streams.has(exchange)) {
      response.writeChunk(body)
      response.finishStream()
    } else response.writeComplete(HEAD, [], [body], body.length)
    await new Promise((resolve) => { setTimeout(resolve, WAIT_MS) })
  }

  /** Starts a response whose length is known, as those of most workers. */
  private startStream (exchange: CallerExchange | undefined): void {
    if (exchange === undefined || this.streams.has(exchange)) return
    this.streams.add(exchange)
    exchange.response.startStream({ ...HEAD, rawHeaders: ['Content-Length', String(`answer to ${exchange.message.url};`.length)] }, [])
  }

  private async waitUntil (isTrue: () => boolean): Promise<void> {
    // What does not happen is left to the checks.
    for (let turn = 0; turn < MAX_TURNS && !isTrue(); turn++) await new Promise((resolve) => { setTimeout(resolve, 1) })
  }
}

describe('CallerConnection', { timeout: 60_000 }, () => {
  let connection: Connection

  beforeEach(async () => {
    connection = new Connection()
    await connection.open()
  })

  afterEach(async () => { await connection.close() })

  it('ends behind a request that is dropped during a stop, although the last response had started before', async () => {
    // Guards against requests that are run on a connection on which they can't be answered.
    for (const command of ['send-two', 'answer-last', 'stop', 'send', 'answer-first', 'send'] as const) await connection.run(command)
    await connection.finish()
    connection.check()
  })

  it('starts nothing behind a response that is still being sent during a stop', async () => {
    // Guards against requests that a long response keeps from being answered before the process ends.
    for (const command of ['send', 'stream-first', 'stop', 'send'] as const) await connection.run(command)
    await connection.finish()
    connection.check()
  })

  it('answers each request whole, or drops it and closes, whatever the order of requests, answers and the stop', async () => {
    const command = fc.constantFrom<Command>('send', 'send', 'send-two', 'stream-first', 'answer-first', 'answer-last', 'stop')
    await fc.assert(fc.asyncProperty(fc.array(command, { maxLength: MAX_COMMANDS }), async (commands) => {
      const subject = new Connection()
      await subject.open()
      try {
        for (const next of commands) await subject.run(next)
        await subject.finish()
        subject.check()
      } finally {
        await subject.close()
      }
    }), { seed: SEED, numRuns: RUNS })
  })
})
