/**
 * The callers' listener: finds each request's route, checks it against the
 * operators' limits, reads its body and starts its run.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { AccessEnd } from '@umberspar/steering/common/entry/decideAccess'
import { addSpread } from '@umberspar/steering/common/entry/comeBack'
import type { RoutePolicy, SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import { listenAt } from '../address.js'
import { EndReason, RequestEnd } from '../telemetry/requestEvents.js'
import { BodyFailure, hasBody, readBody, RequestBody } from './bodyReader.js'
import type { CallerAnswer } from './callerAnswer.js'
import { CallerConnection, type CallerExchange, type ConnectionHost } from './callerConnection.js'
import type { EntryContext } from './entryContext.js'
import { getRefusal, REASON_BY_DENIAL } from './refusals.js'
import type { ReadHead } from './readRequest.js'
import { RequestDigest } from './requestDigest.js'
import { RequestRun } from './requestRun.js'

/** Node.js refuses longer heads itself, in bytes; the operators' limit below it is checked here. */
const MOST_HEAD_BYTES = 65_536
/** How often Node.js looks for heads that take too long, in milliseconds. */
const HEAD_CHECK_MS = 1_000
/** Callers use connections up to the idle limit; closing that much later crosses no request, in milliseconds. */
const IDLE_SLACK_MS = 1_000
/** A caller that came before any configuration is asked to come back after this, in milliseconds. */
const EARLY_RETRY_MS = 300
/** Its request waits so long for it: the first reading takes 70 to 200 ms where the store answers. */
const EARLY_WAIT_MS = 250
const FULL_RETRY_MS = 500
/** Others may know the key; by then this VM may have heard from the store, too. */
const STALE_RETRY_MS = 300
/** For requests that state no deadline, in milliseconds. */
const DEFAULT_PATIENCE_MS = 10_000
/** A field's separator and line end, in bytes. */
const FIELD_OVERHEAD = 4

const REASON_BY_BODY_FAILURE: Readonly<Record<BodyFailure, EndReason>> = {
  [BodyFailure.TooLarge]: EndReason.BodyTooLarge,
  [BodyFailure.NoRoom]: EndReason.BodiesFull,
  [BodyFailure.CallerLeft]: EndReason.CallerLeft
}

const RETRY_BY_REASON: Readonly<Partial<Record<EndReason, number>>> = {
  [EndReason.NoConfiguration]: EARLY_RETRY_MS,
  [EndReason.BodiesFull]: FULL_RETRY_MS,
  [EndReason.RecordsStale]: STALE_RETRY_MS
}

const HEAD_TOO_LARGE_CODE = 'HPE_HEADER_OVERFLOW'
const HEAD_LATE_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'
const BAD_INPUT = 400
/** What is answered to input that is no request, by Node's code. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  [HEAD_TOO_LARGE_CODE]: 431,
  [HEAD_LATE_CODE]: 408
}

/** A request that waits for the first configuration. */
interface EarlyExchange {
  readonly exchange: CallerExchange
  readonly timer: ITimer
}

/** Why a request is refused as it is read, and what is known of it. */
interface RefusalFacts {
  readonly reason: EndReason
  readonly arrivedAt: Instant
  readonly route?: RoutePolicy
  /** The caller's account by name. */
  readonly account?: string | undefined
  /** When to come back, in milliseconds; if left out, what goes with the reason. */
  readonly retryAfterMs?: number | undefined
}

/** The listener for callers. */
export class FrontServer implements IClosable, ConnectionHost {
  private readonly server: Server
  private readonly connections = new Map<Socket, CallerConnection>()
  /** Requests that came before the first configuration. */
  private readonly early = new Set<EarlyExchange>()

  /** @param context the process's parts */
  constructor (private readonly context: EntryContext) {
    this.server = createServer({ maxHeaderSize: MOST_HEAD_BYTES, connectionsCheckingInterval: HEAD_CHECK_MS, noDelay: true, requestTimeout: 0 })
    this.server.on('connection', (socket) => { this.connections.set(socket, new CallerConnection(socket, this)) })
    this.server.on('request', (request, response) => { this.handleRequest(request, response) })
    this.server.on('clientError', (error, socket) => { this.handleBadInput(error as NodeJS.ErrnoException, socket as Socket) })
  }

  get clock (): IClock {
    return this.context.clock
  }

  /** @returns requests under way that have no whole answer yet */
  get openRequests (): number {
    let open = 0
    for (const connection of this.connections.values()) open += connection.countOpen()
    return open
  }

  /**
   * @param address `host:port`
   * @returns settled when callers can connect
   */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** @param document whose limits for callers apply from now on */
  setLimits ({ limits }: SteeringDocument): void {
    this.server.headersTimeout = limits.headerMs
    this.server.keepAliveTimeout = limits.idleMs + IDLE_SLACK_MS
    // In the next turn: workers and proof come with the same reading.
    if (this.early.size > 0) this.clock.schedule(this.clock.now(), () => { this.startEarly() })
  }

  /** Ends connections on which no request waits. */
  closeIdle (): void {
    for (const connection of this.connections.values()) connection.closeIdle()
  }

  /** Takes no more connections; open requests go on. */
  close (): void {
    // Node's HTTP server would also end connections whose answer has been written and is still on its way out.
    NetServer.prototype.close.call(this.server)
    this.closeIdle()
  }

  isLeaving (): boolean {
    return this.context.isLeaving()
  }

  recordNotRead ({ message, arrivedAt }: CallerExchange): void {
    this.logEnd(message, { reason: EndReason.NotRead, arrivedAt }, RequestEnd.Abandoned, 0)
  }

  removeConnection (socket: Socket): void {
    this.connections.delete(socket)
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    this.connections.get(request.socket)?.accept(request, response)
  }

  /** Node.js would answer at once, in place of a request before it on the connection that is still open. */
  private handleBadInput ({ code = '' }: NodeJS.ErrnoException, socket: Socket): void {
    const status = STATUS_BY_CODE[code] ?? BAD_INPUT
    this.connections.get(socket)?.refuseInput(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }

  startExchange ({ message: request, answer, arrivedAt }: CallerExchange): void {
    const { document } = this.context.view
    if (document === undefined) return this.waitForConfiguration({ message: request, answer, arrivedAt })
    if (countHeadBytes(request) > document.limits.headerBytes) return this.refuse(request, answer, { reason: EndReason.HeadTooLarge, arrivedAt })
    const route = this.context.view.findRoute(request.headers.host ?? '', request.url ?? '')
    if (route === undefined) return this.refuse(request, answer, { reason: this.classifyMissingRoute(), arrivedAt })
    const keyDigest = this.context.gate.readKeyDigest(request)
    const access = this.context.gate.decide(route, keyDigest)
    if (access.end !== AccessEnd.Allowed) return this.refuse(request, answer, { reason: REASON_BY_DENIAL[access.end], arrivedAt, route })
    const spentMs = access.account === undefined ? 0 : this.context.quotas.getSpentMs(access.account)
    if (spentMs > 0) return this.refuse(request, answer, { reason: EndReason.QuotaSpent, arrivedAt, route, account: access.account?.name, retryAfterMs: addSpread(spentMs, this.context.random) })
    if (Number(request.headers['content-length'] ?? 0) > document.limits.bodyBytes) return this.refuse(request, answer, { reason: EndReason.BodyTooLarge, arrivedAt, route })
    const head: ReadHead = { message: request, route, keyDigest, arrivedAt }
    if (hasBody(request)) this.readThenRun(head, answer, document)
    else this.startRun(head, answer, new RequestBody([], 0, this.context.bodyRoom))
  }

  /** The first reading takes one call to the store: refused at once, most callers would have no repeat left. */
  private waitForConfiguration (exchange: CallerExchange): void {
    const { clock } = this.context
    const { message, answer, arrivedAt } = exchange
    const waiting = {
      exchange,
      timer: clock.schedule(arrivedAt + EARLY_WAIT_MS, () => {
        this.early.delete(waiting)
        this.refuse(message, answer, { reason: EndReason.NoConfiguration, arrivedAt })
      })
    }
    this.early.add(waiting)
  }

  private startEarly (): void {
    const early = [...this.early]
    this.early.clear()
    for (const { exchange, timer } of early) {
      timer.close()
      if (!exchange.answer.isGone) this.startExchange(exchange)
    }
  }

  /** A route that was added lately is missing in old records. */
  private classifyMissingRoute (): EndReason {
    return this.context.gate.mayDeny ? EndReason.NoRoute : EndReason.RecordsStale
  }

  private readThenRun (head: ReadHead, answer: CallerAnswer, document: SteeringDocument): void {
    const { message: request, route, arrivedAt } = head
    const latestAt = arrivedAt + Math.min(route.timeoutMs, this.context.heads.getPatienceMs(request) ?? DEFAULT_PATIENCE_MS)
    let isLate = false
    const timer = this.context.clock.schedule(latestAt, () => {
      isLate = true
      this.refuse(request, answer, { reason: EndReason.BodyLate, arrivedAt, route })
    })
    readBody(request, document.limits.bodyBytes, this.context.bodyRoom, (result) => {
      timer.close()
      if (isLate) {
        if (result instanceof RequestBody) result.release()
        return
      }
      if (result instanceof RequestBody) this.startRun(head, answer, result)
      else this.refuse(request, answer, { reason: REASON_BY_BODY_FAILURE[result], arrivedAt, route })
    })
  }

  private startRun (head: ReadHead, answer: CallerAnswer, body: RequestBody): void {
    const { heads } = this.context
    const { message, arrivedAt } = head
    const patienceUntil = arrivedAt + (heads.getPatienceMs(message) ?? DEFAULT_PATIENCE_MS)
    const digest = new RequestDigest({ ...head, body })
    const request = { ...head, requestId: heads.getRequestId(message), body, digest, patienceUntil }
    new RequestRun(this.context, request, answer).start()
  }

  private refuse (request: IncomingMessage, answer: CallerAnswer, facts: RefusalFacts): void {
    if (facts.reason === EndReason.CallerLeft) return
    const { status, text, end } = getRefusal(facts.reason)
    const { retryAfterMs = RETRY_BY_REASON[facts.reason] } = facts
    answer.writeOwn({ status, text, retryAfterMs })
    this.logEnd(request, { ...facts, retryAfterMs }, end, status)
  }

  private logEnd (request: IncomingMessage, { reason, arrivedAt, route, account, retryAfterMs }: RefusalFacts, end: RequestEnd, status: number): void {
    const { revision, ageMs } = this.context.getRecordsAge()
    this.context.telemetry.logEnd({
      requestId: this.context.heads.getRequestId(request),
      route: route?.name,
      service: undefined,
      account,
      kind: route?.kind ?? 'none',
      status,
      end,
      reason,
      offers: 0,
      spanMs: this.context.clock.now() - arrivedAt,
      goalMs: route?.goalMs,
      retryAfterMs,
      configuration: this.context.view.document?.version,
      revision,
      recordsAgeMs: ageMs,
      proofAgeMs: this.context.gate.loggedProofAgeMs
    })
  }
}

function countHeadBytes (request: IncomingMessage): number {
  let bytes = (request.method?.length ?? 0) + (request.url?.length ?? 0)
  for (const text of request.rawHeaders) bytes += text.length
  return bytes + request.rawHeaders.length / 2 * FIELD_OVERHEAD
}
