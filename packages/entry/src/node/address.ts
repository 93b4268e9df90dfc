/** Addresses of the form `host:port`, and listening at one. */
import type { Server } from 'node:net'

/** An IP address and a port. */
export interface HostPort {
  readonly host: string
  readonly port: number
}

/**
 * @param address `host:port`, checked where it was read
 * @returns its parts
 */
export function splitAddress (address: string): HostPort {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port) }
}

/**
 * @param server the server
 * @param address `host:port`
 * @returns settled when peers can connect; rejected if the address cannot be had
 */
export async function listenAt (server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
}
