/**
 * Makes http-parser-js as strict as the server that forwards the responses. By itself, the library
 * takes a status of four digits for one of three, skips malformed header fields, clears the highest
 * bit of each byte in a head, takes an invalid chunk size for the last chunk, and buffers lines and
 * trailers of any length.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http'
import { HTTPParser } from 'http-parser-js'

/** The parser's internal state, which the library's types do not declare. */
export interface ParserInternals {
  state: string
  /** The beginning of a line whose end has not arrived yet. */
  line: string
  /** Position in the chunk that is being parsed. */
  offset: number
  isChunked: boolean
  body_bytes: number | null
  consumeLine(): string | undefined
  parseHeader(line: string, fields: string[]): void
  BODY_CHUNKHEAD(): void
}

/** Limit on the heads of a response together: the final one and all interim ones. */
const MAX_HEAD_BYTES = 65_536
/** Limit on the trailer fields of a response together. */
const MAX_TRAILER_BYTES = 16_384
/** Limit on the line before or after a chunk. */
const MAX_CHUNK_LINE_BYTES = 4_096
/** Limit on the chunk extensions of a response together. */
const MAX_CHUNK_EXTENSION_BYTES = 16_384

/** A status of three digits, with or without a reason phrase. */
const STATUS_LINE = /^HTTP\/\d\.\d \d{3}( .*)?$/
/** A size in hexadecimal digits, with or without extensions. */
const CHUNK_SIZE_LINE = /^([0-9a-f]{1,8})[ \t]*(;.*)?$/i
const RADIX = 16

// The default clears the highest bit, which turns valid text into other characters, also into line breaks.
HTTPParser.encoding = 'latin1'

const { consumeLine } = HTTPParser.prototype as unknown as ParserInternals

/** Counts what a worker sends beside the body, so that the memory for it is bounded. */
class FramingCounter {
  private headBytes = 0
  private trailerBytes = 0
  private lineBytes = 0
  private extensionBytes = 0

  /** Starts over for the next final response. */
  reset (): void {
    this.headBytes = 0
    this.trailerBytes = 0
    this.extensionBytes = 0
  }

  /**
   * Counts bytes of a line, or of a part of it.
   * @param state the parser's state
   * @param bytes number of bytes
   * @param isComplete whether the line is complete
   */
  addLine (state: string, bytes: number, isComplete: boolean): void {
    this.lineBytes += bytes
    if (state === 'BODY_CHUNKHEAD' || state === 'BODY_CHUNKEMPTYLINE') checkLimit('chunk line', this.lineBytes, MAX_CHUNK_LINE_BYTES)
    else if (state === 'BODY_CHUNKTRAILERS') checkLimit('trailer section', this.trailerBytes += bytes, MAX_TRAILER_BYTES)
    else checkLimit('head', this.headBytes += bytes, MAX_HEAD_BYTES)
    if (isComplete) this.lineBytes = 0
  }

  addExtension (bytes: number): void {
    checkLimit('chunk extensions', this.extensionBytes += bytes, MAX_CHUNK_EXTENSION_BYTES)
  }
}

function checkLimit (part: string, bytes: number, limit: number): void {
  if (bytes > limit) throw new Error(`${part} of more than ${limit} bytes`)
}

/** Removes spaces and tabs at both ends; a pattern for both would take quadratic time. */
function removeWhitespace (text: string): string {
  let start = 0
  let end = text.length
  while (start < end && isBlank(text, start)) start++
  while (end > start && isBlank(text, end - 1)) end--
  return text.slice(start, end)
}

function isBlank (text: string, index: number): boolean {
  return text[index] === ' ' || text[index] === '\t'
}

/** Adds a header field, or throws if Node.js would refuse to write it. */
function parseField (line: string, fields: string[]): void {
  const colon = line.indexOf(':')
  const name = line.slice(0, Math.max(0, colon))
  const value = removeWhitespace(line.slice(colon + 1))
  validateHeaderName(name)
  validateHeaderValue(name, value)
  fields.push(name, value)
}

/** A parser that throws on responses that are invalid, that Node.js could not write, or that are too long beside the body. */
export class StrictParser {
  readonly parser = new HTTPParser(HTTPParser.RESPONSE)
  readonly internals = this.parser as unknown as ParserInternals
  private readonly counter = new FramingCounter()

  constructor () {
    const { internals, counter } = this
    internals.consumeLine = () => {
      const { offset, state } = internals
      const line = consumeLine.call(this.parser)
      counter.addLine(state, internals.offset - offset, line !== undefined)
      // The library reads only the beginning of the line.
      if (state === 'RESPONSE_LINE' && line !== undefined && line !== '' && !STATUS_LINE.test(line)) throw new Error('invalid status line')
      return line
    }
    internals.parseHeader = parseField
    internals.BODY_CHUNKHEAD = () => {
      const line = internals.consumeLine()
      if (line === undefined) return
      const [, size, extension = ''] = CHUNK_SIZE_LINE.exec(line) ?? []
      if (size === undefined) throw new Error('invalid chunk size')
      counter.addExtension(extension.length)
      internals.body_bytes = Number.parseInt(size, RADIX)
      internals.state = internals.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
    }
  }

  /** Starts the limits over, at the end of a final response. */
  resetLimits (): void {
    this.counter.reset()
  }
}
