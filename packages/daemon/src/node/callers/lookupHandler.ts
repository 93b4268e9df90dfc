/** Handles `GET /v1/lookup?service=S`, which returns the entry VMs that a caller may use. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { LookupIndex } from '@umberspar/steering/common/lookup/decideLookup'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ClientRegions } from './clientRegions.js'
import { sendProblem } from './sendProblem.js'

const MS_PER_SECOND = 1000
const OK_STATUS = 200
/** The query as almost all callers send it; any other query is parsed by URLSearchParams. */
const SIMPLE_QUERY = /\?service=([a-z0-9-]+)$/

/** A serialized response, created once per index instead of once per look-up. */
interface EncodedResponse {
  readonly body: Buffer
  readonly headers: Readonly<Record<string, string | number>>
}

/** Answers look-ups from a precomputed index. */
export class LookupHandler {
  private index: LookupIndex | undefined
  private readonly encodedResponses = new Map<string, EncodedResponse>()

  constructor (private readonly regions: ClientRegions) {}

  /**
   * Replaces the index after a change of the configuration or the members.
   * @param index the new index
   */
  update (index: LookupIndex): void {
    this.index = index
    this.encodedResponses.clear()
  }

  /**
   * Answers one look-up.
   * @param request the caller's request
   * @param response the response to write
   */
  handle (request: IncomingMessage, response: ServerResponse): void {
    const service = parseService(request.url ?? '')
    const answer = service === undefined ? undefined : this.find(service, this.regions.find(request))
    if (answer === undefined) {
      sendProblem(response, this.createError(service), Outcome.NotRun, randomUUID())
      return
    }
    response.writeHead(OK_STATUS, answer.headers)
    response.end(answer.body)
  }

  private find (service: string, region: string): EncodedResponse | undefined {
    const cacheKey = `${service}/${region}`
    const cached = this.encodedResponses.get(cacheKey)
    if (cached !== undefined) return cached
    const answer = this.index?.find(service, region)
    if (answer === undefined) return undefined
    const body = Buffer.from(JSON.stringify(answer))
    const headers = {
      'Content-Type': 'application/json',
      'Cache-Control': `max-age=${Math.floor(answer.cacheForMs / MS_PER_SECOND)}`,
      'Content-Length': body.length
    }
    const encoded = { body, headers }
    this.encodedResponses.set(cacheKey, encoded)
    return encoded
  }

  private createError (service: string | undefined): StepError {
    const step = 'look-up'
    if (service === undefined) return new StepError({ code: ErrorCode.Invalid, step, peer: 'local', message: 'expected the query ?service=NAME' })
    if (this.index === undefined) return new StepError({ code: ErrorCode.Unavailable, step, peer: 'local', message: 'no configuration is in force yet' })
    return new StepError({ code: ErrorCode.NotFound, step, peer: 'local', message: `unknown service: ${service}` })
  }
}

function parseService (url: string): string | undefined {
  const match = SIMPLE_QUERY.exec(url)
  if (match !== null && url.indexOf('?') === match.index) return match[1]
  const queryStart = url.indexOf('?')
  if (queryStart === -1) return undefined
  return new URLSearchParams(url.slice(queryStart + 1)).get('service') ?? undefined
}
