/** One entry process's way to all workers, which a test can cut. */
import { createConnection, Socket } from 'node:net'
import type { SocketOpener } from '@umberspar/entry/node/upstream/upstreamPool'

/** What becomes of connections. */
export enum WorkerLinkFault {
  None = 'none',
  /** Open connections and new ones hang. */
  Hang = 'hang',
  /** Open connections are reset, new ones hang. */
  Reset = 'reset',
  /** Open connections live on, new ones are refused. */
  RefuseNew = 'refuse-new'
}

function createError (code: string): Error {
  return Object.assign(new Error(code), { code })
}

/** Treats an open connection as the fault does; bytes that were held pass when there is none any more. */
export function applyWorkerLinkFault (fault: WorkerLinkFault, socket: Socket): void {
  if (fault === WorkerLinkFault.Hang) {
    socket.cork()
    socket.pause()
  } else if (fault === WorkerLinkFault.Reset) {
    socket.destroy(createError('ECONNRESET'))
  } else if (fault === WorkerLinkFault.None && socket.writableCorked > 0) {
    socket.uncork()
    socket.resume()
  }
}

/**
 * Treats a connection that is to be opened as the fault does.
 * @returns the socket, which is never connected
 */
export function refuseConnection (fault: WorkerLinkFault, socket: Socket): Socket {
  if (fault === WorkerLinkFault.RefuseNew) setImmediate(() => { socket.destroy(createError('ECONNREFUSED')) })
  return socket
}

/** The connections of one entry process to workers. */
export class WorkerLink {
  private readonly sockets = new Set<Socket>()
  private fault = WorkerLinkFault.None
  /** Whether only connections to these ports are affected; undefined for all. */
  private ports: ReadonlySet<number> | undefined
  /** Connections that were asked for. */
  asked = 0

  readonly open: SocketOpener = (host, port) => {
    this.asked++
    if (this.fault === WorkerLinkFault.None || this.ports?.has(port) === false) return this.keep(createConnection({ host, port, noDelay: true, allowHalfOpen: true }))
    return refuseConnection(this.fault, new Socket({ allowHalfOpen: true }))
  }

  /**
   * @param fault how connections are treated from now on; held bytes pass when it ends
   * @param addresses of the workers concerned, as `host:port`; all by default
   */
  setFault (fault: WorkerLinkFault, addresses?: readonly string[]): void {
    this.fault = fault
    this.ports = addresses === undefined ? undefined : new Set(addresses.map((address) => Number(address.split(':')[1])))
    for (const socket of this.sockets) {
      if (fault !== WorkerLinkFault.None && this.ports?.has(socket.remotePort ?? 0) === false) continue
      applyWorkerLinkFault(fault, socket)
    }
  }

  private keep (socket: Socket): Socket {
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    return socket
  }
}
