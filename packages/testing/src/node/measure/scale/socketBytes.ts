/** Bytes on this process's sockets, by whom they are exchanged with. */
import { subscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

/** Bytes in both directions. */
export interface ByteCount {
  readonly sent: number
  readonly received: number
}

const NO_BYTES: ByteCount = { sent: 0, received: 0 }

function addBytes (left: ByteCount, right: ByteCount): ByteCount {
  return { sent: left.sent + right.sent, received: left.received + right.received }
}

/** Counts from its creation on; sockets opened before are not seen. */
export class SocketBytes {
  private readonly open = new Map<Socket, string>()
  private readonly closedByRemote = new Map<string, ByteCount>()

  constructor () {
    // Clients name the other side; servers are told apart by their own address.
    subscribe('net.client.socket', (message) => this.observe((message as { socket: Socket }).socket, true))
    subscribe('net.server.socket', (message) => this.observe((message as { socket: Socket }).socket, false))
  }

  /**
   * @param isWanted chooses by the listener's `host:port`, of this process or another
   * @returns the bytes of the sockets chosen, closed ones included
   */
  count (isWanted: (listener: string) => boolean): ByteCount {
    const closed = [...this.closedByRemote].filter(([listener]) => isWanted(listener)).map(([, bytes]) => bytes)
    const open = [...this.open].filter(([, listener]) => isWanted(listener)).map(([socket]) => this.read(socket))
    return [...closed, ...open].reduce(addBytes, NO_BYTES)
  }

  private read (socket: Socket): ByteCount {
    return { sent: socket.bytesWritten, received: socket.bytesRead }
  }

  private observe (socket: Socket, isClient: boolean): void {
    const register = (): void => {
      const listener = isClient ? `${socket.remoteAddress}:${socket.remotePort}` : `${socket.localAddress}:${socket.localPort}`
      this.open.set(socket, listener)
    }
    if (isClient) socket.once('connect', register)
    else register()
    socket.once('close', () => this.finish(socket))
  }

  private finish (socket: Socket): void {
    const listener = this.open.get(socket)
    if (listener === undefined) return
    this.open.delete(socket)
    this.closedByRemote.set(listener, addBytes(this.closedByRemote.get(listener) ?? NO_BYTES, this.read(socket)))
  }
}
