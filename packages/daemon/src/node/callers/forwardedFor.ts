/** Client addresses behind forwarders: X-Forwarded-For is read and written here only. */
import { BlockList, isIP } from 'node:net'

const MAPPED_PREFIX = '::ffff:'
const WITH_PORT = /^(?:\[([^\]]+)\]|([^:]+))(?::\d{1,5})?$/

/**
 * @param address of a socket
 * @returns an IPv4-mapped IPv6 address as IPv4, without a zone; others as they are
 */
export function toPlainAddress (address: string): string {
  const plain = address.split('%', 1)[0] ?? ''
  if (!plain.toLowerCase().startsWith(MAPPED_PREFIX)) return plain
  const mapped = plain.slice(MAPPED_PREFIX.length)
  return isIP(mapped) === 4 ? mapped : plain
}

/** The sources whose X-Forwarded-For is believed. */
export class TrustedForwarders {
  private readonly blocks = new BlockList()

  /** @param blocks CIDR blocks */
  constructor (blocks: readonly string[]) {
    for (const block of blocks) {
      const [address = '', bits = ''] = block.split('/')
      this.blocks.addSubnet(address, Number(bits), address.includes(':') ? 'ipv6' : 'ipv4')
    }
  }

  /**
   * @param address normalized
   * @returns whether it is a configured forwarder
   */
  has (address: string): boolean {
    const family = isIP(address)
    return family !== 0 && this.blocks.check(address, family === 6 ? 'ipv6' : 'ipv4')
  }

  /**
   * Goes from the nearest hop outwards over configured forwarders and stops at
   * the first other one. Anyone can write the header: what stands left of that
   * address is the caller's own word, and believing it would let a caller choose
   * its region and escape limits by address.
   * @param direct the socket's address
   * @param forwarded the header, if any
   * @returns the client's address
   */
  findClient (direct: string, forwarded: string | undefined): string {
    let client = toPlainAddress(direct)
    const hops = forwarded?.split(',') ?? []
    while (this.has(client)) {
      const next = parseHop(hops.pop())
      if (next === undefined) break
      client = next
    }
    return client
  }

  /**
   * @param direct the socket's address
   * @param forwarded the header as received, if any
   * @returns the header for the upstream: the socket's address, after the received hops if a configured forwarder sent them
   */
  buildHeader (direct: string, forwarded: string | undefined): string {
    const address = toPlainAddress(direct)
    if (forwarded === undefined || forwarded.trim() === '' || !this.has(address)) return address
    return `${forwarded}, ${address}`
  }
}

function parseHop (text: string | undefined): string | undefined {
  const trimmed = text?.trim() ?? ''
  if (isIP(trimmed) !== 0) return toPlainAddress(trimmed)
  const match = WITH_PORT.exec(trimmed)
  const address = toPlainAddress(match?.[1] ?? match?.[2] ?? '')
  return isIP(address) === 0 ? undefined : address
}
