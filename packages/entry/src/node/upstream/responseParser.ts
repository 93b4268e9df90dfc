/**
 * Parses the responses on one connection to a worker, with http-parser-js. Node's own
 * client and undici close a connection on an unexpected response. This parser reports
 * every response, so that a late response to an earlier request can be skipped and the
 * caller still gets the response to its own request.
 */
import { HTTPParser } from 'http-parser-js'

/** The head of a response. */
export interface ResponseHead {
  readonly status: number
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[]
  /** Whether the end of the connection delimits the body, as the response has neither a length nor chunks. */
  readonly isCloseDelimited: boolean
  /** Whether the worker keeps the connection open afterwards. */
  readonly keepsAlive: boolean
}

/** Receives the parsed responses. */
export interface ResponseListener {
  /** @returns whether the response has no body regardless of its head, like a response to HEAD */
  onHead(head: ResponseHead): boolean
  onBody(chunk: Buffer): void
  onEnd(): void
}

/** The parser's internal state, which the library's types do not declare. */
interface ParserInternals {
  state: string
  line: string
  isChunked: boolean
  body_bytes: number | null
  consumeLine(): string | undefined
  BODY_CHUNKHEAD: () => void
}

/** A size in hexadecimal digits, with or without extensions. */
const CHUNK_SIZE_LINE = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i
const CONTENT_LENGTH = /^\d{1,15}$/
const SKIP_BODY = 1
const READ_BODY = 0
const FIRST_FINAL_STATUS = 200

/**
 * Creates a parser that rejects invalid chunk sizes. The library takes a chunk size that
 * is not a number for the last chunk, so that a corrupt response would look complete to its caller.
 */
function createStrictParser (): InstanceType<typeof HTTPParser> {
  const parser = new HTTPParser(HTTPParser.RESPONSE)
  const internals = parser as unknown as ParserInternals
  internals.BODY_CHUNKHEAD = () => {
    const line = internals.consumeLine()
    if (line === undefined) return
    if (!CHUNK_SIZE_LINE.test(line)) throw new Error('invalid chunk size')
    internals.body_bytes = Number.parseInt(line, 16)
    internals.state = internals.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
  return parser
}

/** Throws if the header fields that delimit the body are invalid or contradict each other. */
function checkFraming (rawHeaders: readonly string[]): void {
  let lengths = 0
  let transferCodings = 0
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    const value = rawHeaders[index + 1]!
    if (name === 'content-length') {
      lengths++
      if (!CONTENT_LENGTH.test(value)) throw new Error('Content-Length is not a number')
    }
    if (name === 'transfer-encoding') {
      transferCodings++
      if (value.toLowerCase() !== 'chunked') throw new Error('unknown transfer coding')
    }
  }
  if (lengths + transferCodings > 1) throw new Error('ambiguous body length')
}

/** Parses the consecutive responses of one connection. */
export class ResponseParser {
  private readonly parser = createStrictParser()
  private isInterim = false

  /** @param listener receives the responses; an error that it throws is returned by {@link ResponseParser.read} */
  constructor (private readonly listener: ResponseListener) {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.handleHead(info)
    this.parser[HTTPParser.kOnBody] = (chunk) => { this.listener.onBody(chunk) }
    this.parser[HTTPParser.kOnMessageComplete] = () => {
      if (this.isInterim) this.isInterim = false
      else this.listener.onEnd()
    }
  }

  /** @returns whether no response is partially received, not even its first byte */
  get isBetweenResponses (): boolean {
    const internals = this.parser as unknown as ParserInternals
    return internals.state === 'RESPONSE_LINE' && internals.line === ''
  }

  /**
   * Parses received bytes.
   * @param chunk bytes as received
   * @returns an error if they are invalid
   */
  read (chunk: Buffer): Error | undefined {
    try {
      const result = this.parser.execute(chunk)
      return result instanceof Error ? result : undefined
    } catch (thrown) {
      // The library rethrows errors of the listener, which rejected the response.
      return thrown instanceof Error ? thrown : new Error(String(thrown))
    }
  }

  /**
   * Handles an orderly end of the connection by the worker.
   * @returns an error if it truncates a response
   */
  finish (): Error | undefined {
    return this.parser.finish() ?? undefined
  }

  private handleHead (info: { statusCode: number, headers: string[], shouldKeepAlive: boolean }): number {
    if (info.statusCode < FIRST_FINAL_STATUS) {
      this.isInterim = true
      return SKIP_BODY
    }
    checkFraming(info.headers)
    const internals = this.parser as unknown as ParserInternals
    const isCloseDelimited = internals.body_bytes === null && !internals.isChunked
    const head = { status: info.statusCode, rawHeaders: info.headers, isCloseDelimited, keepsAlive: info.shouldKeepAlive }
    return this.listener.onHead(head) ? SKIP_BODY : READ_BODY
  }
}
