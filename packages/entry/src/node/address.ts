/** Parses addresses of the form `host:port` and listens at them. */
import type { Server } from 'node:net'

/** An IP address and a port. */
export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/**
 * @param address `host:port`, already validated
 * @returns host and port
 */
export function splitAddress (address: string): HostAndPort {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port) }
}

/**
 * @param server the server
 * @param address `host:port`
 * @returns resolved when clients can connect; rejected if the server can't listen at the address
 */
export async function listenAt (server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
}
