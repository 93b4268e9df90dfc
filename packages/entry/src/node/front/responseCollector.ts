/**
 * Collects a worker's response. Short responses are buffered until they are complete, so that
 * a request whose response is cut short can still be retried or answered with an error. Longer
 * responses are streamed, as buffering them would use too much memory.
 */
import { ByteCollector } from '@umberspar/base/node/byteCollector'
import type { ResponseHead } from '../upstream/responseParser.js'
import { ExchangeFailure, type ExchangeListener } from '../upstream/upstreamConnection.js'

/** Longer responses are streamed. */
const MAX_BUFFERED_BYTES = 262_144

/** A complete response. */
export interface BufferedResponse {
  readonly head: ResponseHead
  readonly body: readonly Buffer[]
  readonly length: number
}

/** Receives the response, either at once or as a stream. */
export interface ResponseListener {
  onComplete(response: BufferedResponse): void
  /** @returns whether this response may be streamed, that is, forwarded before it is complete */
  onStreamStart(head: ResponseHead): boolean
  /** Called once if the response is too long to be buffered and may not be streamed; the rest of it is discarded. */
  onTooLong(head: ResponseHead): void
  onStreamData(chunk: Buffer): void
  onStreamEnd(length: number): void
  /** @param isStreaming whether part of the response was already streamed */
  onFailure(failure: ExchangeFailure, isStreaming: boolean): void
}

/** Collects one response. */
export class ResponseCollector implements ExchangeListener {
  /** Undefined until it has arrived. */
  head: ResponseHead | undefined
  private readonly body = new ByteCollector()
  private length = 0
  private isStreaming = false
  private isTooLong = false

  /** @param listener receives the response */
  constructor (private readonly listener: ResponseListener) {}

  onHead (head: ResponseHead): void {
    this.head = head
  }

  onBody (chunk: Buffer): void {
    if (this.isTooLong) return
    this.length += chunk.length
    if (this.isStreaming) {
      this.listener.onStreamData(chunk)
      return
    }
    this.body.add(chunk)
    if (this.length > MAX_BUFFERED_BYTES) this.stopBuffering()
  }

  private stopBuffering (): void {
    const buffered = this.body.take()
    this.isStreaming = this.listener.onStreamStart(this.head!)
    this.isTooLong = !this.isStreaming
    if (this.isTooLong) this.listener.onTooLong(this.head!)
    else for (const chunk of buffered) this.listener.onStreamData(chunk)
  }

  onEnd (): void {
    if (this.isTooLong) return
    if (this.isStreaming) this.listener.onStreamEnd(this.length)
    else this.listener.onComplete({ head: this.head!, body: this.body.take(), length: this.length })
  }

  onFailure (failure: ExchangeFailure): void {
    this.listener.onFailure(failure, this.isStreaming)
  }
}
