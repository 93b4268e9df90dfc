/** Handles `GET /v1/lookup?service=S`: which entry VMs a caller may use. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { LookupIndex } from '@umberspar/steering/common/lookup/decideLookup'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ClientRegions } from './clientRegions.js'
import { answerProblem } from './problem.js'

const MS_PER_SECOND = 1000
const OK_STATUS = 200
/** The query as nearly all callers write it; anything else is parsed by the library. */
const PLAIN_QUERY = /\?service=([a-z0-9-]+)$/

/** An answer as it goes out; made once per index, not once per look-up. */
interface EncodedAnswer {
  readonly body: Buffer
  readonly headers: Readonly<Record<string, string | number>>
}

/** Answers look-ups from a precomputed index. */
export class LookupHandler {
  private index: LookupIndex | undefined
  private readonly encoded = new Map<string, EncodedAnswer>()

  constructor (private readonly regions: ClientRegions) {}

  /**
   * Replaces the index after a change of the configuration or the members.
   * @param index the new one
   */
  update (index: LookupIndex): void {
    this.index = index
    this.encoded.clear()
  }

  /**
   * Answers one look-up.
   * @param request the caller's request
   * @param response its response
   */
  handle (request: IncomingMessage, response: ServerResponse): void {
    const service = findService(request.url ?? '')
    const answer = service === undefined ? undefined : this.find(service, this.regions.find(request))
    if (answer === undefined) {
      answerProblem(response, this.createError(service), Outcome.NotRun, randomUUID())
      return
    }
    response.writeHead(OK_STATUS, answer.headers)
    response.end(answer.body)
  }

  private find (service: string, region: string): EncodedAnswer | undefined {
    const name = `${service}/${region}`
    const known = this.encoded.get(name)
    if (known !== undefined) return known
    const answer = this.index?.find(service, region)
    if (answer === undefined) return undefined
    const body = Buffer.from(JSON.stringify(answer))
    const headers = {
      'Content-Type': 'application/json',
      'Cache-Control': `max-age=${Math.floor(answer.cacheForMs / MS_PER_SECOND)}`,
      'Content-Length': body.length
    }
    const encoded = { body, headers }
    this.encoded.set(name, encoded)
    return encoded
  }

  private createError (service: string | undefined): StepError {
    const step = 'look-up'
    if (service === undefined) return new StepError({ code: ErrorCode.Invalid, step, peer: 'local', message: 'expected ?service=NAME' })
    if (this.index === undefined) return new StepError({ code: ErrorCode.Unavailable, step, peer: 'local', message: 'no configuration is in force yet' })
    return new StepError({ code: ErrorCode.NotFound, step, peer: 'local', message: `no such service: ${service}` })
  }
}

function findService (url: string): string | undefined {
  const plain = PLAIN_QUERY.exec(url)
  if (plain !== null && url.indexOf('?') === plain.index) return plain[1]
  const start = url.indexOf('?')
  if (start === -1) return undefined
  return new URLSearchParams(url.slice(start + 1)).get('service') ?? undefined
}
