/**
 * One connection of a caller. A caller may pipeline requests; responses are sent in the order
 * of the requests.
 *
 * Node.js passes on all pipelined requests at once, which causes three failures that this class
 * prevents. A response with `Connection: close` ends the connection although the requests behind
 * it are already running: their workers do useless work, and a graceful shutdown cuts them off.
 * When a caller disconnects, only its first request is cancelled. The error response to a head
 * that can't be parsed is sent in place of the response to a valid request before it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { ConnectionLimit, LimitedConnection } from '@umberspar/base/node/http/connectionLimit'
import type { MemoryHolder } from '@umberspar/base/node/http/connectionMemory'
import { ClosedFor, type ConnectionResources } from '@umberspar/base/node/http/connectionResources'
import type { TimedConnection } from '@umberspar/base/node/http/connectionTimeouts'
import { formatRefusal, getFaultStatus, MAX_UNSENT_BYTES } from '@umberspar/base/node/http/guardedServer'
import type { InputFault, InputOwner } from '@umberspar/base/node/http/inputOwner'
import { RequestInput } from '@umberspar/base/node/http/requestInput'
import { WriteStall } from '@umberspar/base/node/http/writeStall'
import type { EventLoopMonitor, LateConnection } from '../eventLoop/eventLoopMonitor.js'
import type { RelayOrigin } from '../../common/relayFields.js'
import { CallerResponse } from './callerResponse.js'

/**
 * Requests of one connection that are in flight at a time; what follows them stays in the socket. Their
 * responses are held back until the ones before them are sent, at most 256 kB each, so that a slow request
 * makes a connection buffer at most 2 MB.
 */
const MAX_IN_FLIGHT_REQUESTS = 8
/**
 * Requests of one connection that wait behind others. A caller that sends more without a pause gets the
 * responses to the requests accepted so far, and the connection is closed; later requests count as
 * unprocessed, and the caller sends them again.
 */
const MAX_QUEUED_REQUESTS = 64
const BAD_REQUEST = 400

/** How long a new connection is kept for its first request while idle ones are closed. */
const FIRST_REQUEST_WAIT_MS = 250

/** A request with its response. */
export interface CallerExchange {
  readonly message: IncomingMessage
  readonly response: CallerResponse
  /** When its head may have arrived at the earliest; time spent in queues counts against the time limits of the request. */
  readonly arrivedAt: Instant
  /** What the VM that relayed the request tells about it; undefined for requests of callers. */
  readonly relayOrigin?: RelayOrigin | undefined
}

/** Handles the requests of connections. */
export interface ConnectionHost {
  readonly clock: IClock
  readonly eventLoop: EventLoopMonitor
  /** Whether the process is draining before it stops. */
  isDraining(): boolean
  /** Handles one request; its response may be written at any time. */
  startExchange(exchange: CallerExchange): void
  /** Records that a pipelined request isn't handled; its caller sends it again. */
  recordUnprocessed(exchange: CallerExchange): void
  /** Responds to a request whose body can't be read any further, if that is still possible. */
  refuseBody(exchange: CallerExchange, fault: InputFault): void
  /** Called when the connection has closed. */
  removeConnection(socket: Socket): void
}

/** What limits a connection of a caller. */
export interface CallerLimits {
  readonly resources: ConnectionResources
  readonly limit: ConnectionLimit
  /** @returns limit on the length of a head, in bytes */
  getMaxHeadBytes(): number
  /** @returns limit on the time that a head may take, in milliseconds */
  getHeadTimeoutMs(): number
}

interface OrderedExchange extends CallerExchange {
  isStarted: boolean
  /** What its head takes in memory, estimated. */
  readonly headBytes: number
}

/** One connection of a caller. */
export class CallerConnection implements InputOwner, LimitedConnection, MemoryHolder, TimedConnection {
  /** Exchanges whose response isn't complete yet, in the order of the requests. */
  private exchanges: OrderedExchange[] = []
  /** Set when no more requests are accepted; the connection closes after the response to the last accepted one. */
  private isInputClosed = false
  /** Set when the last response of the connection has started. */
  private isClosing = false
  /** Until when a new connection is kept for its first request; undefined once that has arrived. */
  private firstRequestDeadline: Deadline | undefined
  /** Undefined for connections of other VMs, whose listener limits them. */
  private readonly input: RequestInput | undefined
  private readonly stall: WriteStall
  private nextHeadBytes = 0

  /**
   * @param socket the connection
   * @param host handles its requests
   * @param lateConnection what is known of the connection if it was accepted late
   * @param limits what limits it; undefined for connections of other VMs, whose listener limits them
   */
  constructor (private readonly socket: Socket, private readonly host: ConnectionHost, private readonly lateConnection?: LateConnection, private readonly limits?: CallerLimits) {
    this.stall = new WriteStall(socket)
    this.input = limits === undefined ? undefined : new RequestInput(socket, this, limits.resources)
    this.firstRequestDeadline = createDeadline(host.clock.now(), FIRST_REQUEST_WAIT_MS)
    // Node.js closes a connection whose caller ended its sending side, but only some turns of the event loop later.
    socket.once('end', () => { this.handleClose() })
    socket.once('close', () => { this.handleClose() })
  }

  get maxHeadBytes (): number {
    return this.limits!.getMaxHeadBytes()
  }

  get headTimeoutMs (): number {
    return this.limits!.getHeadTimeoutMs()
  }

  /** @returns the number of requests that were started and whose response isn't complete yet */
  countInFlight (): number {
    return this.exchanges.filter(({ isStarted }) => isStarted).length
  }

  /**
   * Accepts the next request of the connection.
   * @param relayOrigin what another VM tells about the request; undefined for requests of callers
   */
  accept (message: IncomingMessage, serverResponse: ServerResponse, relayOrigin?: RelayOrigin): void {
    this.firstRequestDeadline = undefined
    const response = new CallerResponse(serverResponse, message.method === 'HEAD', () => this.shouldCloseAfter(exchange), relayOrigin !== undefined, () => { this.handleWaitingBytes() })
    const arrivedAt = Math.min(this.getArrival(), this.input?.waitingSince ?? Infinity)
    const exchange: OrderedExchange = { message, response, arrivedAt, isStarted: false, relayOrigin, headBytes: this.nextHeadBytes }
    if (this.shouldReject()) {
      // Node.js sends no response behind the missing one, so that nothing after this request could be answered.
      this.isInputClosed = true
      return this.host.recordUnprocessed(exchange)
    }
    serverResponse.once('finish', () => { this.remove(exchange) })
    this.exchanges.push(exchange)
    this.limits?.limit.setBusy(this, true)
    this.limits?.resources.timeouts.add(this)
    // Before the request starts, as its response may be written at once. The caller may have asked for the end of the connection, too.
    this.isInputClosed ||= !serverResponse.shouldKeepAlive || (this.input?.passedBehindOthers ?? 0) >= MAX_QUEUED_REQUESTS
    this.startQueued()
    this.isInputClosed ||= this.exchanges.length - this.countInFlight() >= MAX_QUEUED_REQUESTS
  }

  mayPassRequest (headBytes: number): boolean {
    if (this.isInputClosed) this.input?.stop()
    if (this.isInputClosed || this.exchanges.length >= MAX_IN_FLIGHT_REQUESTS || this.countUnsentBytes() >= MAX_UNSENT_BYTES) return false
    if (!this.limits!.resources.memory.mayAdd(this, headBytes)) return false
    this.nextHeadBytes = headBytes
    return true
  }

  refuseInput (fault: InputFault, isBody: boolean): void {
    if (!isBody) return this.refuse(getFaultStatus(fault, BAD_REQUEST))
    const current = this.exchanges.at(-1)
    this.isInputClosed = true
    if (current !== undefined && !current.message.complete) this.host.refuseBody(current, fault)
    else if (this.exchanges.length === 0) this.socket.destroySoon()
  }

  /**
   * Rejects input that isn't a valid request, or whose head took too long to arrive. Requests
   * before it still get their responses; the connection closes after the last of them.
   * @param status of the response that is written if no request awaits one
   */
  refuse (status: number): void {
    this.isInputClosed = true
    if (this.exchanges.length > 0 || this.isClosing) return
    this.isClosing = true
    if (this.socket.writable) {
      this.socket.end(formatRefusal(status))
      this.input?.closeSoon()
    } else this.socket.destroy()
  }

  getArrival (): Instant {
    return this.host.eventLoop.getEarliestArrival(this.lateConnection)
  }

  handleWaitingBytes (): void {
    if (this.limits === undefined || this.input === undefined || this.socket.destroyed) return
    let heldBytes = this.input.waitingBytes + this.countUnsentBytes()
    for (const { headBytes } of this.exchanges) heldBytes += headBytes
    this.limits.resources.memory.update(this, heldBytes)
  }

  handleMemoryReleased (): void {
    if (this.input !== undefined) this.limits!.resources.scheduler.add(this.input)
  }

  closeForMemory (): void {
    this.closeFor(ClosedFor.Memory)
  }

  closeForLimit (): void {
    this.socket.destroy()
  }

  checkDeadline (now: Instant): boolean {
    if (this.stall.isStalled(now)) this.closeFor(ClosedFor.Stall)
    this.handleWaitingBytes()
    return this.exchanges.length > 0
  }

  private closeFor (reason: ClosedFor): void {
    this.limits!.resources.onClose(reason)
    this.socket.destroy()
  }

  private countUnsentBytes (): number {
    let bytes = 0
    for (const { response } of this.exchanges) bytes += response.unsentBytes
    return bytes
  }

  /** Call when nothing reads the rest of the body that is being received. */
  stopBody (): void {
    this.input?.stopBody()
  }

  /** Closes the connection if no request awaits a response, and none is about to arrive. */
  closeIdle (): void {
    const mayFirstArrive = this.firstRequestDeadline !== undefined && !hasPassed(this.firstRequestDeadline, this.host.clock.now())
    if (this.exchanges.length === 0 && !mayFirstArrive && this.input?.isEmpty !== false) this.socket.destroySoon()
  }

  private shouldReject (): boolean {
    if (this.isClosing || this.isInputClosed) return true
    return this.shouldWait()
  }

  /** A draining process ends soon, and the end of a response that has started is not bounded by a time limit. */
  private shouldWait (): boolean {
    return this.host.isDraining() && this.countInFlight() > 0
  }

  private startQueued (): void {
    while (this.countInFlight() < MAX_IN_FLIGHT_REQUESTS && !this.isClosing) {
      if (this.shouldWait()) return
      const next = this.exchanges.find(({ isStarted }) => !isStarted)
      if (next === undefined) return
      next.isStarted = true
      this.host.startExchange(next)
    }
  }

  /** Called when a response starts: whether it is the last one of the connection. */
  private shouldCloseAfter (exchange: OrderedExchange): boolean {
    const isDraining = this.host.isDraining()
    if (!isDraining && !this.isInputClosed) return false
    const laterExchanges = this.exchanges.slice(this.exchanges.indexOf(exchange) + 1)
    const isLast = laterExchanges.every(({ isStarted }) => isDraining && !isStarted)
    if (!isLast) return false
    this.isClosing = true
    this.input?.stop()
    this.exchanges = this.exchanges.filter((other) => !laterExchanges.includes(other))
    for (const unprocessed of laterExchanges) this.host.recordUnprocessed(unprocessed)
    return true
  }

  private remove (exchange: OrderedExchange): void {
    this.exchanges = this.exchanges.filter((other) => other !== exchange)
    this.startQueued()
    if (this.exchanges.length === 0) this.limits?.limit.setBusy(this, false)
    this.handleWaitingBytes()
    // The last response started before it was known to be the last one.
    if (this.isInputClosed && this.exchanges.length === 0) this.socket.destroySoon()
    else this.input?.resume()
  }

  private handleClose (): void {
    const unanswered = this.exchanges
    this.exchanges = []
    this.isClosing = true
    for (const { isStarted, response } of unanswered) {
      if (isStarted) response.handleClose()
    }
    this.input?.close()
    if (this.limits !== undefined) {
      this.limits.limit.remove(this)
      this.limits.resources.timeouts.remove(this)
      this.limits.resources.memory.remove(this)
    }
    this.host.removeConnection(this.socket)
  }
}
