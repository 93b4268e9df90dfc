/**
 * Gathers a worker's answer. A short one is handed on only when it is whole: if it
 * breaks, the request can be repeated or fail plainly. A long one is passed on as
 * it comes, since holding it would take the process's memory.
 */
import type { AnswerHead } from '../upstream/answerParser.js'
import { ExchangeFailure, type ExchangeListener } from '../upstream/upstreamConnection.js'

/** Longer answers are passed on as they come, in bytes. */
const MOST_GATHERED = 262_144

/** A whole answer. */
export interface GatheredAnswer {
  readonly head: AnswerHead
  readonly body: readonly Buffer[]
  readonly length: number
}

/** Who gets the answer. */
export interface CollectorListener {
  onWhole(answer: GatheredAnswer): void
  /** @returns whether this answer may be passed on before it is whole */
  onLong(head: AnswerHead): boolean
  onPart(chunk: Buffer): void
  onLongEnd(length: number): void
  /** @param isStarted whether a long answer had begun to be passed on */
  onFailure(failure: ExchangeFailure, isStarted: boolean): void
}

/** Gathers one answer. */
export class AnswerCollector implements ExchangeListener {
  private head: AnswerHead | undefined
  private body: Buffer[] = []
  private length = 0
  private isLong = false

  /** @param listener who gets the answer */
  constructor (private readonly listener: CollectorListener) {}

  /** @returns whether the worker has begun to answer */
  get hasBegun (): boolean {
    return this.head !== undefined
  }

  onHead (head: AnswerHead): void {
    this.head = head
  }

  onBody (chunk: Buffer): void {
    this.length += chunk.length
    if (!this.isLong) this.body.push(chunk)
    if (!this.isLong && this.length > MOST_GATHERED && this.listener.onLong(this.head!)) {
      this.isLong = true
      for (const part of this.body) this.listener.onPart(part)
      this.body = []
    } else if (this.isLong) this.listener.onPart(chunk)
  }

  onEnd (): void {
    if (this.isLong) this.listener.onLongEnd(this.length)
    else this.listener.onWhole({ head: this.head!, body: this.body, length: this.length })
  }

  onFailure (failure: ExchangeFailure): void {
    this.listener.onFailure(failure, this.isLong)
  }
}
