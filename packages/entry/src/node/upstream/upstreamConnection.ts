/**
 * One connection to a worker: one request at a time, each answer matched to its
 * request by the id that the worker echoes. Bytes that no request waits for end
 * the connection, so that they can never reach a caller.
 */
import type { Socket } from 'node:net'
import type { Instant } from '@umberspar/base/common/clock'
import { AnswerParser, type AnswerHead } from './answerParser.js'
import { getHeader } from './rawHeaders.js'

/** How an exchange failed. */
export enum ExchangeFailure {
  /** The worker ended or reset the connection before its answer was whole. */
  Broken = 'broken',
  /** What came is no answer, or not an answer to this request. */
  Garbled = 'garbled',
  /** This VM gave the request up. */
  Cancelled = 'cancelled'
}

/** Who waits for the answer. */
export interface ExchangeListener {
  onHead(head: AnswerHead): void
  onBody(chunk: Buffer): void
  onEnd(): void
  onFailure(failure: ExchangeFailure): void
}

/** What is sent. */
export interface UpstreamRequest {
  /** The head as it goes on the wire, with the empty line. */
  readonly head: string
  readonly body: readonly Buffer[]
  /** The id that the answer has to echo; undefined if the caller gave none. */
  readonly requestId: string | undefined
  readonly isHead: boolean
}

/** How the answers of a worker carry the request's id. */
export interface EchoRule {
  /** The field's name, in lower case. */
  readonly idHeader: string
}

/** Idle connections whose worker told no time-out are used for this long, in milliseconds. */
const UNTOLD_IDLE_MS = 4_000
/** Before the worker's own time-out a connection is given up this early, in milliseconds: a request must not cross the close. */
const IDLE_MARGIN_MS = 1_500
const MS_PER_SECOND = 1_000
const TIMEOUT_PARAMETER = /timeout\s*=\s*(\d+)/i
/** Answers to other requests that are passed over before the connection is given up. */
const MOST_PASSED_OVER = 3

interface Exchange {
  readonly request: UpstreamRequest
  readonly listener: ExchangeListener
}

/** A connection that is open. */
export class UpstreamConnection {
  private readonly parser: AnswerParser
  private exchange: Exchange | undefined
  private isForeign = false
  private passedOver = 0
  private isReusable = true
  private idleMs = UNTOLD_IDLE_MS
  /** Since when the connection has been idle; undefined before its first answer. */
  idleSince: Instant | undefined

  /**
   * @param socket connected
   * @param rule how answers are matched
   * @param onIdle called when the connection may carry another request
   * @param onClosed called once, when it is gone
   */
  constructor (
    private readonly socket: Socket,
    private readonly rule: EchoRule,
    private readonly onIdle: (connection: UpstreamConnection) => void,
    private readonly onClosed: (connection: UpstreamConnection) => void
  ) {
    this.parser = new AnswerParser({
      onHead: (head) => this.handleHead(head),
      onBody: (chunk) => { if (!this.isForeign) this.exchange?.listener.onBody(chunk) },
      onEnd: () => { this.handleEnd() }
    })
    socket.on('data', (chunk) => { this.handleData(chunk) })
    socket.on('end', () => { this.handleSocketEnd() })
    socket.on('error', () => { this.fail(ExchangeFailure.Broken) })
    socket.on('close', () => {
      this.fail(ExchangeFailure.Broken)
      this.onClosed(this)
    })
  }

  /** @returns whether a request can be sent now */
  get isUsable (): boolean {
    return this.isReusable && this.exchange === undefined && !this.socket.destroyed && this.socket.writable
  }

  /** @returns how long it may stay idle from the last answer on, in milliseconds */
  get idleSpanMs (): number {
    return this.idleMs
  }

  /**
   * Sends a request; from here on it may have run.
   * @param request what to send
   * @param listener who is told, once, how it ended
   */
  send (request: UpstreamRequest, listener: ExchangeListener): void {
    this.exchange = { request, listener }
    this.socket.cork()
    this.socket.write(request.head, 'latin1')
    for (const chunk of request.body) this.socket.write(chunk)
    this.socket.uncork()
  }

  /** Ends the connection, which tells the worker to stop work on the request. */
  cancel (): void {
    this.fail(ExchangeFailure.Cancelled)
  }

  /** Stops reading for as long as the caller takes no more. */
  pause (): void {
    this.socket.pause()
  }

  /** Reads on. */
  resume (): void {
    this.socket.resume()
  }

  /** Gives the connection up; whoever waits is told that it broke. */
  close (): void {
    this.fail(ExchangeFailure.Broken)
  }

  private handleData (chunk: Buffer): void {
    if (this.exchange === undefined) {
      // Nobody asked for these bytes; the next caller on this connection would get them.
      this.socket.destroy()
      return
    }
    const error = this.parser.read(chunk)
    if (error !== undefined) {
      this.fail(ExchangeFailure.Garbled)
      return
    }
    if (this.exchange !== undefined || this.socket.destroyed) return
    if (!this.parser.isBetweenAnswers || !this.isReusable) this.socket.destroy()
    else this.onIdle(this)
  }

  private handleHead (head: AnswerHead): boolean {
    const exchange = this.exchange
    if (exchange === undefined) throw new Error('an answer that no request waits for')
    const id = getHeader(head.rawHeaders, this.rule.idHeader)
    this.isForeign = id !== undefined && id !== exchange.request.requestId
    if (this.isForeign && ++this.passedOver > MOST_PASSED_OVER) throw new Error('too many answers to other requests')
    if (!this.isForeign) {
      this.updateReuse(head)
      exchange.listener.onHead(head)
    }
    return exchange.request.isHead
  }

  private updateReuse (head: AnswerHead): void {
    if (!head.keepsAlive || head.isUnframed) this.isReusable = false
    const told = TIMEOUT_PARAMETER.exec(getHeader(head.rawHeaders, 'keep-alive') ?? '')
    if (told !== null) this.idleMs = Math.max(0, Number(told[1]) * MS_PER_SECOND - IDLE_MARGIN_MS)
  }

  private handleEnd (): void {
    if (this.isForeign) {
      this.isForeign = false
      return
    }
    const exchange = this.exchange
    this.exchange = undefined
    // A worker that was passed over once may send yet another answer late.
    if (this.passedOver > 0) this.isReusable = false
    exchange?.listener.onEnd()
  }

  private handleSocketEnd (): void {
    this.isReusable = false
    if (this.exchange === undefined || this.parser.isBetweenAnswers) {
      this.fail(ExchangeFailure.Broken)
      return
    }
    this.checkReset(() => {
      if (this.parser.finish() !== undefined) this.fail(ExchangeFailure.Broken)
      this.socket.destroy()
    })
  }

  /**
   * Tells an ordered end from a reset. libuv reports a reset as an ordered end if it
   * comes together with the last bytes; an answer that ends with its connection and
   * was cut short would then look whole to its caller. A write, even of nothing,
   * fails on a connection that was reset and on no other.
   */
  private checkReset (onOrdered: () => void): void {
    this.socket.write('', (error) => {
      if (error === null || error === undefined) onOrdered()
      else this.fail(ExchangeFailure.Broken)
    })
  }

  private fail (failure: ExchangeFailure): void {
    const exchange = this.exchange
    this.exchange = undefined
    this.isReusable = false
    this.socket.destroy()
    exchange?.listener.onFailure(failure)
  }
}
