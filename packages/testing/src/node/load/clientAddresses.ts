/** The addresses from which a region's callers speak. */
import { Agent } from 'undici'

/** How callers show which client block they belong to. */
export enum CallerAddressing {
  /** Their sockets are bound to an address of the block; loopback lets any of 127/8 be bound. */
  SourceAddress = 'source-address',
  /** They send X-Forwarded-For, which a daemon believes from the forwarders of its settings. */
  ForwardedFor = 'forwarded-for'
}

/** One client address and how it speaks. */
export interface ClientSocketPool {
  readonly agent: Agent
  readonly headers: Readonly<Record<string, string>>
}

const BITS_PER_BYTE = 8
const BYTE_LIMIT = 2 ** BITS_PER_BYTE
const KEEP_ALIVE_SPAN_MS = 30_000

/**
 * @param block an IPv4 client block, as `127.10.0.0/16`
 * @param count how many addresses to list
 * @returns the first addresses after the block's own
 */
export function listClientAddresses (block: string, count: number): string[] {
  const base = block.split('/')[0] ?? block
  const first = base.split('.').reduce((sum, part) => sum * BYTE_LIMIT + Number(part), 0)
  return Array.from({ length: count }, (_, index) => formatIpv4(first + index + 1))
}

function formatIpv4 (value: number): string {
  const parts = [3, 2, 1, 0].map((place) => Math.floor(value / BYTE_LIMIT ** place) % BYTE_LIMIT)
  return parts.join('.')
}

type PoolBuilder = (address: string, maxConnections: number) => ClientSocketPool

const AGENT_OPTIONS = { keepAliveTimeout: KEEP_ALIVE_SPAN_MS, pipelining: 1 }

/** How a pool is made, by addressing. */
const POOL_BUILDERS: Readonly<Record<CallerAddressing, PoolBuilder>> = {
  [CallerAddressing.SourceAddress]: (address, connections) => ({
    agent: new Agent({ ...AGENT_OPTIONS, connections, localAddress: address }),
    headers: {}
  }),
  [CallerAddressing.ForwardedFor]: (address, connections) => ({
    agent: new Agent({ ...AGENT_OPTIONS, connections }),
    headers: { 'x-forwarded-for': address }
  })
}

/**
 * @param addressing how the callers show their block
 * @param address a client address
 * @param maxConnections connections of this client to one entry
 * @returns its sockets; the owner closes the agent
 */
export function createClientSocketPool (addressing: CallerAddressing, address: string, maxConnections: number): ClientSocketPool {
  return POOL_BUILDERS[addressing](address, maxConnections)
}
