/** Accepts requests that other entry VMs relay, unless this VM can't take them. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { parseRelayOrigin, RELAY_FIELD, RELAY_PATH, type RelayOrigin, RelayOutcome } from '../../common/relayFields.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { getHeader } from '../upstream/rawHeaders.js'

/** Limit on relayed requests in flight: this VM serves its own callers first. */
const MAX_IN_FLIGHT = 128
const SERVICE_UNAVAILABLE = 503

/** Handles the requests that were accepted. */
export interface RelayedRequestHandler {
  /** Whether this VM isn't ready, or late with its own requests. */
  isBusy(): boolean
  /** Handles a request whose target is as the caller sent it. */
  acceptRelayed(request: IncomingMessage, response: ServerResponse, origin: RelayOrigin): void
}

/** The relayed requests of one process. */
export class RelayServer {
  private inFlight = 0

  /**
   * @param handler handles the accepted requests
   * @param telemetry counts requests
   */
  constructor (private readonly handler: RelayedRequestHandler, private readonly telemetry: EntryTelemetry) {}

  /** Accepts a request at {@link RELAY_PATH}, or tells the other VM that another one must take it. */
  accept (request: IncomingMessage, response: ServerResponse): void {
    const origin = parseRelayOrigin(getHeader(request.rawHeaders, RELAY_FIELD))
    if (origin === undefined || this.inFlight >= MAX_IN_FLIGHT || this.handler.isBusy()) {
      this.refuse(request, response)
      return
    }
    this.inFlight++
    response.once('close', () => { this.inFlight-- })
    this.telemetry.countRelayed('accepted')
    request.url = request.url?.slice(RELAY_PATH.length)
    this.handler.acceptRelayed(request, response, origin)
  }

  private refuse (request: IncomingMessage, response: ServerResponse): void {
    this.telemetry.countRelayed(RelayOutcome.Unable)
    request.resume()
    response.writeHead(SERVICE_UNAVAILABLE, { [RELAY_FIELD]: RelayOutcome.Unable, 'Content-Length': 0 })
    response.end()
  }
}
