/**
 * Limits the open connections of listeners. At the limit, the connection that has been idle longest
 * makes room for a new one; those with requests in flight are kept.
 */

/** A connection that counts towards a limit. */
export interface LimitedConnection {
  /** Closes the connection, which is idle. */
  closeForLimit(): void
}

/** The open connections of some listeners. */
export class ConnectionLimit {
  private readonly connections = new Set<LimitedConnection>()
  /** In the order in which they became idle. */
  private readonly idle = new Set<LimitedConnection>()

  /**
   * @param maxConnections limit on the open connections
   * @param onClose called for each connection that is closed or refused at the limit
   */
  constructor (private readonly maxConnections: number, private readonly onClose: () => void = () => {}) {}

  /**
   * Adds a new connection, which is idle until its first request.
   * @returns whether there is room for it; otherwise it must be closed
   */
  add (connection: LimitedConnection): boolean {
    if (this.connections.size >= this.maxConnections && !this.closeIdle()) {
      this.onClose()
      return false
    }
    this.connections.add(connection)
    this.idle.add(connection)
    return true
  }

  /** Records whether a connection has requests in flight. */
  setBusy (connection: LimitedConnection, isBusy: boolean): void {
    if (isBusy) this.idle.delete(connection)
    else if (this.connections.has(connection)) this.idle.add(connection)
  }

  /** Forgets a connection that has closed. */
  remove (connection: LimitedConnection): void {
    this.connections.delete(connection)
    this.idle.delete(connection)
  }

  private closeIdle (): boolean {
    const [longestIdle] = this.idle
    if (longestIdle === undefined) return false
    this.remove(longestIdle)
    this.onClose()
    longestIdle.closeForLimit()
    return true
  }
}
