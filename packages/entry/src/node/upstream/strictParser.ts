/**
 * Makes http-parser-js as strict as the server that forwards the responses. By itself, the library
 * skips malformed header fields, clears the highest bit of each byte in a head, and takes an invalid
 * chunk size for the last chunk.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http'
import { HTTPParser } from 'http-parser-js'

/** The parser's internal state, which the library's types do not declare. */
export interface ParserInternals {
  state: string
  /** The beginning of a line whose end has not arrived yet. */
  line: string
  isChunked: boolean
  body_bytes: number | null
  consumeLine(): string | undefined
  parseHeader(line: string, fields: string[]): void
  BODY_CHUNKHEAD(): void
}

/** A size in hexadecimal digits, with or without extensions. */
const CHUNK_SIZE_LINE = /^([0-9a-f]{1,8})[ \t]*(;.*)?$/i
const RADIX = 16

// The default clears the highest bit, which turns valid text into other characters, also into line breaks.
HTTPParser.encoding = 'latin1'

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

/** A parser that throws on responses that are invalid, or that Node.js could not write. */
export class StrictParser {
  readonly parser = new HTTPParser(HTTPParser.RESPONSE)
  readonly internals = this.parser as unknown as ParserInternals

  constructor () {
    const { internals } = this
    internals.parseHeader = parseField
    internals.BODY_CHUNKHEAD = () => {
      const line = internals.consumeLine()
      if (line === undefined) return
      const [, size] = CHUNK_SIZE_LINE.exec(line) ?? []
      if (size === undefined) throw new Error('invalid chunk size')
      internals.body_bytes = Number.parseInt(size, RADIX)
      internals.state = internals.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
    }
  }
}
