/**
 * Finds the end of a request's head and checks it strictly, before a server parses it. Servers
 * differ in what they tolerate: some releases of Node.js take a bare line feed for the end of a
 * head, or a space before a colon, and what one program reads as a body another one runs as a request.
 */
import { CARRIAGE_RETURN, COLON, IS_TARGET, IS_TOKEN, IS_VALUE, LINE_FEED, SPACE, TAB } from './characters.js'

/** What is known of a head. */
export enum HeadState {
  /** Its end has not arrived yet. */
  Incomplete = 'incomplete',
  Complete = 'complete',
  /** It violates the protocol, or could be read in two ways. */
  Malformed = 'malformed',
  /** It has a body in a coding other than chunks. */
  UnknownCoding = 'unknown-coding',
  TooLong = 'too-long'
}

/** How the end of a request's body is found. */
export enum BodyFraming {
  None = 'none',
  Length = 'length',
  Chunked = 'chunked'
}

/** Fields that delimit the message or name its recipient, by the length of their names. */
const CHECKED_NAMES: ReadonlyMap<number, string> = new Map([[4, 'host'], [14, 'content-length'], [17, 'transfer-encoding']])
/** What Node.js keeps of a request, and of each of its fields beside the characters. */
const REQUEST_BYTES = 2_000
const FIELD_BYTES = 200
const CHARACTER_BYTES = 2
const CONTENT_LENGTH = /^\d{1,15}$/
const CHUNKED = 'chunked'
const HTTP_1_1 = 'HTTP/1.1'
const CONNECT = 'CONNECT'

function readText (bytes: Uint8Array, start: number, end: number): string {
  let text = ''
  for (let index = start; index < end; index++) text += String.fromCharCode(bytes[index]!)
  return text
}

function isBlank (byte: number | undefined): boolean {
  return byte === SPACE || byte === TAB
}

/** @returns the position behind the bytes of a class */
function findEndOf (table: Uint8Array, bytes: Uint8Array, start: number, end: number): number {
  let index = start
  while (index < end && table[bytes[index]!] === 1) index++
  return index
}

/** Scans one head, of which more arrives from time to time. */
export class HeadScanner {
  private lineStart = 0
  private searchedUntil = 0
  private isOver11 = false
  private method = ''
  private hasRequestLine = false
  private hosts = 0
  private lengths = 0
  private codings: string[] = []
  private fields = 0
  private bodyLength = 0

  /** @returns where the request line begins: empty lines may precede it */
  start = 0

  /** @returns the length of the head, with what precedes it, once it is complete */
  get end (): number {
    return this.lineStart
  }

  /** @returns whether the request asks for a tunnel, so that what follows is no request */
  get isTunnel (): boolean {
    return this.method === CONNECT
  }

  /** @returns what it takes in memory once it is parsed, estimated, in bytes */
  get memoryBytes (): number {
    return REQUEST_BYTES + this.fields * FIELD_BYTES + this.end * CHARACTER_BYTES
  }

  /** @returns how its body is delimited, once the head is complete */
  get framing (): BodyFraming {
    if (this.codings.length > 0) return BodyFraming.Chunked
    return this.bodyLength > 0 ? BodyFraming.Length : BodyFraming.None
  }

  /** @returns the length of its body in bytes, if that is stated */
  get contentLength (): number {
    return this.bodyLength
  }

  /**
   * @param bytes all that has arrived, from the first byte of the head on
   * @param maxBytes limit on the length of the head
   * @returns what is known now
   */
  read (bytes: Uint8Array, maxBytes: number): HeadState {
    for (;;) {
      const lineFeed = bytes.indexOf(LINE_FEED, this.searchedUntil)
      if ((lineFeed < 0 ? bytes.length : lineFeed) > maxBytes) return HeadState.TooLong
      if (lineFeed < 0) {
        this.searchedUntil = bytes.length
        return HeadState.Incomplete
      }
      const lineEnd = lineFeed - 1
      if (lineEnd < this.lineStart || bytes[lineEnd] !== CARRIAGE_RETURN) return HeadState.Malformed
      const { lineStart } = this
      this.lineStart = this.searchedUntil = lineFeed + 1
      if (lineStart < lineEnd) {
        const isValid = this.hasRequestLine ? this.readField(bytes, lineStart, lineEnd) : this.readRequestLine(bytes, lineStart, lineEnd)
        if (!isValid) return HeadState.Malformed
      } else if (this.hasRequestLine) return this.checkFraming()
      else this.start = this.lineStart
    }
  }

  private readRequestLine (bytes: Uint8Array, start: number, end: number): boolean {
    this.hasRequestLine = true
    const methodEnd = findEndOf(IS_TOKEN, bytes, start, end)
    if (methodEnd === start || bytes[methodEnd] !== SPACE) return false
    this.method = readText(bytes, start, methodEnd)
    const targetEnd = findEndOf(IS_TARGET, bytes, methodEnd + 1, end)
    if (targetEnd === methodEnd + 1 || bytes[targetEnd] !== SPACE) return false
    if (findEndOf(IS_TARGET, bytes, targetEnd + 1, end) !== end) return false
    this.isOver11 = readText(bytes, targetEnd + 1, end) === HTTP_1_1
    return true
  }

  private readField (bytes: Uint8Array, start: number, end: number): boolean {
    this.fields++
    const nameEnd = findEndOf(IS_TOKEN, bytes, start, end)
    if (nameEnd === start || bytes[nameEnd] !== COLON) return false
    if (findEndOf(IS_VALUE, bytes, nameEnd + 1, end) !== end) return false
    const checkedName = CHECKED_NAMES.get(nameEnd - start)
    if (checkedName === undefined || readText(bytes, start, nameEnd).toLowerCase() !== checkedName) return true
    let valueStart = nameEnd + 1
    let valueEnd = end
    while (valueStart < valueEnd && isBlank(bytes[valueStart])) valueStart++
    while (valueEnd > valueStart && isBlank(bytes[valueEnd - 1])) valueEnd--
    return this.readCheckedField(checkedName, readText(bytes, valueStart, valueEnd))
  }

  private readCheckedField (name: string, value: string): boolean {
    if (name === 'host') return ++this.hosts === 1
    if (name === 'transfer-encoding') return this.codings.push(value.toLowerCase()) === 1
    this.bodyLength = Number(value)
    return ++this.lengths === 1 && CONTENT_LENGTH.test(value)
  }

  private checkFraming (): HeadState {
    if (this.isOver11 && this.hosts === 0) return HeadState.Malformed
    const [coding] = this.codings
    if (coding === undefined || (coding === CHUNKED && this.isOver11 && this.lengths === 0)) return HeadState.Complete
    const isLastChunked = coding.split(',').at(-1)?.trim() === CHUNKED
    return isLastChunked && this.isOver11 && this.lengths === 0 ? HeadState.UnknownCoding : HeadState.Malformed
  }
}
