/** Addresses on loopback that are known before anything listens on them. */
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'

function openListener (host: string): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => resolve(server))
  })
}

function closeListener (server: Server): Promise<void> {
  return new Promise((resolve) => { server.close(() => resolve()) })
}

/**
 * Finds ports that are free now. Each entry VM has a host of its own in 127/8:
 * outgoing loopback connections leave from 127.0.0.1, so none of them can take
 * a port between this call and the moment the daemon listens on it.
 * @param host an address of 127/8
 * @param count how many
 * @returns as many different `host:port`
 */
export async function findFreeAddresses (host: string, count: number): Promise<string[]> {
  const listeners = await Promise.all(Array.from({ length: count }, () => openListener(host)))
  const addresses = listeners.map((server) => `${host}:${(server.address() as AddressInfo).port}`)
  await Promise.all(listeners.map(closeListener))
  return addresses
}
