/** Bounds the open connections of one listener, in total and per client address. */
import type { Socket } from 'node:net'
import { toPlainAddress } from '../callers/forwardedFor.js'

/** Counts connections and refuses those above the limit. */
export class ConnectionLimits {
  private readonly openByAddress = new Map<string, number>()

  /**
   * @param maxPerAddress connections of one client address
   * @param isExempt whether an address carries many clients and is not limited
   * @param onRefuse called for each connection refused
   */
  constructor (
    private readonly maxPerAddress: number,
    private readonly isExempt: (address: string) => boolean,
    private readonly onRefuse: () => void
  ) {}

  /**
   * Takes a new connection in, or destroys it: one client that opens connections
   * without end would otherwise leave none for the others.
   * @param socket just accepted
   * @returns whether it may stay
   */
  accept (socket: Socket): boolean {
    const address = toPlainAddress(socket.remoteAddress ?? '')
    if (this.isExempt(address)) return true
    const open = this.openByAddress.get(address) ?? 0
    if (open >= this.maxPerAddress) {
      this.onRefuse()
      socket.destroy()
      return false
    }
    this.openByAddress.set(address, open + 1)
    socket.once('close', () => { this.release(address) })
    return true
  }

  private release (address: string): void {
    const open = (this.openByAddress.get(address) ?? 1) - 1
    if (open > 0) this.openByAddress.set(address, open)
    else this.openByAddress.delete(address)
  }
}
