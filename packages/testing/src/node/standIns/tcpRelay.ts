/** A relay of TCP connections, to count what passes and to cut a link between two sides. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { IClosable } from '@umberspar/base/common/closing'

const LOOPBACK = '127.0.0.1'

/** One way to one address. */
export class TcpRelay implements IClosable {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private isCut = false
  private passed = 0

  /** @param target `host:port` to which connections go on */
  constructor (private readonly target: string) {
    this.server = createServer((socket) => this.accept(socket))
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

  /** @param isCut whether connections are broken and new ones refused */
  setCut (isCut: boolean): void {
    this.isCut = isCut
    if (isCut) this.closeSockets()
  }

  async close (): Promise<void> {
    this.closeSockets()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private accept (incoming: Socket): void {
    if (this.isCut) {
      incoming.destroy()
      return
    }
    const colon = this.target.lastIndexOf(':')
    const outgoing = connect({ host: this.target.slice(0, colon), port: Number(this.target.slice(colon + 1)) })
    this.join(incoming, outgoing)
    this.join(outgoing, incoming)
  }

  private join (from: Socket, to: Socket): void {
    this.sockets.add(from)
    from.setNoDelay(true)
    from.on('data', (bytes: Buffer) => { this.passed += bytes.length })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
    from.pipe(to)
  }

  private closeSockets (): void {
    for (const socket of [...this.sockets]) socket.destroy()
  }
}
