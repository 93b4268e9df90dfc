/** Offers one request to one worker: opens a connection, sends, reads the answer, learns from it. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import type { Choice } from '@umberspar/steering/common/entry/chooseUpstream'
import { AccessEnd } from '@umberspar/steering/common/entry/decideAccess'
import { observeAnswer } from '@umberspar/steering/common/entry/offerLesson'
import { UpstreamState } from '@umberspar/steering/common/entry/records'
import type { OpenRequest } from '@umberspar/steering/common/entry/upstreamTracker'
import { OfferEnd } from '../telemetry/requestEvents.js'
import type { AnswerHead } from '../upstream/answerParser.js'
import { getHeader } from '../upstream/rawHeaders.js'
import { ExchangeFailure, UpstreamConnection } from '../upstream/upstreamConnection.js'
import { OpenFailure } from '../upstream/upstreamPool.js'
import { AnswerCollector, type GatheredAnswer } from './answerCollector.js'
import type { EntryContext } from './entryContext.js'
import type { ReadRequest } from './readRequest.js'

/** How an offer ended. */
export interface OfferResult {
  readonly end: OfferEnd
  /** The worker's answer, unless it was passed on as it came. */
  readonly answer?: GatheredAnswer
  readonly status?: number
  /** Whether a long answer had begun to be passed on. */
  readonly isStarted?: boolean
}

/** Who made the offer. */
export interface OfferListener {
  /** @returns whether the request may still be sent, when the connection is open */
  mayStillSend(): boolean
  /** From here on the request may run. */
  onSent(): void
  onLong(head: AnswerHead): boolean
  onPart(chunk: Buffer): void
  /** Called once. */
  onEnd(result: OfferResult): void
}

/** Beyond the way there and back, a connection may take this long to open, in milliseconds. */
const OPEN_SLACK_MS = 250
/** This VM's part of a worker's connections is never less. */
const LEAST_CONNECTIONS = 2
/** Workers without a bound get no more connections than this from one VM. */
const UNKNOWN_CONNECTIONS = 16
/** Running, waiting, slots; later platforms append further figures. */
const MIN_LOAD_FIELDS = 3
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/
/** Answers from this status on say that the worker failed the request. */
const LEAST_FAILED_STATUS = 500
const SUCCESS_FROM = 200
const SUCCESS_BELOW = 300

const END_BY_FAILURE: Readonly<Record<ExchangeFailure, OfferEnd>> = {
  [ExchangeFailure.Broken]: OfferEnd.Broken,
  [ExchangeFailure.Garbled]: OfferEnd.Garbled,
  [ExchangeFailure.Cancelled]: OfferEnd.Cancelled
}

/** One offer. */
export class Offer {
  private connection: UpstreamConnection | undefined
  private collector: AnswerCollector | undefined
  private open: OpenRequest | undefined
  private sentAt: Instant = 0
  /** How long the connection had been idle; undefined for a new one. */
  private idleMs: number | undefined
  private isEnded = false
  /** See `SuspectTable`. */
  private round = 1
  isLong = false

  /**
   * @param context the process's parts
   * @param request what is offered
   * @param choice the worker, and what spoke for it
   * @param service the service it is offered for
   * @param key the request's object, if workers keep it at hand
   * @param latestAt when an answer is of no use any more
   * @param listener who is told
   */
  constructor (
    private readonly context: EntryContext,
    private readonly request: ReadRequest,
    private readonly choice: Choice,
    private readonly service: string,
    private readonly key: string | undefined,
    private readonly latestAt: Deadline,
    private readonly listener: OfferListener
  ) {}

  /** @returns whether the request has been sent, so that it may run */
  get isSent (): boolean {
    return this.connection !== undefined
  }

  private get tracker () {
    return this.choice.candidate.tracker
  }

  /** Begins. */
  start (): void {
    const { clock, view, pools } = this.context
    const now = clock.now()
    // Counted from now on: requests decided in the same moment must see each other.
    this.open = this.tracker.start(now, this.choice.expectedMs)
    const most = view.readRoster(this.service).policy?.maxConnections ?? 0
    const part = most === 0 ? UNKNOWN_CONNECTIONS : Math.max(LEAST_CONNECTIONS, Math.floor(most / view.countNodes()))
    const openUntil = Math.min(this.latestAt, createDeadline(now, this.choice.candidate.roundTripMs + OPEN_SLACK_MS))
    pools.read(this.tracker.entry).open(part, openUntil, (result, openMs) => { this.handleOpen(result, openMs) })
  }

  /** Gives the offer up; the worker is told by the end of the connection. */
  cancel (): void {
    if (this.isEnded) return
    this.end({ end: OfferEnd.Cancelled })
    this.connection?.cancel()
  }

  /** Takes no more of a long answer for the moment. */
  pause (): void {
    this.connection?.pause()
  }

  /** Takes more of a long answer. */
  resume (): void {
    this.connection?.resume()
  }

  private handleOpen (result: UpstreamConnection | OpenFailure, openMs: number): void {
    const now = this.context.clock.now()
    if (!(result instanceof UpstreamConnection)) {
      if (result !== OpenFailure.Full && !this.isEnded) this.tracker.recordUnreachable(now)
      this.end({ end: OfferEnd.NotSent })
      return
    }
    if (openMs > 0) this.context.distances.record(this.tracker.entry.domain, openMs)
    if (this.isEnded) {
      result.close()
      return
    }
    const { route, keyDigest } = this.request
    // Decided again: what was read before may have waited, and the process may have been paused.
    const access = this.context.gate.decide(route, keyDigest)
    if (access.end !== AccessEnd.Allowed || !this.isStillWanted() || !this.listener.mayStillSend()) {
      result.close()
      this.end({ end: OfferEnd.Withdrawn })
      return
    }
    this.send(result, now, access.account?.name)
  }

  /** While the connection was opened, the worker may have begun to leave, or its domain been evacuated. */
  private isStillWanted (): boolean {
    const { entry } = this.tracker
    if (entry.state !== UpstreamState.Ready || this.context.view.evacuated.has(entry.domain)) return false
    return this.context.view.readRoster(this.service).has(entry.id)
  }

  private send (connection: UpstreamConnection, now: Instant, account: string | undefined): void {
    this.connection = connection
    this.sentAt = now
    this.round = this.context.quarantine.getNextRound(this.request.digest)
    this.idleMs = connection.idleSince === undefined ? undefined : now - connection.idleSince
    this.collector = new AnswerCollector({
      onWhole: (answer) => { this.handleAnswer(answer) },
      onLong: (head) => this.handleLong(head),
      onPart: (chunk) => { this.listener.onPart(chunk) },
      onLongEnd: (length) => { this.handleLongEnd(length) },
      onFailure: (failure, isStarted) => { this.handleFailure(failure, isStarted) }
    })
    const { message, body, requestId } = this.request
    const leftMs = this.latestAt - now - this.choice.candidate.roundTripMs / 2
    const head = this.context.heads.formatHead(message, body.length, this.tracker.entry.id, leftMs, { hasKeys: this.context.view.accounts !== undefined, account })
    this.listener.onSent()
    connection.send({ head, body: body.chunks, requestId, isHead: message.method === 'HEAD' }, this.collector)
  }

  private handleLong (head: AnswerHead): boolean {
    if (this.isEnded || this.classifyAnswer(head) !== OfferEnd.Answered) return false
    this.recordRateLimit(head)
    this.isLong = this.listener.onLong(head)
    return this.isLong
  }

  private handleLongEnd (length: number): void {
    this.recordEnd(OfferEnd.Answered, length)
    this.end({ end: OfferEnd.Answered })
  }

  private handleAnswer (answer: GatheredAnswer): void {
    const end = this.classifyAnswer(answer.head)
    // What another worker at this address says does not concern this one.
    if (end !== OfferEnd.OtherWorker) {
      this.recordLoad(answer.head)
      this.recordRateLimit(answer.head)
    }
    this.recordEnd(end, answer.length)
    this.end({ end, answer, status: answer.head.status })
  }

  private handleFailure (failure: ExchangeFailure, isStarted: boolean): void {
    const isForgotten = failure === ExchangeFailure.Broken && this.idleMs !== undefined && this.collector?.hasBegun === false
    if (isForgotten) this.context.pools.idleLimit.recordBreak(this.idleMs!, this.context.clock.now())
    if (failure !== ExchangeFailure.Cancelled) this.recordEnd(END_BY_FAILURE[failure], 0)
    if (failure === ExchangeFailure.Broken) {
      this.context.quarantine.handleBreak({ digest: this.request.digest.read(), service: this.service, worker: this.tracker.entry, round: this.round })
    }
    this.end({ end: END_BY_FAILURE[failure], isStarted })
  }

  private classifyAnswer (head: AnswerHead): OfferEnd {
    const { headers, otherWorkerStatus } = this.context.protocol
    if (head.status === otherWorkerStatus) return OfferEnd.OtherWorker
    if (getHeader(head.rawHeaders, headers.notRun) !== undefined) return OfferEnd.RefusedByWorker
    const isSuccess = head.status >= SUCCESS_FROM && head.status < SUCCESS_BELOW
    // A success that the worker has not sealed is not its answer.
    if (isSuccess && getHeader(head.rawHeaders, headers.seal) === undefined) return OfferEnd.Garbled
    return head.status >= LEAST_FAILED_STATUS ? OfferEnd.FailedByWorker : OfferEnd.Answered
  }

  private recordLoad (head: AnswerHead): void {
    const { headers } = this.context.protocol
    const fields = getHeader(head.rawHeaders, headers.load)?.split(',').slice(0, MIN_LOAD_FIELDS).map(Number) ?? []
    const [running, waiting, slots] = fields
    if (fields.length < MIN_LOAD_FIELDS || !fields.every((field) => Number.isFinite(field) && field >= 0)) return
    this.tracker.recordReport({ running: running!, waiting: waiting!, slots: slots! }, this.context.clock.now())
  }

  private recordRateLimit (head: AnswerHead): void {
    const { headers } = this.context.protocol
    const perSecond = parseRateLimit(headers.rateLimit.map((name) => getHeader(head.rawHeaders, name)).find((text) => text !== undefined))
    this.tracker.rateLimitAt = this.context.clock.now()
    if (perSecond === this.tracker.rateLimit) return
    this.tracker.rateLimit = perSecond
    this.context.telemetry.logRateLimit(this.service, this.tracker.entry.id, perSecond)
  }

  private recordEnd (end: OfferEnd, bytes: number): void {
    const now = this.context.clock.now()
    this.tracker.recordResult(end !== OfferEnd.Answered, now)
    if (end === OfferEnd.OtherWorker) this.tracker.recordUnreachable(now)
    if (end !== OfferEnd.Answered) return
    const { view, quarantine } = this.context
    quarantine.handleAnswer(this.request.digest)
    const lesson = { choice: this.choice, key: this.key, tookMs: now - this.sentAt, bytes, now }
    observeAnswer(lesson, view.readRoster(this.service), view.readWork(this.request.route, this.service))
  }

  private end (result: OfferResult): void {
    if (this.isEnded) return
    this.isEnded = true
    if (this.open !== undefined) this.tracker.finish(this.open)
    const spanMs = this.sentAt === 0 ? 0 : this.context.clock.now() - this.sentAt
    this.context.telemetry.logOfferEnd({
      requestId: this.request.requestId,
      // Only where attempts of one request must be recognized: the digest covers the body.
      digest: result.end === OfferEnd.Broken ? this.request.digest.read() : undefined,
      service: this.service,
      worker: this.tracker.entry.id,
      end: result.end,
      spanMs,
      status: result.status
    })
    this.listener.onEnd(result)
  }
}

/** @returns requests a second; undefined if there is no limit, or none that can be read */
function parseRateLimit (text: string | undefined): number | undefined {
  return text !== undefined && DECIMAL.test(text) ? Number(text) : undefined
}
