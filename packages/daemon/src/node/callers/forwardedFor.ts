/** Reads and writes X-Forwarded-For, to determine client addresses behind forwarding proxies. */
import { ClientBlockTable } from '@umberspar/steering/common/lookup/clientBlocks'
import { isIP } from 'node:net'

const MAPPED_PREFIX = '::ffff:'
const FORWARDER_GROUP = 'forwarders'
const ADDRESS_WITH_PORT = /^(?:\[([^\]]+)\]|([^:]+))(?::\d{1,5})?$/

/**
 * @param address a socket's remote address
 * @returns the address without an IPv6 zone, and as IPv4 if it is IPv4-mapped
 */
export function toNormalizedAddress (address: string): string {
  const plain = address.split('%', 1)[0] ?? ''
  if (!plain.toLowerCase().startsWith(MAPPED_PREFIX)) return plain
  const mapped = plain.slice(MAPPED_PREFIX.length)
  return isIP(mapped) === 4 ? mapped : plain
}

/** Proxies whose X-Forwarded-For is trusted. */
export class TrustedForwarders {
  /** Used instead of node:net's BlockList, which takes 2.3 µs per check where this takes 0.1 µs. Each look-up through a forwarder checks twice. */
  private readonly table: ClientBlockTable

  /** @param blocks CIDR blocks of the proxies */
  constructor (blocks: readonly string[]) {
    this.table = ClientBlockTable.build(blocks.map((prefix) => ({ prefix, group: FORWARDER_GROUP })))
  }

  /**
   * @param address a normalized address
   * @returns whether it is a configured forwarder
   */
  isForwarder (address: string): boolean {
    return this.table.find(address) !== undefined
  }

  /**
   * Skips configured forwarders from the nearest hop outwards and stops at the first
   * other address. Anyone can write the header: the entries left of that address are
   * set by the caller itself, and trusting them would let a caller choose its region
   * and evade per-address limits.
   * @param socketAddress the socket's remote address
   * @param forwardedFor the X-Forwarded-For header, if any
   * @returns the client's address
   */
  findClient (socketAddress: string, forwardedFor: string | undefined): string {
    let client = toNormalizedAddress(socketAddress)
    const hops = forwardedFor?.split(',') ?? []
    while (this.isForwarder(client)) {
      const next = parseHop(hops.pop())
      if (next === undefined) break
      client = next
    }
    return client
  }

  /**
   * @param socketAddress the socket's remote address
   * @param forwardedFor the X-Forwarded-For header as received, if any
   * @returns the header for the upstream: the socket's address, preceded by the received hops if a configured forwarder sent them
   */
  buildHeader (socketAddress: string, forwardedFor: string | undefined): string {
    const address = toNormalizedAddress(socketAddress)
    if (forwardedFor === undefined || forwardedFor.trim() === '' || !this.isForwarder(address)) return address
    return `${forwardedFor}, ${address}`
  }
}

function parseHop (text: string | undefined): string | undefined {
  const trimmed = text?.trim() ?? ''
  if (isIP(trimmed) !== 0) return toNormalizedAddress(trimmed)
  const match = ADDRESS_WITH_PORT.exec(trimmed)
  const address = toNormalizedAddress(match?.[1] ?? match?.[2] ?? '')
  return isIP(address) === 0 ? undefined : address
}
