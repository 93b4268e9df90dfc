/** Answers callers that ask which entry VMs to use, and the platform's checks of readiness. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { IClosable } from '@umberspar/base/common/closing'
import { listenAt } from '../address.js'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'

/** What one path answers. */
export interface PlainAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Answers one path; the query is that of the request. */
export type PathHandler = (query: URLSearchParams) => PlainAnswer | Promise<PlainAnswer>

/** Answers one path for as long as the asker listens. */
export type StreamHandler = (query: URLSearchParams, response: ServerResponse) => void

/** The Prometheus text format. */
export const METRICS_TYPE = 'text/plain; version=0.0.4'
export const READY: PlainAnswer = { status: 200, contentType: 'text/plain', body: 'ready\n' }
export const NOT_READY: PlainAnswer = { status: 503, contentType: 'text/plain', body: 'not ready\n' }
const NOT_FOUND: PlainAnswer = { status: 404, contentType: 'text/plain', body: 'no such path\n' }
/** Connections of platform and callers are kept while they ask every second or two, in milliseconds. */
const KEEP_ALIVE_MS = 10_000

/** A listener for short questions; several kinds of them may share an address. */
export class QuestionServer implements IClosable {
  private readonly server: Server
  private readonly handlers = new Map<string, PathHandler>()
  private readonly streamHandlers = new Map<string, StreamHandler>()

  constructor () {
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, noDelay: true })
    this.server.on('request', (request, response) => { this.handleRequest(request, response) })
  }

  /**
   * @param path the path answered
   * @param handler what answers it
   */
  register (path: string, handler: PathHandler): void {
    this.handlers.set(path, handler)
  }

  /**
   * @param path the path answered
   * @param handler what keeps the answer open
   */
  registerStream (path: string, handler: StreamHandler): void {
    this.streamHandlers.set(path, handler)
  }

  /**
   * @param address `host:port`
   * @returns settled when questions can be asked
   */
  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  /** Answers nothing more. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    request.resume()
    const target = request.url ?? ''
    const queryAt = target.indexOf('?')
    const path = queryAt < 0 ? target : target.slice(0, queryAt)
    const query = new URLSearchParams(queryAt < 0 ? '' : target.slice(queryAt + 1))
    const streamHandler = this.streamHandlers.get(path)
    if (streamHandler !== undefined) {
      streamHandler(query, response)
      return
    }
    const handler = this.handlers.get(path)
    Promise.resolve(handler === undefined ? NOT_FOUND : handler(query)).then((answer) => {
      writeAnswer(response, answer)
    }, (thrown: unknown) => {
      writeAnswer(response, { status: 500, contentType: 'text/plain', body: `${String(thrown)}\n` })
    })
  }
}

function writeAnswer (response: ServerResponse, { status, contentType, body }: PlainAnswer): void {
  response.sendDate = false
  response.writeHead(status, { 'Content-Type': contentType, 'Content-Length': Buffer.byteLength(body) })
  response.end(body)
}

/**
 * @param protocol how look-ups are spoken
 * @param choose the addresses for a caller's place, and how long to keep them
 * @param onAnswered told whether there were any
 * @returns what answers look-ups
 */
export function createLookupHandler (
  protocol: ICallerProtocol,
  choose: (region: string, domain: string) => { addresses: readonly string[], cacheMs: number },
  onAnswered: (hasAddresses: boolean) => void
): PathHandler {
  return (query) => {
    const asked = protocol.parseLookup(query)
    if (asked === undefined) return { status: 400, contentType: 'text/plain', body: 'the look-up has no region or failure domain\n' }
    const answer = choose(asked.region, asked.domain)
    onAnswered(answer.addresses.length > 0)
    if (answer.addresses.length === 0) return { status: 503, contentType: 'text/plain', body: 'no entry VM is known to serve\n' }
    return { status: 200, contentType: 'application/json', body: protocol.formatLookup(answer) }
  }
}
