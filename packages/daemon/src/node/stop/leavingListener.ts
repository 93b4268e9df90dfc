/** Ends callers' keep-alive connections while the daemon is leaving. */
import type { RequestListener } from 'node:http'
import type { Socket } from 'node:net'

/**
 * A caller could send a request on a keep-alive connection at the moment when the
 * daemon closes it, and the request would be lost. If the previous response announces
 * that the connection ends, the caller sends its next request on another connection.
 * @param listener handles requests
 * @param isLeaving whether the daemon is leaving
 * @returns a listener that adds `Connection: close` to the next response of each connection while leaving, and
 * ignores requests behind it: their response could not be sent, and their callers send them again
 */
export function createLeavingListener (listener: RequestListener, isLeaving: () => boolean): RequestListener {
  const closingSockets = new WeakSet<Socket>()
  return (request, response) => {
    if (closingSockets.has(request.socket)) return
    if (isLeaving()) {
      closingSockets.add(request.socket)
      response.setHeader('Connection', 'close')
    }
    listener(request, response)
  }
}
