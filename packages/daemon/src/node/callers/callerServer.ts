/** Routes of the callers' listener: look-ups and requests. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import polka from 'polka'
import type { LookupHandler } from './lookupHandler.js'
import type { RequestHandler } from './requestHandler.js'

/**
 * @param lookups answers look-ups
 * @param requests forwards requests to upstreams
 * @returns a request listener for an HTTP server
 */
export function buildCallerApp (lookups: LookupHandler, requests: RequestHandler): RequestListener {
  const app = polka({
    onNoMatch: (_request, response) => {
      response.statusCode = 404
      response.end()
    }
  })
  app.get('/v1/lookup', (request, response) => lookups.handle(request as IncomingMessage, response as ServerResponse))
  app.all('/v1/services/*', (request, response) => requests.handle(request as IncomingMessage, response as ServerResponse))
  return app.handler.bind(app) as RequestListener
}
