/**
 * Collects a worker's response. Short responses are buffered until they are complete, so that
 * a request whose response is cut short can still be retried or answered with an error. Longer
 * responses are streamed, as buffering them would use too much memory.
 */
import { ByteCollector } from '@umberspar/base/node/byteCollector'
import type { ResponseHead } from '../upstream/responseParser.js'
import { ExchangeFailure, type ExchangeListener } from '../upstream/upstreamConnection.js'
import type { ResponseMemory } from './responseMemory.js'

/** Longer responses are streamed. */
const MAX_BUFFERED_BYTES = 262_144
/** Responses of up to this length are buffered even when all responses together exceed their limit. */
const MIN_BUFFERED_BYTES = 16_384

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
  onStreamEnd(head: ResponseHead, length: number): void
  /** @param isStreaming whether part of the response was already streamed */
  onFailure(failure: ExchangeFailure, isStreaming: boolean): void
}

/** What becomes of the body. */
enum CollectionMode {
  Buffering = 'buffering',
  Streaming = 'streaming',
  Discarding = 'discarding'
}

/** Collects one response. */
export class ResponseCollector implements ExchangeListener {
  private head: ResponseHead | undefined
  private readonly body = new ByteCollector()
  private length = 0
  private mode = CollectionMode.Buffering

  /**
   * @param memory the memory of all responses that are being collected
   * @param listener receives the response
   */
  constructor (private readonly memory: ResponseMemory, private readonly listener: ResponseListener) {}

  /** @returns whether the head of the response has arrived */
  get hasHead (): boolean {
    return this.head !== undefined
  }

  onHead (head: ResponseHead): void {
    this.head = head
  }

  onBody (chunk: Buffer): void {
    this.length += chunk.length
    if (this.mode === CollectionMode.Streaming) this.listener.onStreamData(chunk)
    if (this.mode !== CollectionMode.Buffering) return
    this.body.add(chunk)
    const hasRoom = this.memory.add(chunk.length)
    if (this.length > MAX_BUFFERED_BYTES || (!hasRoom && this.length > MIN_BUFFERED_BYTES)) this.stopBuffering()
  }

  private stopBuffering (): void {
    const buffered = this.takeBody()
    const isStreamed = this.listener.onStreamStart(this.head!)
    this.mode = isStreamed ? CollectionMode.Streaming : CollectionMode.Discarding
    if (isStreamed) for (const chunk of buffered) this.listener.onStreamData(chunk)
    else this.listener.onTooLong(this.head!)
  }

  onEnd (): void {
    if (this.mode === CollectionMode.Streaming) this.listener.onStreamEnd(this.head!, this.length)
    else if (this.mode === CollectionMode.Buffering) this.listener.onComplete({ head: this.head!, body: this.takeBody(), length: this.length })
  }

  onFailure (failure: ExchangeFailure): void {
    this.takeBody()
    this.listener.onFailure(failure, this.mode === CollectionMode.Streaming)
  }

  /** @returns what has been buffered, which no longer counts in the memory of all responses */
  private takeBody (): Buffer[] {
    this.memory.remove(this.body.length)
    return this.body.take()
  }
}
