/** A pool of connections to one worker, with idle connections, a limit, and a timeout for opening. */
import { createConnection, type Socket } from 'node:net'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { IdleLimit } from './idleLimit.js'
import { type EchoRule, type ResponseHeadListener, UpstreamConnection } from './upstreamConnection.js'

/** Begins to open a connection; the socket allows half-open connections and sends without delay. */
export type SocketOpener = (host: string, port: number) => Socket

/** Opens connections on the network. */
export const openSocket: SocketOpener = (host, port) => createConnection({ host, port, noDelay: true, allowHalfOpen: true })

/** Why no connection could be opened. In each case, nothing was sent. */
export enum OpenFailure {
  /** The worker's address refuses connections. */
  Refused = 'refused',
  /** The connection was not established in time. */
  TimedOut = 'timed-out',
  /** All connections that this VM may have to the worker are in use. */
  Full = 'full'
}

/** Called once with a connection or the reason why there is none, and how long opening took in milliseconds; 0 for an idle connection. */
export type OpenListener = (result: UpstreamConnection | OpenFailure, openMs: number) => void

/** Called once with whether the worker is listening, and why not. */
export type ProbeListener = (isListening: boolean, failure: OpenFailure | undefined) => void

/** The connections to one worker. */
export class UpstreamPool implements IClosable {
  private idle: UpstreamConnection[] = []
  private readonly all = new Set<UpstreamConnection>()
  private opening = 0
  private isClosed = false

  /**
   * @param host the worker's IP address
   * @param port the worker's port
   * @param rule how responses are matched to requests
   * @param onResponseHead called for the head of each response of the worker
   * @param idleLimit limits the reuse of idle connections, in addition to the timeout that the worker announces
   * @param clock for timeouts
   * @param openSocket opens the connections
   */
  constructor (
    private readonly host: string,
    private readonly port: number,
    private readonly rule: EchoRule,
    private readonly onResponseHead: ResponseHeadListener,
    private readonly idleLimit: IdleLimit,
    private readonly clock: IClock,
    private readonly openSocket: SocketOpener
  ) {}

  /** @returns whether the pool is for the given address */
  isFor (host: string, port: number): boolean {
    return this.host === host && this.port === port
  }

  /**
   * Provides a connection for one request.
   * @param maxConnections the maximum number of connections of this VM to the worker
   * @param deadline the time limit for opening a new connection
   * @param onOpen called synchronously for an idle connection, or when the limit is reached; otherwise later
   * @param mustBeNew whether the connection must show that the worker is running now; an idle one may have ended without that having been read
   */
  open (maxConnections: number, deadline: Deadline, onOpen: OpenListener, mustBeNew = false): void {
    const idle = this.takeIdle()
    if (mustBeNew) idle?.close()
    else if (idle !== undefined) {
      onOpen(idle, 0)
      return
    }
    if (this.all.size + this.opening >= maxConnections) {
      onOpen(OpenFailure.Full, 0)
      return
    }
    this.openNew(deadline, onOpen)
  }

  /**
   * Opens a connection to determine whether the worker is still listening. The connection is kept for the next request.
   * @param deadline the time limit for opening the connection
   * @param onResult called once, with the reason if the worker is not listening
   */
  probe (deadline: Deadline, onResult: ProbeListener): void {
    this.openNew(deadline, (result) => {
      const isListening = result instanceof UpstreamConnection
      if (isListening) this.keepIdle(result)
      onResult(isListening, isListening ? undefined : result)
    })
  }

  /** @returns whether a request can be sent without opening a connection */
  hasIdle (): boolean {
    const now = this.clock.now()
    return this.idle.some((connection) => this.isReusable(connection, now))
  }

  /** @returns whether any connection is open, idle or in use */
  hasOpen (): boolean {
    return this.all.size > 0
  }

  /** Closes the connections that have been idle since before an instant. */
  closeIdle (idleSince: Instant): void {
    for (const connection of [...this.idle]) {
      if ((connection.idleSince ?? idleSince) < idleSince) connection.close()
    }
  }

  /** Closes idle connections now, and the others after their response. */
  close (): void {
    this.isClosed = true
    for (const connection of this.idle) connection.close()
    this.idle = []
  }

  private takeIdle (): UpstreamConnection | undefined {
    const now = this.clock.now()
    for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
      if (this.isReusable(connection, now)) return connection
      connection.close()
    }
    return undefined
  }

  private isReusable (connection: UpstreamConnection, now: Instant): boolean {
    const idleMs = now - (connection.idleSince ?? now)
    return connection.isUsable && idleMs < Math.min(connection.maxIdleMs, this.idleLimit.getMs(now))
  }

  private openNew (deadline: Deadline, onOpen: OpenListener): void {
    const startedAt = this.clock.now()
    const socket = this.openSocket(this.host, this.port)
    this.opening++
    let isSettled = false
    const settle = (result: UpstreamConnection | OpenFailure): void => {
      isSettled = true
      this.opening--
      timer.close()
      onOpen(result, this.clock.now() - startedAt)
    }
    const timer = this.clock.schedule(deadline, () => {
      if (isSettled) return
      socket.destroy()
      settle(OpenFailure.TimedOut)
    })
    socket.on('error', () => { if (!isSettled) settle(OpenFailure.Refused) })
    socket.once('connect', () => {
      if (isSettled) return
      settle(this.addConnection(new UpstreamConnection(socket, this.rule, this.clock, this.onResponseHead, (idle) => this.keepIdle(idle), (closed) => this.removeConnection(closed))))
    })
  }

  private addConnection (connection: UpstreamConnection): UpstreamConnection {
    this.all.add(connection)
    return connection
  }

  private removeConnection (connection: UpstreamConnection): void {
    this.all.delete(connection)
    this.idle = this.idle.filter((idle) => idle !== connection)
  }

  private keepIdle (connection: UpstreamConnection): void {
    if (this.isClosed) {
      connection.close()
      return
    }
    connection.idleSince = this.clock.now()
    this.idle.push(connection)
  }
}
