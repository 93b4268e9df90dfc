/**
 * Reads the answers on one connection to a worker, by http-parser-js. Node's own
 * client and undici end a connection at an answer that they did not ask for; this
 * parser hands every answer on, so that a late answer to an earlier request can be
 * passed over and the caller still gets its own.
 */
import { HTTPParser } from 'http-parser-js'

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number
  /** Names and values in turn, as received. */
  readonly rawHeaders: readonly string[]
  /** Whether the answer ends with its connection, having neither length nor chunks. */
  readonly isUnframed: boolean
  /** Whether the worker keeps the connection open afterwards. */
  readonly keepsAlive: boolean
}

/** What a parser tells its connection. */
export interface AnswerListener {
  /** @returns whether the answer has no body whatever its head says, as one to HEAD */
  onHead(head: AnswerHead): boolean
  onBody(chunk: Buffer): void
  onEnd(): void
}

/** The parser's inner state, which the library's types hide. */
interface ParserInternals {
  state: string
  line: string
  isChunked: boolean
  body_bytes: number | null
  consumeLine(): string | undefined
  BODY_CHUNKHEAD: () => void
}

/** A size in hexadecimal digits, with or without extensions. */
const CHUNK_HEAD = /^[0-9a-f]{1,8}[ \t]*(;.*)?$/i
const LENGTH = /^\d{1,15}$/
const SKIP_BODY = 1
const READ_BODY = 0
const FIRST_FINAL_STATUS = 200

/**
 * Makes a parser refuse what the library reads leniently. It takes a chunk size
 * that is no number for the last chunk: a spoilt answer would look whole to its caller.
 */
function createStrictParser (): InstanceType<typeof HTTPParser> {
  const parser = new HTTPParser(HTTPParser.RESPONSE)
  const internals = parser as unknown as ParserInternals
  internals.BODY_CHUNKHEAD = () => {
    const line = internals.consumeLine()
    if (line === undefined) return
    if (!CHUNK_HEAD.test(line)) throw new Error('a chunk begins with something else than its size')
    internals.body_bytes = Number.parseInt(line, 16)
    internals.state = internals.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
  return parser
}

/** Whether the fields that frame the body contradict each other or say nothing that can be read. */
function checkFraming (rawHeaders: readonly string[]): void {
  let lengths = 0
  let codings = 0
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    const value = rawHeaders[index + 1]!
    if (name === 'content-length') {
      lengths++
      if (!LENGTH.test(value)) throw new Error('the length is no number')
    }
    if (name === 'transfer-encoding') {
      codings++
      if (value.toLowerCase() !== 'chunked') throw new Error('the transfer coding is unknown')
    }
  }
  if (lengths + codings > 1) throw new Error('the framing is ambiguous')
}

/** Reads one connection's answers, one after the other. */
export class AnswerParser {
  private readonly parser = createStrictParser()
  private isInterim = false

  /** @param listener who is told; a throw of its ends the reading with an error */
  constructor (private readonly listener: AnswerListener) {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.handleHead(info)
    this.parser[HTTPParser.kOnBody] = (chunk) => { this.listener.onBody(chunk) }
    this.parser[HTTPParser.kOnMessageComplete] = () => {
      if (this.isInterim) this.isInterim = false
      else this.listener.onEnd()
    }
  }

  /** @returns whether an answer has begun and not ended, were it by a byte */
  get isBetweenAnswers (): boolean {
    const internals = this.parser as unknown as ParserInternals
    return internals.state === 'RESPONSE_LINE' && internals.line === ''
  }

  /**
   * @param chunk bytes as received
   * @returns what is wrong with them, if anything
   */
  read (chunk: Buffer): Error | undefined {
    try {
      const result = this.parser.execute(chunk)
      return result instanceof Error ? result : undefined
    } catch (thrown) {
      // The library passes on what a listener threw: an answer that it refused.
      return thrown instanceof Error ? thrown : new Error(String(thrown))
    }
  }

  /**
   * Notes that the worker ended the connection in order.
   * @returns an error if an answer is cut short by it
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
    const isUnframed = internals.body_bytes === null && !internals.isChunked
    const head = { status: info.statusCode, rawHeaders: info.headers, isUnframed, keepsAlive: info.shouldKeepAlive }
    return this.listener.onHead(head) ? SKIP_BODY : READ_BODY
  }
}
