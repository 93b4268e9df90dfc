/** The connections to one worker: kept while idle, bounded in number, opened with a time limit. */
import { createConnection } from 'node:net'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { IdleLimit } from './idleLimit.js'
import { type EchoRule, UpstreamConnection } from './upstreamConnection.js'

/** Why there is no connection; in each case nothing was sent. */
export enum OpenFailure {
  /** The worker's address refuses connections. */
  Refused = 'refused',
  /** No answer in time. */
  TimedOut = 'timed-out',
  /** This VM's part of the worker's connections is in use. */
  Full = 'full'
}

/** Told once: a connection, or why there is none, and how long opening took; 0 for one that was idle. */
export type OpenListener = (result: UpstreamConnection | OpenFailure, openMs: number) => void

/** The connections to one worker. */
export class UpstreamPool implements IClosable {
  private idle: UpstreamConnection[] = []
  private readonly all = new Set<UpstreamConnection>()
  private opening = 0
  private isClosed = false

  /**
   * @param host the worker's IP address
   * @param port the worker's port
   * @param rule how answers are matched to requests
   * @param idleLimit how long idle connections are used, beside what the worker says
   * @param clock for time limits
   */
  constructor (
    private readonly host: string,
    private readonly port: number,
    private readonly rule: EchoRule,
    private readonly idleLimit: IdleLimit,
    private readonly clock: IClock
  ) {}

  /** @returns whether its connections lead to this address */
  isFor (host: string, port: number): boolean {
    return this.host === host && this.port === port
  }

  /**
   * @param most connections that this VM may have to the worker
   * @param deadline until when a new one may take to open
   * @param onOpen told at once for an idle connection, else later
   */
  open (most: number, deadline: Deadline, onOpen: OpenListener): void {
    const kept = this.takeIdle()
    if (kept !== undefined) {
      onOpen(kept, 0)
      return
    }
    if (this.all.size + this.opening >= most) {
      onOpen(OpenFailure.Full, 0)
      return
    }
    this.openNew(deadline, onOpen)
  }

  /**
   * Opens a connection to learn whether the worker still listens; it is kept for the next request.
   * @param deadline until when it may take
   * @param onResult told once
   */
  probe (deadline: Deadline, onResult: (isListening: boolean) => void): void {
    this.openNew(deadline, (result) => {
      const isListening = result instanceof UpstreamConnection
      if (isListening) this.keepIdle(result)
      onResult(isListening)
    })
  }

  /** Ends idle connections now and the others after their answer. */
  close (): void {
    this.isClosed = true
    for (const connection of this.idle) connection.close()
    this.idle = []
  }

  private takeIdle (): UpstreamConnection | undefined {
    const now = this.clock.now()
    for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
      const idleMs = now - (connection.idleSince ?? now)
      if (connection.isUsable && idleMs < Math.min(connection.idleSpanMs, this.idleLimit.getMs(now))) return connection
      connection.close()
    }
    return undefined
  }

  private openNew (deadline: Deadline, onOpen: OpenListener): void {
    const startedAt = this.clock.now()
    const socket = createConnection({ host: this.host, port: this.port, noDelay: true, allowHalfOpen: true })
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
      settle(this.addConnection(new UpstreamConnection(socket, this.rule, (idle) => this.keepIdle(idle), (closed) => this.removeConnection(closed))))
    })
  }

  private addConnection (connection: UpstreamConnection): UpstreamConnection {
    this.all.add(connection)
    return connection
  }

  private removeConnection (connection: UpstreamConnection): void {
    this.all.delete(connection)
    this.idle = this.idle.filter((kept) => kept !== connection)
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
