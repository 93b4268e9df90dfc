/**
 * One caller's connection. A caller may send further requests before the first is
 * answered; answers go out in the order of the requests.
 *
 * Guards against three failures of leaving this to Node.js, which hands all
 * requests over at once. An answer with `Connection: close` ends the connection
 * though requests behind it were passed on: their workers run for nobody, and a
 * planned stop cuts them off. A caller that leaves ends its first request only. A
 * head that cannot be read is answered in place of a good request before it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { CallerAnswer } from './callerAnswer.js'

/**
 * Requests of one connection that are under way at once; the others wait for their
 * turn. Their answers are held until those before them are out, 256 kB each at most,
 * so that one slow request holds 2 MB of a connection at most.
 */
const MOST_OPEN = 8
/**
 * Requests that wait for their turn. A caller that sends more without reading an
 * answer gets what was accepted so far, and the connection ends: what came behind
 * counts as not read and is sent again.
 */
const MOST_WAITING = 64

/** One request with the answer that it gets. */
export interface CallerExchange {
  readonly message: IncomingMessage
  readonly answer: CallerAnswer
  /** When its head had been read; time spent behind others counts against its limits. */
  readonly arrivedAt: Instant
}

/** Who carries the requests. */
export interface ConnectionHost {
  readonly clock: IClock
  /** Whether the process was told to stop. */
  isLeaving(): boolean
  /** Carries one request; its answer may be written at any time. */
  startExchange(exchange: CallerExchange): void
  /** A request that was sent behind others is not carried; its caller sends it again. */
  recordNotRead(exchange: CallerExchange): void
  /** The connection is gone. */
  removeConnection(socket: Socket): void
}

interface OrderedExchange extends CallerExchange {
  isStarted: boolean
}

/** One connection. */
export class CallerConnection {
  /** Without a whole answer yet, in the order of the requests. */
  private exchanges: OrderedExchange[] = []
  /** Set when no more requests are accepted; the answer to the last accepted one ends the connection. */
  private isFull = false
  /** Set when an answer has been written that ends the connection. */
  private isEnding = false

  /**
   * @param socket the connection
   * @param host who carries its requests
   */
  constructor (private readonly socket: Socket, private readonly host: ConnectionHost) {
    socket.once('close', () => { this.handleClose() })
  }

  /** @returns requests that were started and have no whole answer yet */
  countOpen (): number {
    return this.exchanges.filter(({ isStarted }) => isStarted).length
  }

  /** Takes the next request of the connection. */
  accept (message: IncomingMessage, response: ServerResponse): void {
    const answer = new CallerAnswer(response, message.method === 'HEAD', () => this.shouldEndWith(exchange))
    const exchange: OrderedExchange = { message, answer, arrivedAt: this.host.clock.now(), isStarted: false }
    if (this.isClosedTo()) return this.host.recordNotRead(exchange)
    response.once('finish', () => { this.remove(exchange) })
    this.exchanges.push(exchange)
    this.startWaiting()
    this.isFull ||= this.exchanges.length - this.countOpen() >= MOST_WAITING
  }

  /**
   * Takes bytes that are no request, or a head that took too long. Requests before
   * it get their answers, the last of which ends the connection.
   * @param refusal what is written if no request waits
   */
  refuseInput (refusal: string): void {
    this.isFull = true
    if (this.exchanges.length > 0 || this.isEnding) return
    this.isEnding = true
    if (this.socket.writable) this.socket.end(refusal)
    else this.socket.destroy()
  }

  /** Ends the connection if no request waits on it. */
  closeIdle (): void {
    if (this.exchanges.length === 0) this.socket.destroySoon()
  }

  private isClosedTo (): boolean {
    if (this.isEnding || this.isFull) return true
    return this.host.isLeaving() && this.isEndAhead()
  }

  /** Whether an answer is still to be begun which, while the process leaves, ends the connection. */
  private isEndAhead (): boolean {
    return this.exchanges.some(({ isStarted, answer }) => isStarted && !answer.isBegun)
  }

  private startWaiting (): void {
    while (this.countOpen() < MOST_OPEN && !this.isEnding) {
      if (this.host.isLeaving() && this.isEndAhead()) return
      const next = this.exchanges.find(({ isStarted }) => !isStarted)
      if (next === undefined) return
      next.isStarted = true
      this.host.startExchange(next)
    }
  }

  /** Called as an answer is begun: whether it is the last one of the connection. */
  private shouldEndWith (exchange: OrderedExchange): boolean {
    const isLeaving = this.host.isLeaving()
    if (!isLeaving && !this.isFull) return false
    const behind = this.exchanges.slice(this.exchanges.indexOf(exchange) + 1)
    const isLast = behind.every(({ isStarted }) => isLeaving && !isStarted)
    if (!isLast) return false
    this.isEnding = true
    this.exchanges = this.exchanges.filter((one) => !behind.includes(one))
    for (const one of behind) this.host.recordNotRead(one)
    return true
  }

  private remove (exchange: OrderedExchange): void {
    this.exchanges = this.exchanges.filter((one) => one !== exchange)
    this.startWaiting()
    // The last answer was begun before the connection was known to end with it.
    if (this.isFull && this.exchanges.length === 0) this.socket.destroySoon()
  }

  private handleClose (): void {
    const left = this.exchanges
    this.exchanges = []
    this.isEnding = true
    for (const { isStarted, answer } of left) {
      if (isStarted) answer.handleClose()
    }
    this.host.removeConnection(this.socket)
  }
}
