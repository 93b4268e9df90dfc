/** A relay of TCP connections: counts what passes, and breaks, holds or delays it on demand. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { IClosable } from '@umberspar/base/common/closing'
import { resetSocket } from '../resetSocket.js'

/** How a link treats its connections. */
export enum LinkFault {
  None = 'none',
  /** Bytes come later, both ways. */
  Delay = 'delay',
  /** Open connections are ended, new ones as well. */
  Break = 'break',
  /** Open connections are reset, new ones as well. */
  Reset = 'reset',
  /** What the opening side sends is held back. */
  CutThere = 'cut-there',
  /** What the listening side sends is held back. */
  CutBack = 'cut-back',
  /** Nothing passes either way, and no connection ends. */
  Silence = 'silence'
}

/** One way of bytes through the relay. */
enum Way {
  There = 'there',
  Back = 'back'
}

const LOOPBACK = '127.0.0.1'
const DELAY_MS = 60
const HELD_WAYS: Readonly<Partial<Record<LinkFault, readonly Way[]>>> = {
  [LinkFault.CutThere]: [Way.There],
  [LinkFault.CutBack]: [Way.Back],
  [LinkFault.Silence]: [Way.There, Way.Back]
}
const ENDERS: Readonly<Partial<Record<LinkFault, (socket: Socket) => void>>> = {
  [LinkFault.Break]: (socket) => { socket.destroy() },
  [LinkFault.Reset]: (socket) => { resetSocket(socket) }
}

/** One way to one address. */
export class TcpRelay implements IClosable {
  private readonly server: Server
  /** Open sockets, with the way of the bytes that come from them. */
  private readonly ways = new Map<Socket, Way>()
  /** Open sockets that pass nothing any more, whatever becomes of the link. */
  private readonly silenced = new Set<Socket>()
  private fault = LinkFault.None
  private passed = 0

  /** @param target `host:port` to which connections go on */
  constructor (private target: string) {
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => { this.accept(near) })
  }

  /** @returns the bytes that have passed in both directions */
  get bytes (): number {
    return this.passed
  }

  /** @returns `host:port` where it listens */
  start (): Promise<string> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(0, LOOPBACK, () => resolve(`${LOOPBACK}:${(this.server.address() as AddressInfo).port}`))
    })
  }

  /** @param fault how connections are treated from now on; held bytes pass when it ends */
  setFault (fault: LinkFault): void {
    this.fault = fault
    const end = ENDERS[fault]
    for (const [socket, way] of [...this.ways]) {
      if (end !== undefined) end(socket)
      else this.hold(socket, way)
    }
  }

  /** Makes open connections pass nothing any more, without closing them; new ones work. */
  holdOpen (): void {
    for (const socket of this.ways.keys()) {
      this.silenced.add(socket)
      socket.pause()
    }
  }

  /** Leads connections elsewhere from now on; open ones are reset. */
  setTarget (target: string): void {
    this.target = target
    for (const socket of [...this.ways.keys()]) resetSocket(socket)
  }

  async close (): Promise<void> {
    for (const socket of [...this.ways.keys()]) socket.destroy()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private accept (near: Socket): void {
    const end = ENDERS[this.fault]
    if (end !== undefined) {
      end(near)
      return
    }
    const colon = this.target.lastIndexOf(':')
    const far = connect({ host: this.target.slice(0, colon), port: Number(this.target.slice(colon + 1)), allowHalfOpen: true, noDelay: true })
    this.join(near, far, Way.There)
    this.join(far, near, Way.Back)
  }

  private join (from: Socket, to: Socket, way: Way): void {
    this.ways.set(from, way)
    from.on('data', (chunk) => {
      this.passed += chunk.length
      this.deliver(() => { this.write(chunk, from, to, way) })
    })
    from.on('end', () => { this.deliver(() => { to.end() }) })
    // A reset on one side is a reset on the other; an ordered end went before.
    from.on('error', () => { resetSocket(to) })
    from.on('close', () => {
      this.ways.delete(from)
      this.silenced.delete(from)
      this.deliver(() => { to.destroySoon() })
    })
    this.hold(from, way)
  }

  private write (chunk: Buffer, from: Socket, to: Socket, way: Way): void {
    if (to.destroyed || to.write(chunk)) return
    from.pause()
    to.once('drain', () => { this.hold(from, way) })
  }

  private deliver (act: () => void): void {
    if (this.fault === LinkFault.Delay) setTimeout(act, DELAY_MS)
    else act()
  }

  private hold (from: Socket, way: Way): void {
    if (this.silenced.has(from) || HELD_WAYS[this.fault]?.includes(way) === true) from.pause()
    else from.resume()
  }
}
