/** Clients that send whatever bytes they like on many connections at a time. */
import { connect, type Socket } from 'node:net'
import { connect as connectTls } from 'node:tls'
import type { IClosable } from '@umberspar/base/common/closing'

/** What each connection sends. */
export interface HostileBytes {
  /** Sent once, when the connection is open. */
  readonly first?: string | Buffer
  /** Sent again and again behind it, as fast as the other side reads. */
  readonly repeated?: string | Buffer
  /** How much of `repeated` a connection sends at most, in bytes. */
  readonly maxRepeatedBytes?: number
}

/** How the crowd behaves. */
export interface CrowdOptions {
  /** `host:port` of the listener. */
  readonly address: string
  readonly connections: number
  readonly bytes: HostileBytes
  /** Whether responses are read. */
  readonly reads?: boolean
  /** Whether a connection that the other side closes is opened again. */
  readonly reopens?: boolean
  readonly isTls?: boolean
}

/** Repeated bytes are written in pieces of at least this size. */
const PIECE_BYTES = 65_536
/** New connections wait this long, so that the crowd doesn't spin while it is turned away. */
const REOPEN_AFTER_MS = 20

function buildPiece (bytes: string | Buffer): Buffer {
  const unit = Buffer.from(bytes as string, 'latin1')
  return Buffer.concat(Array.from({ length: Math.ceil(PIECE_BYTES / unit.length) }, () => unit))
}

/** A crowd of connections to one listener. */
export class HostileCrowd implements IClosable {
  private readonly sockets = new Set<Socket>()
  private readonly timers = new Set<NodeJS.Timeout>()
  private readonly piece: Buffer | undefined
  private isClosed = false

  /** @param options how it behaves */
  constructor (private readonly options: CrowdOptions) {
    const { repeated } = options.bytes
    this.piece = repeated === undefined ? undefined : buildPiece(repeated)
  }

  /** Opens the connections, which send until they are closed. */
  start (): void {
    for (let count = 0; count < this.options.connections; count++) this.open()
  }

  /** Leaves abruptly. */
  close (): void {
    this.isClosed = true
    for (const timer of this.timers) clearTimeout(timer)
    for (const socket of this.sockets) socket.destroy()
  }

  private open (): void {
    const { address, bytes, reads = false, reopens = true, isTls = false } = this.options
    const [host = '', port = ''] = address.split(':')
    const target = { host, port: Number(port) }
    const socket = isTls ? connectTls({ ...target, rejectUnauthorized: false }) : connect(target)
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => {
      this.sockets.delete(socket)
      if (reopens && !this.isClosed) this.openLater()
    })
    if (reads) socket.resume()
    else socket.pause()
    socket.once(isTls ? 'secureConnect' : 'connect', () => {
      if (bytes.first !== undefined) socket.write(Buffer.from(bytes.first as string, 'latin1'))
      this.sendRepeated(socket, bytes.maxRepeatedBytes ?? Infinity)
    })
  }

  private openLater (): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      this.open()
    }, REOPEN_AFTER_MS)
    this.timers.add(timer)
  }

  private sendRepeated (socket: Socket, bytesLeft: number): void {
    const { piece } = this
    if (piece === undefined || bytesLeft <= 0 || this.isClosed || !socket.writable) return
    const sent = bytesLeft < piece.length ? piece.subarray(0, bytesLeft) : piece
    socket.write(sent, (failure) => {
      if (failure === undefined || failure === null) this.sendRepeated(socket, bytesLeft - sent.length)
    })
  }
}
