/**
 * A stand-in for one upstream worker: HTTP/1.1 with slots, a bounded queue,
 * limited connections, service times, drain, cold start and faults to switch on.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { Emitter } from '@umberspar/base/common/event'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { waitUntil } from '../waiting.js'
import type { WorkerAnswer } from './upstream/answerWriter.js'
import { writeWhole } from './upstream/answerWriter.js'
import type { ExecutionEvent } from './upstream/executionEvent.js'
import { LaggingValue } from './upstream/laggingValue.js'
import { ServiceTimes } from './upstream/serviceTimes.js'
import { SlotAnswer, SlotQueue } from './upstream/slotQueue.js'
import type { ExchangeOwner } from './upstream/workExchange.js'
import { WorkExchange } from './upstream/workExchange.js'
import type { WorkerFaults } from './upstream/workerFaults.js'
import { NO_WORKER_FAULTS, WorkerHealth } from './upstream/workerFaults.js'
import type { WorkerOptions, WorkerOptionsInput } from './upstream/workerOptions.js'
import { DEFAULT_WORKER_OPTIONS } from './upstream/workerOptions.js'

/** What a worker counts. */
export interface WorkerGauges {
  readonly running: number
  readonly waiting: number
  readonly peakRunning: number
  /** The most requests that ever waited because all slots were taken, probes included. */
  readonly peakWaiting: number
  readonly connections: number
  readonly peakConnections: number
  readonly refusedConnections: number
  readonly probes: number
}

const DEFAULT_SEED = 1
const LOOPBACK = '127.0.0.1'
const HEALTH_PATH = '/health'
const LOAD_PATH = '/load'
const HEALTHY_STATUS = 200
const UNHEALTHY_STATUS = 503

/** One upstream worker. */
export class UpstreamWorkerStandIn implements IClosable {
  private readonly options: WorkerOptions
  private readonly didExecute = new Emitter<ExecutionEvent>()
  private readonly queue: SlotQueue
  private readonly serviceTimes: ServiceTimes
  private readonly inFlight: LaggingValue<number>
  private readonly health: LaggingValue<WorkerHealth>
  private readonly readyAtBySocket = new Map<Socket, Instant>()
  private readonly exchangeOwner: ExchangeOwner
  private faults: WorkerFaults = NO_WORKER_FAULTS
  private server: Server | undefined
  private peakConnections = 0
  private refusedConnections = 0
  private probes = 0
  private openRequests = 0
  private exchanges = 0

  /** Fires when a request starts, ends, is refused or given up. */
  readonly onDidExecute = this.didExecute.event

  constructor (options: WorkerOptionsInput) {
    this.options = { ...DEFAULT_WORKER_OPTIONS, clock: new SystemClock(), random: new SeededRandom(DEFAULT_SEED), ...options }
    const { clock, random, slots } = this.options
    this.queue = new SlotQueue(slots, this.options.maxQueue ?? slots)
    this.serviceTimes = new ServiceTimes(this.options, clock, random)
    this.inFlight = new LaggingValue(clock, 0)
    this.health = new LaggingValue<WorkerHealth>(clock, WorkerHealth.Ready)
    this.exchangeOwner = this.buildExchangeOwner()
  }

  /** The id given in the options. */
  get workerId (): string {
    return this.options.workerId
  }

  /**
   * @param address `host:port`; a free port of the loopback interface if left out
   * @returns `host:port` as listened on
   */
  start (address = `${LOOPBACK}:0`): Promise<string> {
    const server = createServer((request, response) => { this.handleRequest(request, response) })
    server.keepAliveTimeout = this.options.keepAliveSpanMs
    server.requestTimeout = 0
    server.on('connection', (socket) => this.acceptConnection(socket))
    this.server = server
    const separator = address.lastIndexOf(':')
    const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(address.slice(separator + 1)), host, () => {
        const { port } = server.address() as AddressInfo
        resolve(`${address.slice(0, separator)}:${port}`)
      })
    })
  }

  /** @param changes the faults to switch on or off; others stay as they are */
  setFaults (changes: Partial<WorkerFaults>): void {
    this.faults = { ...this.faults, ...changes }
    if (this.faults.isDown) this.closeConnections()
  }

  /** Switches every fault off. */
  clearFaults (): void {
    this.faults = NO_WORKER_FAULTS
  }

  /** @returns the faults in force */
  getFaults (): WorkerFaults {
    return this.faults
  }

  /** From now on new work is refused, health says so, and what runs is finished. */
  startDrain (): void {
    this.health.set(WorkerHealth.Draining)
  }

  /** Takes new work again. */
  stopDrain (): void {
    this.health.set(WorkerHealth.Ready)
  }

  /** Empties the caches: requests are slow until the worker has warmed up. */
  startCold (): void {
    const { clock, startingSpanMs } = this.options
    this.serviceTimes.startCold()
    if (startingSpanMs === 0) return
    this.health.set(WorkerHealth.Starting)
    clock.schedule(clock.now() + startingSpanMs, () => {
      if (this.health.get(0) === WorkerHealth.Starting) this.health.set(WorkerHealth.Ready)
    })
  }

  /** @returns what the worker counts, peaks since it was built */
  getGauges (): WorkerGauges {
    const { peakConnections, refusedConnections, probes } = this
    return {
      running: this.queue.countRunning(),
      waiting: this.queue.countWaiting(),
      peakRunning: this.queue.getPeakRunning(),
      peakWaiting: this.queue.getPeakWaiting(),
      connections: this.readyAtBySocket.size,
      peakConnections,
      refusedConnections,
      probes
    }
  }

  /** Stops listening and breaks open connections. */
  close (): Promise<void> {
    const { server } = this
    this.server = undefined
    if (server === undefined) return Promise.resolve()
    return new Promise((resolve) => {
      server.close(() => {
        this.didExecute.close()
        resolve()
      })
      this.closeConnections()
    })
  }

  private closeConnections (): void {
    for (const socket of [...this.readyAtBySocket.keys()]) socket.destroy()
  }

  private acceptConnection (socket: Socket): void {
    // A reset by the other side must not end the process; the 'close' that follows does the clean-up.
    socket.on('error', () => {})
    if (this.faults.isDown || this.readyAtBySocket.size >= this.options.connections) {
      this.refusedConnections += 1
      socket.destroy()
      return
    }
    this.readyAtBySocket.set(socket, this.options.clock.now() + this.options.connectSpanMs)
    this.peakConnections = Math.max(this.peakConnections, this.readyAtBySocket.size)
    socket.once('close', () => { this.readyAtBySocket.delete(socket) })
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    const { clock } = this.options
    const entryId = String(request.headers['umberspar-entry'] ?? '')
    const oneWayMs = this.options.getOneWayMs(entryId)
    const readyAt = this.readyAtBySocket.get(request.socket) ?? 0
    const arrivesAt = Math.max(clock.now(), readyAt) + oneWayMs
    if (request.method === 'GET' && (request.url === HEALTH_PATH || request.url === LOAD_PATH)) {
      this.answerProbe(request.url, response, { arrivesAt, oneWayMs })
      return
    }
    this.updateOpenRequests(1)
    new WorkExchange(request, response, this.exchangeOwner, { arrivesAt, oneWayMs }).run()
      .finally(() => this.updateOpenRequests(-1))
  }

  private updateOpenRequests (change: number): void {
    this.openRequests += change
    this.inFlight.set(this.openRequests)
  }

  private async answerProbe (path: string, response: ServerResponse, timing: { arrivesAt: Instant, oneWayMs: number }): Promise<void> {
    this.probes += 1
    if (this.faults.areProbesHung) return
    const { clock, probeSpanMs } = this.options
    await waitUntil(clock, timing.arrivesAt)
    if (probeSpanMs > 0) await this.runProbe(response, probeSpanMs)
    const answer = path === HEALTH_PATH ? this.buildHealthAnswer() : this.buildLoadAnswer()
    await waitUntil(clock, clock.now() + timing.oneWayMs)
    if (!response.destroyed) writeWhole(response, answer)
  }

  private async runProbe (response: ServerResponse, spanMs: number): Promise<void> {
    const controller = new AbortController()
    response.once('close', () => controller.abort())
    const answer = await this.queue.acquire(controller.signal, true)
    if (answer !== SlotAnswer.Granted) return
    await waitUntil(this.options.clock, this.options.clock.now() + spanMs)
    this.queue.release()
  }

  private buildHealthAnswer (): WorkerAnswer {
    const state = this.faults.reportedHealth ?? this.health.get(this.faults.reportLagSpanMs)
    const status = state === WorkerHealth.Draining ? UNHEALTHY_STATUS : HEALTHY_STATUS
    return this.buildJsonAnswer(status, { state })
  }

  private buildLoadAnswer (): WorkerAnswer {
    return this.buildJsonAnswer(HEALTHY_STATUS, { utilization: this.getReportedUtilization(), inFlight: this.getReportedInFlight() })
  }

  private buildJsonAnswer (status: number, value: object): WorkerAnswer {
    return { status, headers: { 'content-type': 'application/json', ...this.buildHeaders() }, body: Buffer.from(JSON.stringify(value)) }
  }

  private getReportedInFlight (): number {
    const { reportedUtilization, reportLagSpanMs } = this.faults
    if (reportedUtilization !== undefined) return Math.round(reportedUtilization * this.options.slots)
    return this.inFlight.get(reportLagSpanMs)
  }

  private getReportedUtilization (): number {
    return this.faults.reportedUtilization ?? this.getReportedInFlight() / this.options.slots
  }

  /** Load in the JSON form of ORCA's header, and word of a drain. */
  private buildHeaders (): Readonly<Record<string, string>> {
    const load = { application_utilization: this.getReportedUtilization(), named_metrics: { in_flight: this.getReportedInFlight() } }
    const headers = { 'endpoint-load-metrics': `JSON ${JSON.stringify(load)}` }
    const state = this.faults.reportedHealth ?? this.health.get(this.faults.reportLagSpanMs)
    return state === WorkerHealth.Draining && !this.faults.hidesDrain ? { ...headers, 'umberspar-draining': '1' } : headers
  }

  private buildRefusal (): WorkerAnswer {
    const { status, header, value } = this.options.refusal
    const { retryAfterSeconds } = this.faults
    const retryAfter: Record<string, string> = retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) }
    return { status, headers: { [header]: value, ...retryAfter }, body: Buffer.alloc(0) }
  }

  private buildExchangeOwner (): ExchangeOwner {
    const { workerId, clock, random } = this.options
    return {
      workerId,
      clock,
      random,
      takeExchangeId: () => ++this.exchanges,
      slots: this.queue,
      getFaults: () => this.faults,
      isDraining: () => this.health.get(0) === WorkerHealth.Draining,
      takeServiceSpan: () => this.serviceTimes.next() * this.faults.slowFactor,
      buildHeaders: () => this.buildHeaders(),
      buildRefusal: () => this.buildRefusal(),
      onDidStep: (event) => this.didExecute.fire(event)
    }
  }
}
