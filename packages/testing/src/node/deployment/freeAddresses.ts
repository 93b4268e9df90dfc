/** Addresses on loopback that are known before anything listens on them. */
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'

/** Addresses found earlier: nobody may listen there yet, so that the system would choose them again. */
const foundAddresses = new Set<string>()

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

/** @returns listeners at as many addresses that were not found before */
async function openListeners (host: string, count: number): Promise<Server[]> {
  const listeners: Server[] = []
  const repeated: Server[] = []
  while (listeners.length < count) {
    const listener = await openListener(host)
    const address = formatAddress(host, listener)
    if (foundAddresses.has(address)) repeated.push(listener)
    else {
      foundAddresses.add(address)
      listeners.push(listener)
    }
  }
  await Promise.all(repeated.map(closeListener))
  return listeners
}

function formatAddress (host: string, server: Server): string {
  return `${host}:${(server.address() as AddressInfo).port}`
}

/**
 * Finds ports that are free now, and that no earlier call of this process found. Each entry VM has a host of its own in 127/8:
 * outgoing loopback connections leave from 127.0.0.1, so none of them can take
 * a port between this call and the moment the daemon listens on it.
 * @param host an address of 127/8
 * @param count how many
 * @returns as many different `host:port`
 */
export async function findFreeAddresses (host: string, count: number): Promise<string[]> {
  const listeners = await openListeners(host, count)
  const addresses = listeners.map((server) => formatAddress(host, server))
  await Promise.all(listeners.map(closeListener))
  return addresses
}
