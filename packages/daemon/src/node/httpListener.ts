/** One HTTP or HTTPS listener with limits on its senders, that closes without cutting off what is open. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { ErrorCode, StepError, toStepError } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { type IMetrics, NULL_METRICS } from '@umberspar/base/common/metrics'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { DEFAULT_LISTENER_LIMITS, type ListenerLimits } from '@umberspar/adapters/node/settings/listenerSettings'
import type { TlsKeeper } from '@umberspar/adapters/node/tls/tlsKeeper'
import { toContextOptions } from '@umberspar/adapters/node/tls/tlsMaterial'
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { BodyProgress } from './listener/bodyProgress.js'
import { ConnectionLimits } from './listener/connectionLimits.js'
import { checkRequest } from './listener/requestGate.js'
import { answerRefusal, CONNECT_REFUSAL } from './listener/refusalAnswer.js'

const ADDRESS_PATTERN = /^\[?(.*?)\]?:(\d+)$/
/** Expired headers and idle connections are looked for this often. */
const MAX_CHECK_SPAN_MS = 1000

/** How a listener differs from plain HTTP with the usual limits. */
export interface HttpListenerOptions {
  readonly limits?: ListenerLimits | undefined
  /** Certificates; with a CA, clients must show a certificate of it. */
  readonly tls?: TlsKeeper | undefined
  /** Whether an address carries many clients and may open any number of connections. */
  readonly isForwarder?: (address: string) => boolean
  readonly clock?: IClock
  /** For failures that no handler expected. */
  readonly logger?: ILogger
  /** Counts what is refused as `listener.refused`, by listener and reason. */
  readonly metrics?: IMetrics
}

/** A listening HTTP server. */
export class HttpListener implements IClosable {
  private readonly server: Server | TlsServer
  private readonly limits: ListenerLimits
  private readonly bodies: BodyProgress
  private readonly connections: ConnectionLimits
  private readonly logger: ILogger
  private readonly metrics: IMetrics
  /** Connections that end with the answer to a refused request. */
  private readonly refused = new WeakSet<Socket>()
  private readonly renewal: IClosable | undefined

  constructor (
    private readonly name: string,
    private readonly handler: RequestListener,
    options: HttpListenerOptions = {}
  ) {
    this.limits = options.limits ?? DEFAULT_LISTENER_LIMITS
    this.logger = options.logger ?? NULL_LOGGER
    this.metrics = options.metrics ?? NULL_METRICS
    this.bodies = new BodyProgress(options.clock ?? new SystemClock(), this.limits.bodyProgressWithinMs, this.limits.minBodyBytes, () => { this.countRefusal('stalled-body') })
    this.connections = new ConnectionLimits(this.limits.maxConnectionsPerAddress, options.isForwarder ?? (() => false), () => { this.countRefusal('address-limit') })
    this.server = this.createServer(options.tls)
    this.renewal = options.tls?.onDidChange((material) => { (this.server as TlsServer).setSecureContext(toContextOptions(material)) })
    this.server.maxConnections = this.limits.maxConnections
    this.server.maxRequestsPerSocket = this.limits.maxRequestsPerConnection
    // Node.js drops fields above its own limit unseen; the gate counts them and refuses.
    this.server.maxHeadersCount = 0
    this.server.on('drop', () => { this.countRefusal('connection-limit') })
    this.server.on('connection', (socket: Socket) => { this.connections.accept(socket) })
    // Without a listener Node.js resets the connection; the caller would not learn why.
    this.server.on('connect', (_request: IncomingMessage, socket: Duplex) => { socket.end(CONNECT_REFUSAL) })
  }

  /**
   * @param address `host:port`; port 0 lets the system choose
   * @returns the address it listens on
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

  /** @returns connections that are open */
  countConnections (): Promise<number> {
    return new Promise((resolve) => { this.server.getConnections((failure, count) => resolve(failure ? 0 : count)) })
  }

  /** Takes no new connections and ends idle ones; open requests go on. */
  stop (): void {
    if (this.server.listening) this.server.close()
    this.server.closeIdleConnections()
  }

  /** Ends everything, open requests too. */
  async close (): Promise<void> {
    this.renewal?.close()
    this.bodies.close()
    if (this.server.listening) this.server.close()
    this.server.closeAllConnections()
  }

  private countRefusal (reason: string): void {
    this.metrics.count('listener.refused', 1, { listener: this.name, reason })
  }

  private createServer (tls: TlsKeeper | undefined): Server | TlsServer {
    const { headersWithinMs, idleWithinMs, maxHeaderBytes } = this.limits
    const options: ServerOptions = {
      insecureHTTPParser: false,
      // The gate does it; Node.js would go on with the requests that follow on the connection.
      requireHostHeader: false,
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersWithinMs,
      connectionsCheckingInterval: Math.min(headersWithinMs, MAX_CHECK_SPAN_MS),
      keepAliveTimeout: idleWithinMs,
      // Bodies are bounded by their progress and the request's deadline, not by a span from the start.
      requestTimeout: 0
    }
    const handle: RequestListener = (request, response) => { this.handle(request, response) }
    if (tls === undefined) return createServer(options, handle)
    const server = createTlsServer({ ...options, ...toContextOptions(tls.current), handshakeTimeout: headersWithinMs, requestCert: tls.hasCa, rejectUnauthorized: tls.hasCa }, handle)
    // A client that speaks no TLS or shows no certificate is its own fault; its socket is gone already.
    server.on('tlsClientError', (_error, socket) => { socket.destroy() })
    return server
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    // Node.js has parsed what came in the same packet and hands it over although the
    // connection is to be closed: a smuggled request would run. Nothing runs after a refusal.
    if (this.refused.has(request.socket)) return
    const refusal = checkRequest(request, this.limits)
    if (refusal !== undefined) {
      this.refused.add(request.socket)
      this.countRefusal(`status-${refusal.status}`)
      answerRefusal(response, refusal)
      return
    }
    this.bodies.watch(request)
    this.runHandler(request, response)
  }

  /**
   * Routes neither catch nor await what their handlers throw: one request that
   * makes a handler fail would end the process, and with it every other caller's
   * request. Here it breaks its own connection only; whether it ran is unknown.
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
 * @returns its parts
 */
export function splitAddress (address: string): { host: string, port: number } {
  const match = ADDRESS_PATTERN.exec(address)
  return { host: match?.[1] ?? '', port: Number(match?.[2] ?? 0) }
}
