/** Ends callers' kept-alive connections while the daemon leaves. */
import type { RequestListener } from 'node:http'

/**
 * A connection that callers keep open could carry a request in the very moment in
 * which it is closed; the caller would see it cut. Told with an answer that the
 * connection ends, the caller sends its next request elsewhere.
 * @param listener handles requests
 * @param isLeaving whether the daemon leaves now
 * @returns the same, with `Connection: close` on every answer given while leaving
 */
export function createLeavingListener (listener: RequestListener, isLeaving: () => boolean): RequestListener {
  return (request, response) => {
    if (isLeaving()) response.setHeader('Connection', 'close')
    listener(request, response)
  }
}
