/** The life of one work request at a worker: arrival, refusal or slot, service time, answer. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { WorkerAnswer } from './answerWriter.js'
import { writeFaulty, writeWhole } from './answerWriter.js'
import type { ExecutionEvent } from './executionEvent.js'
import { ExecutionKind, StopReason } from './executionEvent.js'
import { buildItemBytes, formatContentDigest, parseItemSize } from './itemBytes.js'
import type { SlotQueue } from './slotQueue.js'
import { SlotAnswer } from './slotQueue.js'
import type { WorkerFaults } from './workerFaults.js'
import { AnswerFault, chooseFault, RequestFault } from './workerFaults.js'
import { resetSocket } from '../../resetSocket.js'

/** What an exchange needs of its worker. */
export interface ExchangeOwner {
  readonly workerId: string
  readonly clock: IClock
  readonly random: IRandomSource
  /** @returns a number that no other exchange of this worker has */
  readonly takeExchangeId: () => number
  readonly slots: SlotQueue
  readonly getFaults: () => WorkerFaults
  readonly isDraining: () => boolean
  /** @returns how long the next request takes, in milliseconds */
  readonly takeServiceSpan: () => number
  /** @returns headers of every answer: load and drain */
  readonly buildHeaders: () => Readonly<Record<string, string>>
  /** @returns the explicit refusal */
  readonly buildRefusal: () => WorkerAnswer
  readonly onDidStep: (event: ExecutionEvent) => void
}

/** When a request reaches the worker, and how far its sender is. */
export interface ExchangeTiming {
  /** When the request is at the worker, after connecting and the way there. */
  readonly arrivesAt: Instant
  readonly oneWayMs: number
}

interface ReceivedBody {
  readonly bytes: number
  readonly sha256: string
}

const DEADLINE_STATUS = 504
/** What the history calls the loss of a whole worker. */
const WORKER_DOWN = 'worker-down'

function getHeader (request: IncomingMessage, headerName: string): string | undefined {
  const value = request.headers[headerName]
  return Array.isArray(value) ? value[0] : value
}

/** Runs one request. */
export class WorkExchange {
  private readonly controller = new AbortController()
  private readonly exchangeId: number
  private readonly requestId: string
  private readonly deadline: Deadline
  private readonly answerFault: AnswerFault | undefined
  private readonly requestFault: RequestFault | undefined
  private deadlineTimer: ITimer | undefined
  private hasStarted = false

  constructor (
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly owner: ExchangeOwner,
    private readonly timing: ExchangeTiming
  ) {
    const faults = owner.getFaults()
    this.requestFault = chooseFault(owner.random, faults.requestFaults)
    this.answerFault = chooseFault(owner.random, faults.answerFaults)
    this.exchangeId = owner.takeExchangeId()
    this.requestId = getHeader(request, 'umberspar-request-id') ?? ''
    const timeLeft = Number(getHeader(request, 'umberspar-timeout-ms') ?? Infinity)
    this.deadline = createDeadline(owner.clock.now(), Number.isNaN(timeLeft) ? Infinity : timeLeft)
  }

  /** @returns settled when the request has been answered or given up */
  async run (): Promise<void> {
    this.watchCaller()
    if (!await this.waitUntil(this.timing.arrivesAt)) return this.answerStopped()
    if (this.requestFault !== undefined) this.recordFault(this.requestFault)
    if (this.requestFault === RequestFault.Hang) return this.waitForCaller()
    if (this.requestFault === RequestFault.Reset) return this.closeUnrun()
    if (this.requestFault === RequestFault.Refuse) return this.refuse(StopReason.Fault)
    if (this.owner.isDraining()) return this.refuse(StopReason.Draining)
    if (this.owner.slots.isFull()) {
      this.record(ExecutionKind.Arrived)
      return this.refuse(StopReason.QueueFull)
    }
    this.watchDeadline()
    try {
      await this.runAdmitted()
    } finally {
      this.deadlineTimer?.close()
    }
  }

  private async runAdmitted (): Promise<void> {
    const body = await this.readBody()
    if (body === undefined) return this.answerStopped()
    if (this.requestFault === RequestFault.RefuseAfterBody) return this.refuse(StopReason.Fault)
    this.record(ExecutionKind.Arrived)
    const answer = await this.owner.slots.acquire(this.controller.signal)
    if (answer === SlotAnswer.Full) return this.refuse(StopReason.QueueFull)
    if (answer === SlotAnswer.Abandoned) return this.answerStopped()
    const isFinished = await this.runInSlot()
    if (isFinished) await this.sendAnswer(this.buildAnswer(body))
  }

  /** Holds a slot for the service time; the slot is free again when this settles. */
  private async runInSlot (): Promise<boolean> {
    const finishesAt = this.owner.clock.now() + this.owner.takeServiceSpan()
    if (finishesAt > this.deadline && !this.isUnstoppable()) {
      this.owner.slots.release()
      this.record(ExecutionKind.Refused, StopReason.DeadlineTooShort)
      await this.sendStatus(DEADLINE_STATUS)
      return false
    }
    this.hasStarted = true
    this.record(ExecutionKind.Started)
    const isFinished = await this.waitUntil(finishesAt)
    this.owner.slots.release()
    if (isFinished) this.record(ExecutionKind.Finished)
    else await this.answerStopped()
    return isFinished
  }

  private isUnstoppable (): boolean {
    return this.answerFault === AnswerFault.Late || this.owner.getFaults().ignoresCancellation
  }

  /** A caller that closes its connection cancels the request; word of it travels as long as anything else. */
  private watchCaller (): void {
    this.response.on('close', () => {
      if (this.response.writableFinished) return
      if (this.owner.getFaults().isDown) this.recordFault(WORKER_DOWN)
      this.owner.clock.schedule(this.owner.clock.now() + this.timing.oneWayMs, () => this.stop(StopReason.CallerLeft))
    })
  }

  private watchDeadline (): void {
    if (this.deadline === Infinity) return
    this.deadlineTimer = this.owner.clock.schedule(this.deadline, () => this.stop(StopReason.DeadlinePassed))
  }

  private stop (reason: StopReason): void {
    if (!this.isUnstoppable()) this.controller.abort(reason)
  }

  /** @returns true when the instant was reached, false when the request was stopped before */
  private waitUntil (at: Instant): Promise<boolean> {
    const { signal } = this.controller
    if (signal.aborted) return Promise.resolve(false)
    if (this.owner.clock.now() >= at) return Promise.resolve(true)
    return new Promise((resolve) => {
      const onAbort = (): void => {
        timer.close()
        resolve(false)
      }
      const timer = this.owner.clock.schedule(at, () => {
        signal.removeEventListener('abort', onAbort)
        resolve(true)
      })
      signal.addEventListener('abort', onAbort, { once: true })
    })
  }

  private waitForCaller (): Promise<void> {
    return new Promise((resolve) => { this.controller.signal.addEventListener('abort', () => resolve(), { once: true }) })
  }

  private closeUnrun (): void {
    this.record(ExecutionKind.Refused, StopReason.Fault)
    if (this.response.socket !== null) resetSocket(this.response.socket)
  }

  private async refuse (reason: StopReason): Promise<void> {
    this.record(ExecutionKind.Refused, reason)
    await this.sendAnswer(this.owner.buildRefusal(), false)
  }

  private async answerStopped (): Promise<void> {
    const reason = this.controller.signal.reason as StopReason
    const kind = this.hasStarted || reason === StopReason.CallerLeft ? ExecutionKind.Cancelled : ExecutionKind.Refused
    this.record(kind, reason)
    if (reason === StopReason.DeadlinePassed) await this.sendStatus(DEADLINE_STATUS)
  }

  private readBody (): Promise<ReceivedBody | undefined> {
    const hash = createHash('sha256')
    let bytes = 0
    return new Promise((resolve) => {
      this.request.on('data', (piece: Buffer) => {
        bytes += piece.length
        hash.update(piece)
      })
      this.request.on('end', () => resolve({ bytes, sha256: hash.digest('hex') }))
      this.controller.signal.addEventListener('abort', () => resolve(undefined), { once: true })
      this.request.on('error', () => this.controller.abort(StopReason.CallerLeft))
    })
  }

  private buildAnswer (received: ReceivedBody): WorkerAnswer {
    const path = this.request.url ?? '/'
    const size = this.request.method === 'GET' ? parseItemSize(path) : undefined
    if (size !== undefined) {
      const body = buildItemBytes(path, this.requestId, size)
      return { status: 200, headers: { 'content-type': 'application/octet-stream', 'content-digest': formatContentDigest(body) }, body }
    }
    const { workerId } = this.owner
    const report = { workerId, requestId: this.requestId, method: this.request.method, path, bytes: received.bytes, sha256: received.sha256 }
    const body = Buffer.from(JSON.stringify(report))
    return { status: 200, headers: { 'content-type': 'application/json', 'content-digest': formatContentDigest(body) }, body }
  }

  private async sendStatus (status: number): Promise<void> {
    await this.sendAnswer({ status, headers: {}, body: Buffer.alloc(0) }, false)
  }

  private async sendAnswer (answer: WorkerAnswer, mayFail = true): Promise<void> {
    const { clock } = this.owner
    if (this.timing.oneWayMs > 0) await new Promise<void>((resolve) => { clock.schedule(clock.now() + this.timing.oneWayMs, resolve) })
    if (this.response.destroyed) return
    const headers = { ...answer.headers, ...this.owner.buildHeaders(), 'umberspar-request-id': this.requestId }
    const complete: WorkerAnswer = { ...answer, headers }
    if (!mayFail || this.answerFault === undefined) return writeWhole(this.response, complete)
    const { lateSpanMs, trickleSpanMs } = this.owner.getFaults()
    this.recordFault(this.answerFault)
    const lateAt = (this.deadline === Infinity ? clock.now() : this.deadline) + lateSpanMs
    await writeFaulty(this.answerFault, this.response, complete, { clock, trickleSpanMs, lateAt })
  }

  private record (kind: ExecutionKind, reason?: StopReason): void {
    this.owner.onDidStep({ ...this.buildEvent(kind), ...(reason === undefined ? {} : { reason }) })
  }

  /** Before the fault shows, so that whoever sees it can be told why. */
  private recordFault (fault: string): void {
    this.owner.onDidStep({ ...this.buildEvent(ExecutionKind.Faulted), fault })
  }

  private buildEvent (kind: ExecutionKind): ExecutionEvent {
    return {
      workerId: this.owner.workerId,
      exchangeId: this.exchangeId,
      requestId: this.requestId,
      method: this.request.method ?? '',
      path: this.request.url ?? '',
      idempotencyKey: getHeader(this.request, 'idempotency-key'),
      entryId: getHeader(this.request, 'umberspar-entry') ?? '',
      at: this.owner.clock.now(),
      kind
    }
  }
}
