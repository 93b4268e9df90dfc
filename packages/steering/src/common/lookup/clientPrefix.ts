/** CIDR prefixes of clients, in one spelling: IPv4-mapped IPv6 prefixes count as IPv4. */
import ipaddr from 'ipaddr.js'

const IPV4_BITS = 32
const IPV6_BITS = 128
/** Bits before the IPv4 address in `::ffff:a.b.c.d`. */
const MAPPED_BITS = IPV6_BITS - IPV4_BITS
const PREFIX = /^([0-9a-fA-F:.]+)\/(\d{1,3})$/

/** Address families. */
export enum AddressFamily {
  IPv4 = 4,
  IPv6 = 6
}

/** A parsed prefix. */
export interface ClientPrefix {
  readonly family: AddressFamily
  /** The network's address; 4 or 16 bytes, without host bits. */
  readonly bytes: readonly number[]
  /** Prefix length in bits, 0 to 32 or 128. */
  readonly length: number
  /** The prefix in its one spelling; equal prefixes have equal text. */
  readonly text: string
}

function parseBytes (address: string): number[] | undefined {
  // ipaddr.js also takes octal and shortened IPv4 spellings, which tools read differently.
  if (ipaddr.IPv4.isValidFourPartDecimal(address)) return ipaddr.IPv4.parse(address).toByteArray()
  if (address.includes(':') && ipaddr.IPv6.isValid(address)) return ipaddr.IPv6.parse(address).toByteArray()
  return undefined
}

function removeHostBits (bytes: readonly number[], length: number): number[] {
  return bytes.map((byte, index) => {
    const kept = Math.min(8, Math.max(0, length - index * 8))
    return byte & (0xff << (8 - kept)) & 0xff
  })
}

function isMapped (bytes: readonly number[]): boolean {
  return bytes.slice(0, 10).every((byte) => byte === 0) && bytes[10] === 0xff && bytes[11] === 0xff
}

/**
 * Parses `address/length`; bits beyond the length are cleared.
 * @param text a CIDR prefix
 * @returns the prefix, or undefined if the text is none
 */
export function parseClientPrefix (text: string): ClientPrefix | undefined {
  const match = PREFIX.exec(text)
  if (match === null) return undefined
  let bytes = parseBytes(match[1] ?? '')
  let length = Number(match[2])
  if (bytes === undefined || length > bytes.length * 8) return undefined
  if (bytes.length * 8 === IPV6_BITS && length >= MAPPED_BITS && isMapped(bytes)) {
    bytes = bytes.slice(MAPPED_BITS / 8)
    length -= MAPPED_BITS
  }
  const network = removeHostBits(bytes, length)
  return {
    family: network.length * 8 === IPV4_BITS ? AddressFamily.IPv4 : AddressFamily.IPv6,
    bytes: network,
    length,
    text: `${ipaddr.fromByteArray(network).toString()}/${length}`
  }
}
