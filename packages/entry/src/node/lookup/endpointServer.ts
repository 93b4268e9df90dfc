/** The HTTP server for look-ups of entry VMs, readiness checks, metrics, and requests of other entry VMs. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { IClosable } from '@umberspar/base/common/closing'
import type { ConnectionLimit } from '@umberspar/base/node/http/connectionLimit'
import type { ConnectionResources } from '@umberspar/base/node/http/connectionResources'
import { addServerGuard } from '@umberspar/base/node/http/guardedServer'
import { listenAt } from '../address.js'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'

/** A complete response. */
export interface PlainResponse {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Handles requests for one path. */
export type PathHandler = (query: URLSearchParams) => PlainResponse | Promise<PlainResponse>

/** Handles requests below one path, whatever their method and body. */
export type RawHandler = (request: IncomingMessage, response: ServerResponse) => void

/** Handles requests for one path with a response that stays open until the client disconnects. */
export type StreamHandler = (query: URLSearchParams, response: ServerResponse) => void

/** The content type of the Prometheus text format. */
export const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'
export const READY_RESPONSE: PlainResponse = { status: 200, contentType: 'text/plain', body: 'ready\n' }
export const NOT_READY_RESPONSE: PlainResponse = { status: 503, contentType: 'text/plain', body: 'not ready\n' }
const NOT_FOUND_RESPONSE: PlainResponse = { status: 404, contentType: 'text/plain', body: 'no such path\n' }
/** Keeps connections open between requests: the platform and callers send one every second or two. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000
/** Heads of relayed requests may be as long as those of callers, and have further fields. */
const MAX_HEADER_BYTES = 81_920
/** Limit on the time that the head of a request may take, and on that of a whole request. */
const HEADER_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 30_000
/** Other VMs send the next request of a connection when they have the response. */
const MAX_IN_FLIGHT = 1
const BAD_REQUEST = 400

/** An HTTP server for short requests; several kinds of endpoints may share an address. */
export class EndpointServer implements IClosable {
  private readonly server: Server
  private readonly handlers = new Map<string, PathHandler>()
  private readonly streamHandlers = new Map<string, StreamHandler>()

  /** By the first part of the target. */
  private readonly rawHandlers: Array<readonly [string, RawHandler]> = []

  /**
   * @param resources what all connections of the process share
   * @param limit limits the connections of all endpoints
   */
  constructor (resources: ConnectionResources, limit: ConnectionLimit) {
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, noDelay: true, maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADER_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS })
    // Relayed requests keep all of their fields.
    this.server.maxHeadersCount = 0
    addServerGuard(this.server, { resources, limit, maxInFlight: MAX_IN_FLIGHT, maxHeadBytes: MAX_HEADER_BYTES, headTimeoutMs: HEADER_TIMEOUT_MS, unknownCodingStatus: BAD_REQUEST })
    this.server.on('request', (request, response) => { this.handleRequest(request, response) })
  }

  /**
   * Registers a handler for complete responses.
   * @param path the path
   * @param handler handles requests for the path
   */
  register (path: string, handler: PathHandler): void {
    this.handlers.set(path, handler)
  }

  /**
   * Registers a handler for responses that stay open.
   * @param path the path
   * @param handler handles requests for the path
   */
  registerStream (path: string, handler: StreamHandler): void {
    this.streamHandlers.set(path, handler)
  }

  /**
   * @param address `host:port`
   * @returns resolved when clients can connect; rejected if the server can't listen at the address
   */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /**
   * Registers a handler for all requests below a path.
   * @param prefix the path
   * @param handler handles the requests, and reads their bodies
   */
  registerRaw (prefix: string, handler: RawHandler): void {
    this.rawHandlers.push([prefix, handler])
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    const target = request.url ?? ''
    const rawHandler = this.rawHandlers.find(([prefix]) => target.startsWith(prefix))?.[1]
    if (rawHandler !== undefined) {
      rawHandler(request, response)
      return
    }
    request.resume()
    const queryIndex = target.indexOf('?')
    const path = queryIndex < 0 ? target : target.slice(0, queryIndex)
    const query = new URLSearchParams(queryIndex < 0 ? '' : target.slice(queryIndex + 1))
    const streamHandler = this.streamHandlers.get(path)
    if (streamHandler !== undefined) {
      streamHandler(query, response)
      return
    }
    const handler = this.handlers.get(path)
    Promise.resolve(handler === undefined ? NOT_FOUND_RESPONSE : handler(query)).then((plainResponse) => {
      writeResponse(response, plainResponse)
    }, (thrown: unknown) => {
      writeResponse(response, { status: 500, contentType: 'text/plain', body: `${String(thrown)}\n` })
    })
  }
}

function writeResponse (response: ServerResponse, { status, contentType, body }: PlainResponse): void {
  response.sendDate = false
  response.writeHead(status, { 'Content-Type': contentType, 'Content-Length': Buffer.byteLength(body) })
  response.end(body)
}

/**
 * Creates the handler for look-ups.
 * @param protocol parses look-ups and formats the responses
 * @param choose chooses the addresses for a caller's region and failure domain, and how long they may be cached
 * @param onLookup called for each look-up with whether any address was found
 * @returns the handler
 */
export function createLookupHandler (
  protocol: ICallerProtocol,
  choose: (region: string, domain: string) => { addresses: readonly string[], cacheMs: number },
  onLookup: (hasAddresses: boolean) => void
): PathHandler {
  return (query) => {
    const lookup = protocol.parseLookup(query)
    if (lookup === undefined) return { status: 400, contentType: 'text/plain', body: 'the look-up has no region or failure domain\n' }
    const result = choose(lookup.region, lookup.domain)
    onLookup(result.addresses.length > 0)
    if (result.addresses.length === 0) return { status: 503, contentType: 'text/plain', body: 'no entry VM is known to serve\n' }
    return { status: 200, contentType: 'application/json', body: protocol.formatLookup(result) }
  }
}
