/** Checks the deadlines of connections: one timer for all, and none while no connection has a deadline. */
import type { IClock, Instant, ITimer } from '../../common/clock.js'
import type { IClosable } from '../../common/closing.js'

/** A connection with a deadline. */
export interface TimedConnection {
  /** @returns whether the connection still has a deadline */
  checkDeadline(now: Instant): boolean
}

/** How late a deadline may be noticed. */
const CHECK_INTERVAL_MS = 500

/** The connections of one process that have deadlines. */
export class ConnectionTimeouts implements IClosable {
  private readonly connections = new Set<TimedConnection>()
  private timer: ITimer | undefined
  private isClosed = false

  /** @param clock schedules the checks */
  constructor (readonly clock: IClock) {}

  /** Checks a connection from time to time until it has no deadline any more. */
  add (connection: TimedConnection): void {
    if (this.isClosed) return
    this.connections.add(connection)
    this.timer ??= this.scheduleCheck()
  }

  /** Forgets a connection that has closed. */
  remove (connection: TimedConnection): void {
    this.connections.delete(connection)
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.connections.clear()
  }

  private scheduleCheck (): ITimer {
    return this.clock.schedule(this.clock.now() + CHECK_INTERVAL_MS, () => {
      this.timer = undefined
      const now = this.clock.now()
      for (const connection of [...this.connections]) {
        if (!connection.checkDeadline(now)) this.connections.delete(connection)
      }
      if (this.connections.size > 0) this.timer ??= this.scheduleCheck()
    })
  }
}
