/** Limits the open connections of one listener per client address. */
import type { Socket } from 'node:net'
import { toNormalizedAddress } from '../callers/forwardedFor.js'

/** Counts connections by client address and closes those above the limit. */
export class ConnectionLimits {
  private readonly openByAddress = new Map<string, number>()

  /**
   * @param maxPerAddress maximum number of open connections from one client address
   * @param isExempt whether an address is that of a proxy for many clients and isn't limited
   * @param onRefuse called for each refused connection
   */
  constructor (
    private readonly maxPerAddress: number,
    private readonly isExempt: (address: string) => boolean,
    private readonly onRefuse: () => void
  ) {}

  /**
   * Accepts a new connection, or destroys it if the client has too many: otherwise
   * one client could use up all connections of the listener.
   * @param socket the socket just opened
   * @returns whether the connection was accepted
   */
  accept (socket: Socket): boolean {
    const address = toNormalizedAddress(socket.remoteAddress ?? '')
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
