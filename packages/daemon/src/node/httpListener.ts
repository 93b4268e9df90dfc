/** An HTTP or HTTPS listener that limits its clients and can be stopped without aborting open requests. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { ErrorCode, StepError, toStepError } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { type IMetrics, NULL_METRICS } from '@umberspar/base/common/metrics'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { ConnectionResources } from '@umberspar/base/node/http/connectionResources'
import { addServerGuard } from '@umberspar/base/node/http/guardedServer'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { DEFAULT_LISTENER_LIMITS, type ListenerLimits } from '@umberspar/adapters/node/settings/listenerSettings'
import type { TlsCertificateProvider } from '@umberspar/adapters/node/tls/tlsCertificateProvider'
import { toContextOptions } from '@umberspar/adapters/node/tls/tlsMaterial'
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https'
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { BodyProgress } from './listener/bodyProgress.js'
import { ConnectionLimits } from './listener/connectionLimits.js'
import { checkRequest } from './listener/requestChecks.js'
import { sendRefusal, CONNECT_REFUSAL_RESPONSE } from './listener/refusalResponse.js'

const ADDRESS_PATTERN = /^\[?(.*?)\]?:(\d+)$/
/** Maximum interval between checks for header timeouts and idle connections. */
const MAX_CHECK_INTERVAL_MS = 1000
const NOT_IMPLEMENTED = 501

/** Options of a listener. By default it uses plain HTTP and the default limits. */
export interface HttpListenerOptions {
  readonly limits?: ListenerLimits | undefined
  /** TLS certificates. With a CA, clients must present a certificate issued by it. */
  readonly tls?: TlsCertificateProvider | undefined
  /** Whether an address is a proxy for many clients and may open any number of connections. */
  readonly isForwarder?: (address: string) => boolean
  readonly clock?: IClock
  /** Logs unexpected failures of handlers. */
  readonly logger?: ILogger
  /** Counts refused requests and connections as `listener.refused`, by listener and reason. */
  readonly metrics?: IMetrics
}

/** An HTTP or HTTPS server with limits. */
export class HttpListener implements IClosable {
  private readonly server: Server | TlsServer
  private readonly limits: ListenerLimits
  private readonly bodyProgress: BodyProgress
  private readonly connections: ConnectionLimits
  private readonly resources: ConnectionResources
  private readonly logger: ILogger
  private readonly metrics: IMetrics
  /** Connections that are being closed after the response to a refused request. */
  private readonly refusedSockets = new WeakSet<Socket>()
  /** How many responses of each connection are not completely sent; 0 for one that is idle. */
  private readonly unsentResponses = new Map<Socket, number>()
  private isStopping = false
  private readonly tlsSubscription: IClosable | undefined

  constructor (
    private readonly name: string,
    private readonly handler: RequestListener,
    options: HttpListenerOptions = {}
  ) {
    this.limits = options.limits ?? DEFAULT_LISTENER_LIMITS
    this.logger = options.logger ?? NULL_LOGGER
    this.metrics = options.metrics ?? NULL_METRICS
    const clock = options.clock ?? new SystemClock()
    this.bodyProgress = new BodyProgress(clock, this.limits.bodyProgressWithinMs, this.limits.minBodyBytes, () => { this.countRefusal('stalled-body') })
    this.connections = new ConnectionLimits(this.limits.maxConnectionsPerAddress, options.isForwarder ?? (() => false), () => { this.countRefusal('address-limit') })
    this.resources = new ConnectionResources({ clock, maxBytes: this.limits.maxBufferedBytes, onClose: (reason) => { this.countRefusal(reason) } })
    this.server = this.createServer(options.tls)
    addServerGuard(this.server, {
      resources: this.resources,
      maxInFlight: this.limits.maxPipelinedRequests,
      maxHeadBytes: this.limits.maxHeaderBytes,
      headTimeoutMs: this.limits.headersWithinMs,
      unknownCodingStatus: NOT_IMPLEMENTED,
      onRefuse: (status) => { this.countRefusal(`status-${status}`) }
    })
    this.tlsSubscription = options.tls?.onDidChange((material) => { (this.server as TlsServer).setSecureContext(toContextOptions(material)) })
    this.server.maxConnections = this.limits.maxConnections
    this.server.maxRequestsPerSocket = this.limits.maxRequestsPerConnection
    // Node.js silently drops header fields above its own limit. `checkRequest` counts and refuses them instead.
    this.server.maxHeadersCount = 0
    this.server.on('drop', () => { this.countRefusal('connection-limit') })
    this.server.on('connection', (socket: Socket) => { this.connections.accept(socket) })
    // Without a handler Node.js resets the connection, and the caller wouldn't learn why.
    this.server.on('connect', (_request: IncomingMessage, socket: Duplex) => { socket.end(CONNECT_REFUSAL_RESPONSE) })
  }

  /**
   * @param address `host:port`; with port 0 the system chooses a port
   * @returns the address on which it listens
   */
  async listen (address: string): Promise<Result<string, StepError>> {
    const { host, port } = splitAddress(address)
    return await new Promise((resolve) => {
      this.server.once('error', (cause) => {
        resolve(new Err(new StepError({ code: ErrorCode.Unavailable, step: `listen-${this.name}`, peer: address, message: cause.message, cause })))
      })
      this.server.listen(port, host, () => {
        const bound = this.server.address() as AddressInfo
        resolve(new Ok(bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`))
      })
    })
  }

  /** @returns the number of open connections */
  countConnections (): Promise<number> {
    return new Promise((resolve) => { this.server.getConnections((failure, count) => resolve(failure ? 0 : count)) })
  }

  /** Stops accepting connections and closes idle ones; open requests continue, and their responses are sent completely. */
  stop (): void {
    this.isStopping = true
    // `close` of the HTTP server would also close connections whose response is written but not yet completely sent.
    if (this.server.listening) NetServer.prototype.close.call(this.server)
    this.closeIdle()
  }

  /** Node.js counts a connection as idle once its response is written, so that none may be closed while one is being sent. */
  private closeIdle (): void {
    const isSending = [...this.unsentResponses.values()].some((count) => count > 0)
    if (!isSending) this.server.closeIdleConnections()
  }

  private watchResponse (socket: Socket, response: ServerResponse): void {
    const { unsentResponses } = this
    const count = unsentResponses.get(socket)
    unsentResponses.set(socket, (count ?? 0) + 1)
    response.once('finish', () => {
      const current = unsentResponses.get(socket)
      if (current !== undefined) unsentResponses.set(socket, current - 1)
      if (this.isStopping) this.closeIdle()
    })
    if (count !== undefined) return
    // Node.js tells only the response that is being sent when its connection ends.
    socket.once('close', () => {
      unsentResponses.delete(socket)
      if (this.isStopping) this.closeIdle()
    })
  }

  /** Closes all connections, including those with open requests. */
  async close (): Promise<void> {
    this.tlsSubscription?.close()
    this.bodyProgress.close()
    this.resources.close()
    if (this.server.listening) this.server.close()
    this.server.closeAllConnections()
  }

  private countRefusal (reason: string): void {
    this.metrics.count('listener.refused', 1, { listener: this.name, reason })
  }

  private createServer (tls: TlsCertificateProvider | undefined): Server | TlsServer {
    const { headersWithinMs, idleWithinMs, maxHeaderBytes } = this.limits
    const options: ServerOptions = {
      insecureHTTPParser: false,
      // `checkRequest` checks it. Node.js would continue with the next requests on the connection.
      requireHostHeader: false,
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersWithinMs,
      connectionsCheckingInterval: Math.min(headersWithinMs, MAX_CHECK_INTERVAL_MS),
      keepAliveTimeout: idleWithinMs,
      // Bodies are limited by their progress and the request's deadline, not by the time since the start.
      requestTimeout: 0
    }
    const handle: RequestListener = (request, response) => { this.handle(request, response) }
    if (tls === undefined) return createServer(options, handle)
    const server = createTlsServer({ ...options, ...toContextOptions(tls.current), handshakeTimeout: headersWithinMs, requestCert: tls.hasCa, rejectUnauthorized: tls.hasCa }, handle)
    // A client that doesn't use TLS or presents no certificate. Its socket is already unusable.
    server.on('tlsClientError', (_error, socket) => { socket.destroy() })
    return server
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    // After a refusal Node.js still delivers requests that were received in the same
    // packet, although the connection is being closed. They could be smuggled requests.
    if (this.refusedSockets.has(request.socket)) return
    const refusal = checkRequest(request, this.limits)
    if (refusal !== undefined) {
      this.refusedSockets.add(request.socket)
      this.countRefusal(`status-${refusal.status}`)
      sendRefusal(response, refusal)
      return
    }
    this.bodyProgress.watch(request)
    this.watchResponse(request.socket, response)
    this.runHandler(request, response)
  }

  /**
   * Catches everything that the handler throws, because the router doesn't: a request
   * that makes a handler throw would end the process and abort every other caller's
   * request. Instead only its own connection is destroyed; whether the request ran is
   * unknown.
   */
  private runHandler (request: IncomingMessage, response: ServerResponse): void {
    const handleFailure = (thrown: unknown): void => {
      logError(this.logger, LogLevel.Error, toStepError(thrown, `handle-${this.name}`, request.socket.remoteAddress ?? 'caller'))
      response.destroy()
    }
    try {
      Promise.resolve(this.handler(request, response)).catch(handleFailure)
    } catch (thrown) {
      handleFailure(thrown)
    }
  }
}

/**
 * @param address `host:port` or `[v6]:port`
 * @returns the host and the port
 */
export function splitAddress (address: string): { host: string, port: number } {
  const match = ADDRESS_PATTERN.exec(address)
  return { host: match?.[1] ?? '', port: Number(match?.[2] ?? 0) }
}
