/** A loopback proxy for one link: delays, resets, cuts one way and silences its connections on demand. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { IClosable } from '@umberspar/base/common/closing'

/** How a link treats its connections. */
export enum LinkFault {
  None = 'none',
  /** Bytes come later, both ways. */
  Delay = 'delay',
  /** Open connections are reset, new ones as well. */
  Reset = 'reset',
  /** What the opening side sends is held back. */
  CutThere = 'cut-there',
  /** What the listening side sends is held back. */
  CutBack = 'cut-back',
  /** Nothing passes either way, and no connection ends. */
  Silence = 'silence'
}

/** One way of bytes through the proxy. */
enum Way {
  There = 'there',
  Back = 'back'
}

const DELAY_MS = 60
const HELD_WAYS: Readonly<Record<LinkFault, readonly Way[]>> = {
  [LinkFault.None]: [],
  [LinkFault.Delay]: [],
  [LinkFault.Reset]: [],
  [LinkFault.CutThere]: [Way.There],
  [LinkFault.CutBack]: [Way.Back],
  [LinkFault.Silence]: [Way.There, Way.Back]
}

interface Pair {
  readonly near: Socket
  readonly far: Socket
}

/** The proxy of one link. */
export class FaultProxy implements IClosable {
  private readonly server: Server
  private readonly pairs = new Set<Pair>()
  private fault = LinkFault.None

  /** @param target `host:port` that connections are led to */
  constructor (private target: string) {
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => { this.accept(near) })
  }

  /** @returns `127.0.0.1:port` once it listens */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    const address = this.server.address()
    return `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`
  }

  /** @param fault how connections are treated from now on; held bytes pass when it ends */
  setFault (fault: LinkFault): void {
    this.fault = fault
    for (const { near, far } of this.pairs) {
      if (fault === LinkFault.Reset) {
        near.resetAndDestroy()
        far.resetAndDestroy()
        continue
      }
      this.hold(near, Way.There)
      this.hold(far, Way.Back)
    }
  }

  /** Leads connections elsewhere from now on; open ones are reset. */
  setTarget (target: string): void {
    this.target = target
    for (const { near, far } of this.pairs) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
  }

  close (): void {
    this.server.close()
    for (const { near, far } of this.pairs) {
      near.destroy()
      far.destroy()
    }
  }

  private accept (near: Socket): void {
    if (this.fault === LinkFault.Reset) {
      near.resetAndDestroy()
      return
    }
    const [host, port] = this.target.split(':')
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    const pair = { near, far }
    this.pairs.add(pair)
    this.join(near, far, Way.There)
    this.join(far, near, Way.Back)
    near.on('close', () => { this.pairs.delete(pair) })
  }

  private join (from: Socket, to: Socket, way: Way): void {
    from.on('data', (chunk) => { this.deliver(() => { if (!to.destroyed) to.write(chunk) }) })
    from.on('end', () => { this.deliver(() => { to.end() }) })
    // A reset on one side is a reset on the other; an ordered end went before.
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => { this.deliver(() => { to.destroySoon() }) })
    this.hold(from, way)
  }

  private deliver (act: () => void): void {
    if (this.fault === LinkFault.Delay) setTimeout(act, DELAY_MS)
    else act()
  }

  private hold (from: Socket, way: Way): void {
    if (HELD_WAYS[this.fault].includes(way)) from.pause()
    else from.resume()
  }
}
