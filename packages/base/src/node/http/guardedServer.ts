/**
 * Reads the connections of an HTTP server through {@link RequestInput}, with limits on what one
 * connection and all together hold.
 */
import { type IncomingMessage, type Server, type ServerResponse, STATUS_CODES } from 'node:http'
import type { Server as TlsServer } from 'node:https'
import type { Socket } from 'node:net'
import type { Instant } from '../../common/clock.js'
import type { ConnectionLimit, LimitedConnection } from './connectionLimit.js'
import type { MemoryHolder } from './connectionMemory.js'
import { ClosedFor, type ConnectionResources } from './connectionResources.js'
import type { TimedConnection } from './connectionTimeouts.js'
import { InputFault, type InputOwner } from './inputOwner.js'
import { RequestInput } from './requestInput.js'
import { WriteStall } from './writeStall.js'

/** How the connections of a server are read. */
export interface GuardOptions {
  readonly resources: ConnectionResources
  /** Limit on the open connections; undefined if the server has its own. */
  readonly limit?: ConnectionLimit
  /** Requests of one connection that are in flight at a time. */
  readonly maxInFlight: number
  readonly maxHeadBytes: number
  /** The status of a request in a transfer coding that is not known. */
  readonly unknownCodingStatus: number
  readonly headTimeoutMs: number
  /** Called for each request that is refused. */
  readonly onRefuse?: (status: number) => void
}

/** Nothing further of a connection is parsed while this much of its responses is not sent, as Node.js would pause it then. */
export const MAX_UNSENT_BYTES = 16_384
const STATUS_BY_FAULT: Readonly<Record<Exclude<InputFault, InputFault.UnknownCoding>, number>> = {
  [InputFault.Malformed]: 400,
  [InputFault.TooLong]: 431,
  [InputFault.TooSlow]: 408
}

/**
 * @param fault why input is refused
 * @param unknownCodingStatus the status of a request in a transfer coding that is not known
 * @returns the status of the response
 */
export function getFaultStatus (fault: InputFault, unknownCodingStatus: number): number {
  return fault === InputFault.UnknownCoding ? unknownCodingStatus : STATUS_BY_FAULT[fault]
}

/** @returns a response without a body, behind which the connection is closed */
export function formatRefusal (status: number): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
}

/** One connection. */
class GuardedConnection implements InputOwner, MemoryHolder, LimitedConnection, TimedConnection {
  private readonly input: RequestInput
  private readonly stall: WriteStall
  private readonly headBytesByResponse = new Map<ServerResponse, number>()
  private nextHeadBytes = 0

  constructor (private readonly socket: Socket, private readonly options: GuardOptions) {
    this.stall = new WriteStall(socket)
    this.input = new RequestInput(socket, this, options.resources)
    socket.once('close', () => { this.handleClose() })
  }

  get maxHeadBytes (): number {
    return this.options.maxHeadBytes
  }

  get headTimeoutMs (): number {
    return this.options.headTimeoutMs
  }

  /** Counts a request as in flight until its response is sent. */
  watchResponse (response: ServerResponse): void {
    const { limit, resources } = this.options
    this.headBytesByResponse.set(response, this.nextHeadBytes)
    limit?.setBusy(this, true)
    resources.timeouts.add(this)
    response.once('close', () => {
      this.headBytesByResponse.delete(response)
      if (this.headBytesByResponse.size === 0) limit?.setBusy(this, false)
      this.input.resume()
    })
    this.handleWaitingBytes()
  }

  mayPassRequest (headBytes: number): boolean {
    if (this.headBytesByResponse.size >= this.options.maxInFlight || this.countUnsentBytes() >= MAX_UNSENT_BYTES) return false
    if (!this.options.resources.memory.mayAdd(this, headBytes)) return false
    this.nextHeadBytes = headBytes
    return true
  }

  refuseInput (fault: InputFault, isBody: boolean): void {
    const { socket, headBytesByResponse } = this
    const status = getFaultStatus(fault, this.options.unknownCodingStatus)
    const isNextAnswer = headBytesByResponse.size === (isBody ? 1 : 0)
    const isStarted = [...headBytesByResponse.keys()].some(({ headersSent }) => headersSent)
    if (isNextAnswer && !isStarted) {
      this.options.onRefuse?.(status)
      socket.end(formatRefusal(status))
    }
    if (isBody) socket.destroySoon()
    else this.input.closeSoon()
  }

  getArrival (): Instant {
    return this.options.resources.timeouts.clock.now()
  }

  handleWaitingBytes (): void {
    if (this.socket.destroyed) return
    let heldBytes = this.input.waitingBytes + this.countUnsentBytes()
    for (const headBytes of this.headBytesByResponse.values()) heldBytes += headBytes
    this.options.resources.memory.update(this, heldBytes)
  }

  handleMemoryReleased (): void {
    this.options.resources.scheduler.add(this.input)
  }

  closeForMemory (): void {
    this.options.resources.onClose(ClosedFor.Memory)
    this.socket.destroy()
  }

  closeForLimit (): void {
    this.socket.destroy()
  }

  checkDeadline (now: Instant): boolean {
    if (this.stall.isStalled(now)) {
      this.options.resources.onClose(ClosedFor.Stall)
      this.socket.destroy()
    }
    this.handleWaitingBytes()
    return this.headBytesByResponse.size > 0
  }

  private countUnsentBytes (): number {
    let bytes = this.socket.writableLength
    // The first one writes to the socket, the others wait for it.
    for (const response of this.headBytesByResponse.keys()) if (response.socket === null) bytes += response.writableLength
    return bytes
  }

  private handleClose (): void {
    const { limit, resources } = this.options
    this.input.close()
    limit?.remove(this)
    resources.timeouts.remove(this)
    resources.memory.remove(this)
    for (const response of this.headBytesByResponse.keys()) reportClose(response)
  }
}

/** Node.js reports the end of a connection only to the response that is being sent, not to those behind it. */
function reportClose (response: ServerResponse): void {
  if (response.socket !== null) return
  response.destroy()
  response.emit('close')
}

/**
 * Reads the connections of a server with limits. Call before the server's other listeners are added.
 * @param server the server
 * @param options the limits
 */
export function addServerGuard (server: Server | TlsServer, options: GuardOptions): void {
  const connections = new WeakMap<Socket, GuardedConnection>()
  const isTls = 'setSecureContext' in server
  server.on(isTls ? 'secureConnection' : 'connection', (socket: Socket) => {
    const connection = new GuardedConnection(socket, options)
    connections.set(socket, connection)
    if (options.limit?.add(connection) === false) socket.destroy()
  })
  server.on('request', (request: IncomingMessage, response: ServerResponse) => { connections.get(request.socket)?.watchResponse(response) })
}
