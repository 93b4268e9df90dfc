/**
 * A connection to a worker, with one request at a time. Each response is matched to its
 * request by the id that the worker echoes. Bytes that arrive without a pending request
 * close the connection, so that they can never reach a caller.
 */
import type { Socket } from 'node:net'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ResponseParser, type ResponseHead } from './responseParser.js'
import { getHeader } from './rawHeaders.js'

/** Why an exchange failed. */
export enum ExchangeFailure {
  /** The worker closed or reset the connection before the response was complete. */
  Broken = 'broken',
  /** The received bytes are not a valid response, or not a response to this request. */
  InvalidResponse = 'garbled',
  /** This VM cancelled the request. */
  Cancelled = 'cancelled'
}

/** Receives the response to a request. */
export interface ExchangeListener {
  onHead(head: ResponseHead): void
  onBody(chunk: Buffer): void
  onEnd(): void
  onFailure(failure: ExchangeFailure): void
}

/** A request to a worker. */
export interface UpstreamRequest {
  /** The serialized head, including the empty line. */
  readonly head: string
  readonly body: readonly Buffer[]
  /** The id that the response must echo; undefined if the caller sent none. */
  readonly requestId: string | undefined
  readonly isHead: boolean
}

/** Receives the head of every response of a worker: also of late ones, and of those without a request. */
export type ResponseHeadListener = (head: ResponseHead) => void

/** How a worker's responses echo the request's id. */
export interface EchoRule {
  /** The name of the header field, in lower case. */
  readonly idHeader: string
}

/** The idle time up to which connections are reused if the worker announces no timeout. */
const DEFAULT_MAX_IDLE_MS = 4_000
/** Connections are closed this long before the worker's own timeout, so that no request is sent while the worker closes. */
const IDLE_MARGIN_MS = 1_500
const MS_PER_SECOND = 1_000
const MIN_ERROR_STATUS = 400
const TIMEOUT_PARAMETER = /timeout\s*=\s*(\d+)/i
/** The number of responses to other requests that are skipped before the connection is closed. */
const MAX_SKIPPED_RESPONSES = 3
/** Limit on the bodies of skipped responses together. */
const MAX_SKIPPED_BYTES = 1_048_576

/** Requests of up to this length are in the worker's socket by the time the worker reads their head. */
const MAX_SINGLE_FLIGHT_BYTES = 16_384
/** A response that begins sooner after its request was written may have been sent before the worker had received the request. */
const EARLY_RESPONSE_MS = 250
/** Longer than a round trip between regions: by then, what the worker didn't receive has been answered by a reset. */
const RESET_WAIT_MS = 250

interface Exchange {
  readonly request: UpstreamRequest
  readonly listener: ExchangeListener
  /** When the operating system had taken the whole request; undefined before that. */
  writtenAt: Instant | undefined
  /** The head of the response; undefined before it has arrived. */
  head: ResponseHead | undefined
  /** Whether the response began before the worker had certainly received the whole request. */
  isEarly: boolean
}

/** An open connection to a worker. */
export class UpstreamConnection {
  private readonly parser: ResponseParser
  private exchange: Exchange | undefined
  private isSkipping = false
  private skippedResponses = 0
  private skippedBytes = 0
  private isReusable = true
  private idleLimitMs = DEFAULT_MAX_IDLE_MS
  private resetTimer: ITimer | undefined
  /** Since when the connection has been idle; undefined if it has not been idle yet. */
  idleSince: Instant | undefined

  /**
   * @param socket a connected socket
   * @param rule how responses are matched to requests
   * @param clock for the wait for a reset
   * @param onResponseHead called for the head of each response
   * @param onIdle called when the connection is available for another request
   * @param onClosed called once, when the connection has closed
   */
  constructor (
    private readonly socket: Socket,
    private readonly rule: EchoRule,
    private readonly clock: IClock,
    private readonly onResponseHead: ResponseHeadListener,
    private readonly onIdle: (connection: UpstreamConnection) => void,
    private readonly onClosed: (connection: UpstreamConnection) => void
  ) {
    this.parser = new ResponseParser({
      onHead: (head) => this.handleHead(head),
      onBody: (chunk) => { this.handleBody(chunk) },
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

  /** @returns how long the connection may be idle after a response and still be reused, in milliseconds */
  get maxIdleMs (): number {
    return this.idleLimitMs
  }

  /**
   * Sends a request. From then on, the worker may have run it.
   * @param request the request
   * @param listener receives the response, and exactly one call of `onEnd` or `onFailure`
   */
  send (request: UpstreamRequest, listener: ExchangeListener): void {
    const exchange: Exchange = { request, listener, writtenAt: undefined, head: undefined, isEarly: false }
    this.exchange = exchange
    const onWritten = (error?: Error | null): void => { if (error === undefined || error === null) exchange.writtenAt = this.clock.now() }
    const { head, body } = request
    this.socket.cork()
    this.socket.write(head, 'latin1', body.length === 0 ? onWritten : undefined)
    for (const [index, chunk] of body.entries()) this.socket.write(chunk, index === body.length - 1 ? onWritten : undefined)
    this.socket.uncork()
  }

  /** Cancels the request by closing the connection, which tells the worker to stop processing it. */
  cancel (): void {
    this.fail(ExchangeFailure.Cancelled)
  }

  /** Stops reading while the caller accepts no more data, until {@link UpstreamConnection.resume} or the end of the response. */
  pause (): void {
    if (this.exchange !== undefined) this.socket.pause()
  }

  /** Continues reading. */
  resume (): void {
    this.socket.resume()
  }

  /** Closes the connection. A pending request fails as broken. */
  close (): void {
    this.fail(ExchangeFailure.Broken)
  }

  private handleData (chunk: Buffer): void {
    if (this.exchange === undefined) {
      // Without a pending request, these bytes would go to the next caller on this connection. Only the head is read.
      this.parser.read(chunk)
      this.socket.destroy()
      return
    }
    const error = this.parser.read(chunk)
    if (error !== undefined) {
      this.fail(ExchangeFailure.InvalidResponse)
      return
    }
    if (this.exchange !== undefined || this.socket.destroyed) return
    if (!this.parser.isBetweenResponses || !this.isReusable) this.socket.destroy()
    else this.onIdle(this)
  }

  private handleHead (head: ResponseHead): boolean {
    this.onResponseHead(head)
    const exchange = this.exchange
    if (exchange === undefined) throw new Error('response without a pending request')
    const id = getHeader(head.rawHeaders, this.rule.idHeader)
    this.isSkipping = id !== undefined && id !== exchange.request.requestId
    if (this.isSkipping && ++this.skippedResponses > MAX_SKIPPED_RESPONSES) throw new Error('too many responses to other requests')
    if (!this.isSkipping) {
      this.updateReuse(head)
      exchange.head = head
      exchange.isEarly = this.isEarlyResponse(exchange)
      exchange.listener.onHead(head)
    }
    return exchange.request.isHead
  }

  private handleBody (chunk: Buffer): void {
    if (!this.isSkipping) this.exchange?.listener.onBody(chunk)
    else if ((this.skippedBytes += chunk.length) > MAX_SKIPPED_BYTES) throw new Error('responses to other requests are too long')
  }

  private updateReuse (head: ResponseHead): void {
    if (!head.keepsAlive || head.isCloseDelimited) this.isReusable = false
    const timeout = TIMEOUT_PARAMETER.exec(getHeader(head.rawHeaders, 'keep-alive') ?? '')
    if (timeout !== null) this.idleLimitMs = Math.max(0, Number(timeout[1]) * MS_PER_SECOND - IDLE_MARGIN_MS)
  }

  private handleEnd (): void {
    if (this.isSkipping) {
      this.isSkipping = false
      return
    }
    const exchange = this.exchange
    this.exchange = undefined
    // Without an exchange, the caller's response no longer resumes the socket when it drains.
    this.socket.resume()
    // After one late response, the worker may send another one.
    if (this.skippedResponses > 0 || (exchange !== undefined && this.mayBodyBeUnread(exchange))) this.isReusable = false
    exchange?.listener.onEnd()
  }

  private handleSocketEnd (): void {
    this.isReusable = false
    if (this.exchange === undefined || this.parser.isBetweenResponses) {
      this.fail(ExchangeFailure.Broken)
      return
    }
    // A worker that ends before it has received the request has not ended its response.
    if (this.exchange.head?.isCloseDelimited !== true || this.exchange.writtenAt === undefined) this.fail(ExchangeFailure.Broken)
    else if (this.exchange.isEarly) this.waitForReset()
    else this.checkReset(() => { this.finishResponse() })
  }

  /** A worker may respond before it has read the body. The next request would wait behind the rest of it. */
  private mayBodyBeUnread ({ request, writtenAt, head, isEarly }: Exchange): boolean {
    const isRejected = head !== undefined && head.status >= MIN_ERROR_STATUS
    return request.body.length > 0 && (writtenAt === undefined || (isEarly && isRejected))
  }

  private isEarlyResponse ({ request, writtenAt }: Exchange): boolean {
    if (writtenAt !== undefined && this.clock.now() - writtenAt >= EARLY_RESPONSE_MS) return false
    return request.body.reduce((sum, { length }) => sum + length, 0) > MAX_SINGLE_FLIGHT_BYTES
  }

  /**
   * Distinguishes the end of a response from that of a worker which is still receiving the request: its connection is
   * closed in order, and the reset follows only when the next part of the request arrives there.
   */
  private waitForReset (): void {
    this.resetTimer = this.clock.schedule(createDeadline(this.clock.now(), RESET_WAIT_MS), () => {
      this.checkReset(() => { this.finishResponse() })
    })
  }

  /** Completes a response that the end of the connection delimits. */
  private finishResponse (): void {
    if (this.parser.finish() !== undefined) this.fail(ExchangeFailure.Broken)
    this.socket.destroy()
  }

  /**
   * Distinguishes an orderly end from a reset. libuv reports a reset as an orderly end if
   * it arrives together with the last bytes, so that a truncated response that is delimited
   * by the end of its connection would look complete to its caller. A write, even of an
   * empty string, fails only on a connection that was reset.
   */
  private checkReset (onOrderlyEnd: () => void): void {
    this.socket.write('', (error) => {
      if (error === null || error === undefined) onOrderlyEnd()
      else this.fail(ExchangeFailure.Broken)
    })
  }

  private fail (failure: ExchangeFailure): void {
    const exchange = this.exchange
    this.exchange = undefined
    this.isReusable = false
    this.resetTimer?.close()
    this.socket.destroy()
    exchange?.listener.onFailure(failure)
  }
}
