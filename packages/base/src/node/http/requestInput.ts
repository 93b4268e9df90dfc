/**
 * What arrives on one connection of an HTTP server, before the server parses it. Requests are checked
 * and passed on one at a time, and only while the connection may have more of them in flight; what
 * follows stays in the socket.
 */
import type { Socket } from 'node:net'
import type { Instant } from '../../common/clock.js'
import type { IClosable } from '../../common/closing.js'
import { createDeadline, type Deadline, hasPassed } from '../../common/deadline.js'
import { ChunkedDecoder, ChunkedState } from '../../common/http/chunkedBody.js'
import { BodyFraming, HeadScanner, HeadState } from '../../common/http/requestHead.js'
import type { TimedConnection } from './connectionTimeouts.js'
import { InputFault, type InputOwner, type InputTurns } from './inputOwner.js'
import { MAX_READ_BYTES, type WaitingInput } from './inputScheduler.js'
import { isParserPaused } from './serverSocket.js'

/** Which part of a request is expected next. */
enum InputPart {
  Head = 'head',
  Body = 'body',
  ChunkedBody = 'chunked-body',
  /** What arrives is discarded. */
  Discarded = 'discarded'
}

const PART_BY_FRAMING: Readonly<Record<BodyFraming, InputPart>> = {
  [BodyFraming.None]: InputPart.Head,
  [BodyFraming.Length]: InputPart.Body,
  [BodyFraming.Chunked]: InputPart.ChunkedBody
}

type DataListener = (chunk: Buffer) => void

/** A connection isn't read while more than this waits: the end of the connection behind a few pipelined requests is noticed. */
const MAX_WAITING_BYTES = 16_384
/** Waiting bytes that use a smaller part of the block that was read are copied. */
const MIN_USED_PART = 0.5
/** Of a refused connection, this much more is read, so that its client reads the response before a reset. */
const MAX_DISCARDED_BYTES = 262_144
/** How long a refused connection may take to close, for the same reason. */
const LINGER_MS = 1_000
const HEXADECIMAL = 16
const NOTHING = Buffer.alloc(0)
const CHUNK_END = Buffer.from('\r\n')
const LAST_CHUNK = Buffer.from('0\r\n\r\n')

const FAULT_BY_HEAD: Readonly<Partial<Record<HeadState, InputFault>>> = {
  [HeadState.Malformed]: InputFault.Malformed,
  [HeadState.UnknownCoding]: InputFault.UnknownCoding,
  [HeadState.TooLong]: InputFault.TooLong
}

/** The input of one connection. */
export class RequestInput implements IClosable, WaitingInput, TimedConnection {
  private readonly listeners: readonly DataListener[]
  private waiting: Buffer = NOTHING
  private scanner = new HeadScanner()
  private headState = HeadState.Incomplete
  /** Whether what waits is the beginning of a head. */
  private isHeadPartial = false
  private decoder = new ChunkedDecoder()
  private bodyLeft = 0
  private isBodySkipped = false
  private discardedBytes = 0
  private part = InputPart.Head
  private isResuming = false
  /** Whether this object has paused the socket; the server may have as well. */
  private isPaused = false
  /** Whether all connections together have read much lately. */
  private isPaced = false
  private headDeadline: Deadline | undefined
  private lingerDeadline: Deadline | undefined
  /** When the oldest bytes that wait for requests before them may have arrived; undefined if none wait. */
  waitingSince: Instant | undefined
  /** How many requests were passed on since nothing waited. */
  passedBehindOthers = 0

  /**
   * Takes the place of the server's reader.
   * @param socket a new connection, to which the server has added its listeners
   * @param owner the connection
   * @param turns is shared by all connections
   */
  constructor (private readonly socket: Socket, private readonly owner: InputOwner, private readonly turns: InputTurns) {
    this.listeners = socket.listeners('data') as DataListener[]
    for (const listener of this.listeners) socket.removeListener('data', listener)
    socket.on('data', (chunk: Buffer) => { this.accept(chunk) })
    socket.on('resume', () => { this.handleResume() })
    socket.on('drain', () => { this.resume() })
  }

  /** @returns whether nothing waits to be parsed */
  get isEmpty (): boolean {
    return this.waiting.length + this.socket.readableLength === 0
  }

  /** @returns what waits to be parsed takes in memory, in bytes; Node.js reads one more block of a paused socket */
  get waitingBytes (): number {
    return this.waiting.length + (this.isPaused ? MAX_READ_BYTES : this.socket.readableLength)
  }

  /** Passes on what may be passed on now. */
  resume (): void {
    if (this.isResuming) return
    this.isResuming = true
    let isMore = true
    while (isMore && this.mayResume()) {
      isMore = this.deliverNext()
      this.turns.scheduler.recordParsing()
    }
    this.isResuming = false
    this.updateReading()
  }

  /** Passes on no more data of the body that is being read, as nothing reads it; the body still ends where it ends. */
  stopBody (): void {
    this.isBodySkipped = true
  }

  /** Discards what waits and what arrives from now on. */
  stop (): void {
    this.part = InputPart.Discarded
    this.waiting = NOTHING
    this.waitingSince = undefined
    this.updateReading()
  }

  /** Discards all input, and closes the connection soon unless its client does. */
  closeSoon (): void {
    this.stop()
    this.lingerDeadline = createDeadline(this.turns.timeouts.clock.now(), LINGER_MS)
    this.turns.timeouts.add(this)
  }

  checkDeadline (now: Instant): boolean {
    if (this.lingerDeadline !== undefined && hasPassed(this.lingerDeadline, now)) this.socket.destroy()
    else if (this.headDeadline !== undefined && hasPassed(this.headDeadline, now)) this.refuse(InputFault.TooSlow, false)
    return this.lingerDeadline !== undefined || this.headDeadline !== undefined
  }

  /** Call when the connection has closed. */
  close (): void {
    this.part = InputPart.Discarded
    this.waiting = NOTHING
    this.headDeadline = this.lingerDeadline = undefined
    this.turns.scheduler.remove(this)
    this.turns.timeouts.remove(this)
  }

  resumeReading (): void {
    this.isPaced = false
    this.updateReading()
  }

  private accept (chunk: Buffer): void {
    this.isPaced = !this.turns.scheduler.recordRead(this, chunk.length)
    if (this.part === InputPart.Discarded) {
      this.discardedBytes += chunk.length
      return this.updateReading()
    }
    if (this.waiting.length > 0 && this.headState !== HeadState.Incomplete) this.waitingSince ??= this.owner.getArrival()
    this.waiting = this.waiting.length === 0 ? chunk : Buffer.concat([this.waiting, chunk])
    this.resume()
  }

  private mayResume (): boolean {
    if (this.waiting.length === 0 || this.part === InputPart.Discarded || isParserPaused(this.socket) || !this.socket.writable) return false
    if (this.turns.scheduler.mayParse()) return true
    this.waitingSince ??= this.owner.getArrival()
    this.turns.scheduler.add(this)
    return false
  }

  /** @returns whether something was passed on */
  private deliverNext (): boolean {
    if (this.part === InputPart.Head) return this.deliverHead()
    if (this.part === InputPart.Body) return this.deliverBody()
    return this.deliverChunks()
  }

  private deliverHead (): boolean {
    const { scanner, owner, waiting } = this
    if (this.headState !== HeadState.Complete) {
      this.headState = scanner.read(waiting, owner.maxHeadBytes)
      this.isHeadPartial = this.headState === HeadState.Incomplete
      const fault = FAULT_BY_HEAD[this.headState]
      if (fault !== undefined) this.refuse(fault, false)
      if (this.headState !== HeadState.Complete) {
        this.waitingSince = undefined
        return false
      }
    }
    // The server's parser can't be used while the server waits for the socket to drain.
    if (this.socket.writableNeedDrain || !owner.mayPassRequest(scanner.memoryBytes)) {
      this.waitingSince ??= owner.getArrival()
      return false
    }
    if (this.waitingSince !== undefined) this.passedBehindOthers++
    this.scanner = new HeadScanner()
    this.headState = HeadState.Incomplete
    this.waiting = waiting.subarray(scanner.end)
    this.startBody(scanner)
    this.write(waiting.subarray(scanner.start, scanner.end))
    // The server has given the connection up as one of requests.
    if (scanner.isTunnel) this.stop()
    return true
  }

  private startBody ({ framing, contentLength }: HeadScanner): void {
    this.bodyLeft = contentLength
    this.isBodySkipped = false
    this.part = PART_BY_FRAMING[framing]
    if (framing === BodyFraming.Chunked) this.decoder = new ChunkedDecoder()
  }

  private deliverBody (): boolean {
    const { waiting } = this
    const length = Math.min(this.bodyLeft, waiting.length)
    this.bodyLeft -= length
    this.waiting = waiting.subarray(length)
    if (this.bodyLeft === 0) this.part = InputPart.Head
    this.write(waiting.subarray(0, length))
    return true
  }

  private deliverChunks (): boolean {
    const { decoder, waiting } = this
    const state = decoder.decode(waiting, 0)
    if (state === ChunkedState.Malformed || state === ChunkedState.TooLong) {
      this.refuse(state === ChunkedState.TooLong ? InputFault.TooLong : InputFault.Malformed, true)
      return false
    }
    this.waiting = waiting.subarray(decoder.position)
    if (decoder.dataEnd > decoder.dataStart && !this.isBodySkipped) this.writeChunk(waiting.subarray(decoder.dataStart, decoder.dataEnd))
    if (state === ChunkedState.Complete) {
      this.part = InputPart.Head
      this.write(LAST_CHUNK)
    }
    return true
  }

  private writeChunk (data: Buffer): void {
    for (const part of [Buffer.from(`${data.length.toString(HEXADECIMAL)}\r\n`), data, CHUNK_END]) this.write(part)
  }

  private write (bytes: Buffer): void {
    for (const listener of this.listeners) listener.call(this.socket, bytes)
  }

  private handleResume (): void {
    if (this.isPaused) this.socket.pause()
    this.resume()
  }

  private refuse (fault: InputFault, isBody: boolean): void {
    this.headDeadline = undefined
    this.stop()
    this.owner.refuseInput(fault, isBody)
  }

  /** Stops or starts reading, by what waits. */
  private updateReading (): void {
    this.releaseUnused()
    const { waiting, socket } = this
    if (waiting.length === 0) {
      this.waitingSince = undefined
      this.passedBehindOthers = 0
    }
    this.updateHeadDeadline(this.isHeadPartial && waiting.length > 0)
    const hasEnough = this.part === InputPart.Discarded ? this.lingerDeadline !== undefined && this.discardedBytes > MAX_DISCARDED_BYTES : waiting.length > MAX_WAITING_BYTES && !this.isHeadPartial
    const shouldPause = this.isPaced || hasEnough
    if (shouldPause !== this.isPaused) {
      this.isPaused = shouldPause
      if (shouldPause) socket.pause()
      else if (!isParserPaused(socket)) socket.resume()
    }
    this.owner.handleWaitingBytes()
  }

  private releaseUnused (): void {
    const { waiting } = this
    if (waiting.length === 0) this.waiting = NOTHING
    else if (waiting.length < waiting.buffer.byteLength * MIN_USED_PART) {
      this.waiting = Buffer.allocUnsafeSlow(waiting.length)
      waiting.copy(this.waiting)
    }
  }

  private updateHeadDeadline (isExpected: boolean): void {
    if (!isExpected) this.headDeadline = undefined
    else if (this.headDeadline === undefined) {
      const { timeouts } = this.turns
      this.headDeadline = createDeadline(timeouts.clock.now(), this.owner.headTimeoutMs)
      timeouts.add(this)
    }
  }
}
