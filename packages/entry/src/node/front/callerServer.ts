/**
 * The HTTP server for callers: finds the route of each request, checks the request against the
 * configured limits, reads its body and starts to forward it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Deadline } from '@umberspar/base/common/deadline'
import { InputFault } from '@umberspar/base/node/http/inputOwner'
import type { SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import { listenAt } from '../address.js'
import type { RelayOrigin } from '../../common/relayFields.js'
import type { EventLoopMonitor } from '../eventLoop/eventLoopMonitor.js'
import { EndReason, RequestOutcome } from '../telemetry/requestOutcomes.js'
import { BodyFailure, hasBody, readBody, RequestBody } from './bodyReader.js'
import type { CallerResponse } from './callerResponse.js'
import { recordRefusal } from './callerReturns.js'
import { CallerConnection, type CallerExchange, type ConnectionHost } from './callerConnection.js'
import { ConfigurationWaiter } from './configurationWaiter.js'
import { MAX_HEADER_BYTES } from './connectionShares.js'
import { findEarlyRefusal } from './earlyRefusal.js'
import type { EntryContext } from './entryContext.js'
import { getRefusal } from './refusals.js'
import type { AcceptedRequest } from './bufferedRequest.js'
import { checkRequest, type RefusalDetails } from './requestChecker.js'
import { computeRequestDeadline } from './requestDeadline.js'
import { RequestDigest } from './requestDigest.js'
import { logRequestEnd } from './requestLog.js'
import { ProxiedRequest } from './proxiedRequest.js'

/** How often Node.js checks for request heads that take too long to arrive. */
const HEADER_TIMEOUT_CHECK_MS = 1_000
/** Callers reuse connections up to the idle limit; closing them this much later avoids races with a new request. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000
/** `Retry-After` of requests that arrive before the first configuration. */
const UNCONFIGURED_RETRY_AFTER_MS = 300
const BODY_MEMORY_RETRY_AFTER_MS = 500
/** `Retry-After` while the records are stale: other VMs may have newer ones, and this VM may have updated its own by then. */
const STALE_RECORDS_RETRY_AFTER_MS = 300
/** `Retry-After` while this process stops: other VMs take the request at once. */
const STOPPING_RETRY_AFTER_MS = 0
/** How long the rest of the body of a refused request may take to arrive. */
const UNREAD_BODY_TIMEOUT_MS = 10_000

const REASON_BY_BODY_FAILURE: Readonly<Record<BodyFailure, EndReason>> = {
  [BodyFailure.TooLarge]: EndReason.BodyTooLarge,
  [BodyFailure.MemoryExhausted]: EndReason.BodyMemoryExhausted,
  [BodyFailure.CallerDisconnected]: EndReason.CallerDisconnected
}

const RETRY_AFTER_MS_BY_REASON: Readonly<Partial<Record<EndReason, number>>> = {
  [EndReason.NoConfiguration]: UNCONFIGURED_RETRY_AFTER_MS,
  [EndReason.BodyMemoryExhausted]: BODY_MEMORY_RETRY_AFTER_MS,
  [EndReason.RecordsStale]: STALE_RECORDS_RETRY_AFTER_MS,
  [EndReason.Stopping]: STOPPING_RETRY_AFTER_MS
}

const HEADERS_TOO_LARGE_CODE = 'HPE_HEADER_OVERFLOW'
const HEADERS_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'
const BAD_REQUEST = 400
/** The response status for input that isn't a valid request, by the error code of Node.js. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  [HEADERS_TOO_LARGE_CODE]: 431,
  [HEADERS_TIMEOUT_CODE]: 408
}

/** The HTTP server for callers. */
export class CallerServer implements IClosable, ConnectionHost {
  private readonly server: Server
  private readonly connections = new Map<Socket, CallerConnection>()
  private readonly configurationWaiter: ConfigurationWaiter

  /** @param context the shared services of the process */
  constructor (private readonly context: EntryContext) {
    this.configurationWaiter = new ConfigurationWaiter(context.clock)
    this.server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS, noDelay: true, requestTimeout: 0 })
    // Node.js would drop further fields without a word, and a route or a deadline with them.
    this.server.maxHeadersCount = 0
    this.server.on('connection', (socket) => { this.acceptConnection(socket) })
    this.server.on('request', (request, response) => { this.handleRequest(request, response) })
    this.server.on('clientError', (error, socket) => { this.handleClientError(error as NodeJS.ErrnoException, socket as Socket) })
  }

  get clock (): IClock {
    return this.context.clock
  }

  get eventLoop (): EventLoopMonitor {
    return this.context.eventLoop
  }

  /** @returns the number of running requests whose response isn't complete yet */
  get inFlightRequests (): number {
    let inFlight = 0
    for (const connection of this.connections.values()) inFlight += connection.countInFlight()
    return inFlight
  }

  /**
   * @param address `host:port`
   * @returns resolved when callers can connect
   */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** @param document the configuration whose limits for callers apply from now on */
  setLimits ({ limits }: SteeringDocument): void {
    this.server.headersTimeout = limits.headerMs
    this.server.keepAliveTimeout = limits.idleMs + IDLE_TIMEOUT_MARGIN_MS
    // In the next turn of the event loop, as the workers and the proof that the records are current arrive with the same read.
    if (this.configurationWaiter.hasPending) this.clock.schedule(this.clock.now(), () => { this.startPending() })
  }

  /** Closes connections on which no request awaits a response. */
  closeIdle (): void {
    for (const connection of this.connections.values()) connection.closeIdle()
  }

  /** Stops accepting connections once those that wait are accepted, as closing would reset them. @param onClosed called when that is done */
  closeListener (onClosed: () => void): void {
    this.eventLoop.runWhenAccepted(() => {
      this.stopListening()
      onClosed()
    })
  }

  /** Stops accepting connections at once; requests in flight are finished. */
  close (): void {
    this.stopListening()
    this.closeIdle()
  }

  private stopListening (): void {
    // `close` of the HTTP server would also end connections whose response is written but not yet completely sent.
    if (this.server.listening) NetServer.prototype.close.call(this.server)
  }

  isDraining (): boolean {
    return this.context.isDraining()
  }

  recordUnprocessed ({ message, response, arrivedAt }: CallerExchange): void {
    this.logEnd(message, response, { reason: EndReason.NotProcessed, arrivedAt }, RequestOutcome.Abandoned, 0)
  }

  removeConnection (socket: Socket): void {
    this.connections.delete(socket)
  }

  /**
   * Accepts a request that another entry VM relayed.
   * @param request the request, with the target that the caller sent
   * @param response its response
   * @param origin what the other VM tells about it
   */
  acceptRelayed (request: IncomingMessage, response: ServerResponse, origin: RelayOrigin): void {
    let connection = this.connections.get(request.socket)
    if (connection === undefined) {
      connection = new CallerConnection(request.socket, this)
      this.connections.set(request.socket, connection)
    }
    connection.accept(request, response, origin)
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    this.connections.get(request.socket)?.accept(request, response)
  }

  /** Node.js would respond at once, in place of the response to an earlier request on the connection. */
  private handleClientError ({ code = '' }: NodeJS.ErrnoException, socket: Socket): void {
    const status = STATUS_BY_ERROR_CODE[code] ?? BAD_REQUEST
    this.connections.get(socket)?.refuse(status)
  }

  private acceptConnection (socket: Socket): void {
    const connection = new CallerConnection(socket, this, this.eventLoop.acceptConnection(), this.context.callerLimits)
    this.connections.set(socket, connection)
    if (!this.context.callerLimits.limit.add(connection)) socket.destroy()
  }

  refuseBody ({ message, response, arrivedAt }: CallerExchange, fault: InputFault): void {
    if (!response.isClosed) this.refuse(message, response, { reason: fault === InputFault.TooLong ? EndReason.HeadersTooLarge : EndReason.BodyMalformed, arrivedAt })
  }

  startExchange (exchange: CallerExchange): void {
    this.runUnlessLeft(exchange, () => { this.handleExchange(exchange) })
  }

  /** Runs a function unless the caller has left, as far as can be known once what was read late is followed by another poll. */
  private runUnlessLeft ({ message, response, arrivedAt }: CallerExchange, callback: () => void, onLeft = (): void => {}): void {
    this.eventLoop.runWhenRead(arrivedAt, () => {
      if (!response.isClosed) return callback()
      onLeft()
      this.logEnd(message, response, { reason: EndReason.CallerDisconnected, arrivedAt }, RequestOutcome.Abandoned, 0)
    })
  }

  /** @param proofDeadline when the request gives up waiting for a newer proof; undefined if it has not waited yet */
  private handleExchange (exchange: CallerExchange, proofDeadline?: Deadline): void {
    const { message, response } = exchange
    const document = this.context.view.newestDocument
    if (document === undefined) return this.waitForConfiguration(exchange)
    const checked = checkRequest(this.context, exchange, document)
    if (checked.ok) return this.acceptRequest(checked.val, response, document)
    if (checked.val.reason === EndReason.RecordsStale && this.waitForProof(exchange, proofDeadline)) return
    this.refuse(message, response, checked.val)
  }

  private acceptRequest (accepted: AcceptedRequest, response: CallerResponse, document: SteeringDocument): void {
    if (!hasBody(accepted.message)) return this.startForwarding(accepted, response, new RequestBody([], 0, this.context.bodyMemoryBudget))
    const refusal = findEarlyRefusal(this.context, accepted)
    if (refusal === undefined) this.readBodyThenForward(accepted, response, document)
    else this.refuse(accepted.message, response, refusal)
  }

  private waitForProof (exchange: CallerExchange, deadline = this.context.proofWaiter.createDeadline()): boolean {
    return this.context.proofWaiter.wait(deadline, () => {
      this.runUnlessLeft(exchange, () => { this.handleExchange(exchange, deadline) })
    })
  }

  private waitForConfiguration (exchange: CallerExchange): void {
    const { message, response, arrivedAt } = exchange
    this.configurationWaiter.add(exchange, () => {
      this.refuse(message, response, { reason: this.context.view.document === undefined ? EndReason.NoConfiguration : EndReason.RecordsStale, arrivedAt })
    })
  }

  private startPending (): void {
    for (const exchange of this.configurationWaiter.take()) {
      if (!exchange.response.isClosed) this.startExchange(exchange)
    }
  }

  private readBodyThenForward (accepted: AcceptedRequest, response: CallerResponse, document: SteeringDocument): void {
    const { message: request, route, arrivedAt, callerDeadline } = accepted
    const deadline = computeRequestDeadline(route, arrivedAt, callerDeadline)
    let isExpired = false
    const timer = this.context.timeoutClock.schedule(deadline, () => {
      isExpired = true
      this.refuse(request, response, { reason: EndReason.BodyTimeout, arrivedAt, route })
    })
    readBody(request, document.limits.bodyBytes, this.context.bodyMemoryBudget, (result) => {
      timer.close()
      if (isExpired) {
        if (result instanceof RequestBody) result.release()
        return
      }
      if (result instanceof RequestBody) this.runUnlessLeft({ message: request, response, arrivedAt }, () => { this.startForwarding(accepted, response, result) }, () => { result.release() })
      else this.refuse(request, response, { reason: REASON_BY_BODY_FAILURE[result], arrivedAt, route })
    })
  }

  private startForwarding (accepted: AcceptedRequest, response: CallerResponse, body: RequestBody): void {
    const { headerRewriter } = this.context
    const digest = new RequestDigest({ ...accepted, body })
    const request = { ...accepted, requestId: headerRewriter.getRequestId(accepted.message), body, digest }
    new ProxiedRequest(this.context, request, response).start()
  }

  private refuse (request: IncomingMessage, response: CallerResponse, details: RefusalDetails): void {
    if (details.reason === EndReason.CallerDisconnected) return
    const { status, text, outcome } = getRefusal(details.reason)
    const { retryAfterMs = RETRY_AFTER_MS_BY_REASON[details.reason] } = details
    response.writeLocal({ status, text, retryAfterMs })
    if (outcome === RequestOutcome.Refused) recordRefusal(this.context, details)
    if (!request.complete) this.endUnreadBody(request, response)
    this.logEnd(request, response, { ...details, retryAfterMs }, outcome, status)
  }

  /**
   * Reads and discards the rest of a refused request's body, so that it isn't taken for another request. Node.js
   * would do so only once the response is sent, and until then not notice that the caller leaves. A caller that
   * stops sending must not keep the connection.
   */
  private endUnreadBody (request: IncomingMessage, response: CallerResponse): void {
    request.resume()
    this.connections.get(request.socket)?.stopBody()
    const { socket } = request
    const timer = this.context.timeoutClock.schedule(this.clock.now() + UNREAD_BODY_TIMEOUT_MS, () => {
      if (!request.complete && response.isSent) socket.destroy()
    })
    // The timer keeps the request and all that its connection had read. Node.js doesn't report the end of the connection to a request whose response is sent.
    const closeTimer = (): void => {
      timer.close()
      socket.off('close', closeTimer)
    }
    request.once('close', closeTimer)
    socket.once('close', closeTimer)
  }

  private logEnd (request: IncomingMessage, { isRelayed }: CallerResponse, { reason, arrivedAt, route, service, account, retryAfterMs, refusalInputs }: RefusalDetails, outcome: RequestOutcome, status: number): void {
    const requestId = this.context.headerRewriter.getRequestId(request)
    logRequestEnd(this.context, { requestId, route, service, account, status, outcome, reason, attempts: 0, arrivedAt, retryAfterMs, isRelayed, refusalInputs })
  }
}
