/**
 * Parses the responses on one connection to a worker, with http-parser-js. Node's own
 * client and undici close a connection on an unexpected response. This parser reports
 * every response, so that a late response to an earlier request can be skipped and the
 * caller still gets the response to its own request.
 */
import { validateHeaderValue } from 'node:http'
import { HTTPParser } from 'http-parser-js'
import { StrictParser } from './strictParser.js'

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

/** The first line of a response. */
interface StatusLine {
  readonly versionMajor: number
  readonly statusCode: number
  readonly statusMessage: string
}

const CONTENT_LENGTH = /^\d{1,15}$/
const SKIP_BODY = 1
const READ_BODY = 0
const MIN_STATUS = 100
/** Never valid, as no request asks for another protocol. */
const SWITCHING_PROTOCOLS_STATUS = 101
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599
const HTTP_MAJOR_VERSION = 1

/** Throws if the header fields that delimit the body are invalid or contradict each other, or if an interim response has one. */
function checkFraming (rawHeaders: readonly string[], isInterim: boolean): void {
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
  if (lengths + transferCodings > 0 && isInterim) throw new Error('interim response with a body')
  if (lengths + transferCodings > 1) throw new Error('ambiguous body length')
}

/** Throws if the first line of a response is invalid. */
function checkStatusLine ({ versionMajor, statusCode, statusMessage }: StatusLine): void {
  if (versionMajor !== HTTP_MAJOR_VERSION) throw new Error('unknown protocol version')
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS || statusCode === SWITCHING_PROTOCOLS_STATUS) throw new Error('invalid status')
  validateHeaderValue('reason phrase', statusMessage)
}

/** Parses the consecutive responses of one connection. */
export class ResponseParser {
  private readonly strictParser = new StrictParser()
  private isInterim = false

  /** @param listener receives the responses; errors that it throws are returned by {@link ResponseParser.read} and {@link ResponseParser.finish} */
  constructor (private readonly listener: ResponseListener) {
    const { parser } = this.strictParser
    parser[HTTPParser.kOnHeadersComplete] = (info) => this.handleHead(info)
    parser[HTTPParser.kOnBody] = (chunk) => { this.listener.onBody(chunk) }
    parser[HTTPParser.kOnMessageComplete] = () => {
      if (this.isInterim) {
        this.isInterim = false
        return
      }
      this.strictParser.resetLimits()
      this.listener.onEnd()
    }
  }

  /** @returns whether no response is partially received, not even its first byte */
  get isBetweenResponses (): boolean {
    const { internals } = this.strictParser
    return internals.state === 'RESPONSE_LINE' && internals.line === ''
  }

  /**
   * Parses received bytes.
   * @param chunk bytes as received
   * @returns an error if they are invalid
   */
  read (chunk: Buffer): Error | undefined {
    return this.runParser(() => this.strictParser.parser.execute(chunk))
  }

  /**
   * Handles an orderly end of the connection by the worker.
   * @returns an error if it truncates a response
   */
  finish (): Error | undefined {
    return this.runParser(() => this.strictParser.parser.finish())
  }

  /** @returns the error that parsing returned or threw; the library rethrows errors of the listener, which rejected the response */
  private runParser (parse: () => unknown): Error | undefined {
    try {
      const result = parse()
      return result instanceof Error ? result : undefined
    } catch (thrown) {
      return thrown instanceof Error ? thrown : new Error(String(thrown))
    }
  }

  private handleHead (info: StatusLine & { headers: string[], shouldKeepAlive: boolean }): number {
    checkStatusLine(info)
    const isInterim = info.statusCode < MIN_FINAL_STATUS
    checkFraming(info.headers, isInterim)
    if (isInterim) {
      this.isInterim = true
      return SKIP_BODY
    }
    const { internals } = this.strictParser
    const isCloseDelimited = internals.body_bytes === null && !internals.isChunked
    const head = { status: info.statusCode, rawHeaders: info.headers, isCloseDelimited, keepsAlive: info.shouldKeepAlive }
    return this.listener.onHead(head) ? SKIP_BODY : READ_BODY
  }
}
