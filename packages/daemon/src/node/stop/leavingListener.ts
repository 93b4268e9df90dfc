/** Ends callers' keep-alive connections while the daemon is leaving. */
import type { RequestListener } from 'node:http'

/**
 * A caller could send a request on a keep-alive connection at the moment when the
 * daemon closes it, and the request would be lost. If the previous response announces
 * that the connection ends, the caller sends its next request on another connection.
 * @param listener handles requests
 * @param isLeaving whether the daemon is leaving
 * @returns a listener that adds `Connection: close` to every response while leaving
 */
export function createLeavingListener (listener: RequestListener, isLeaving: () => boolean): RequestListener {
  return (request, response) => {
    if (isLeaving()) response.setHeader('Connection', 'close')
    listener(request, response)
  }
}
