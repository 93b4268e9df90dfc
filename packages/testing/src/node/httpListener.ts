/** Starts and closes the HTTP listeners of the test tools. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Polka } from 'polka'

/** A listener that runs. */
export interface HttpListener {
  readonly server: Server
  /** `host:port` as listened on. */
  readonly address: string
}

/**
 * @param app the routes
 * @param address `host:port`, with port 0 for a free one
 * @returns the listener, once it accepts connections
 */
export function startListener (app: Polka, address: string): Promise<HttpListener> {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator)
  app.listen(Number(address.slice(separator + 1)), host)
  const server = app.server as Server
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.once('listening', () => {
      const { port } = server.address() as AddressInfo
      resolve({ server, address: `${host}:${port}` })
    })
  })
}

/**
 * Stops a listener and breaks its connections.
 * @param listener what `startListener` returned
 * @returns settled when the port is free
 */
export function closeListener (listener: HttpListener): Promise<void> {
  return new Promise((resolve) => {
    listener.server.close(() => resolve())
    listener.server.closeAllConnections()
  })
}
