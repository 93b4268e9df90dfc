/**
 * What is known of each request sent. A request is forgotten as soon as nothing
 * that can still happen to it would break a promise, so a run of any length is
 * checked exactly in memory that grows only with requests that must run once.
 */
import { AnswerKind } from './historyEvent.js'
import type { AnsweredEvent, ExecutionStartedEvent, FaultPlantedEvent, SentEvent } from './historyEvent.js'

/** One attempt of a caller, so far. */
export interface RequestRecord {
  /** Undefined: no caller of the history sent it. */
  sent?: SentEvent
  /** The first worker that ran it. */
  ranAt?: string
  wasToldNotRun: boolean
  /** The last fault that a worker planted in it. */
  fault?: string
}

/** The requests of a run. */
export class RequestTable {
  private readonly records = new Map<string, RequestRecord>()

  /** @returns how many requests are remembered */
  get size (): number {
    return this.records.size
  }

  /** @param event a caller sends a request */
  recordSent (event: SentEvent): void {
    this.load(event.requestId).sent = event
  }

  /**
   * @param event a worker begins to run a request
   * @returns what is known of it, this run included
   */
  recordStart (event: ExecutionStartedEvent): RequestRecord {
    const record = this.load(event.requestId)
    record.ranAt ??= event.workerId
    return record
  }

  /** @param event a worker is about to fail a request */
  recordFault (event: FaultPlantedEvent): void {
    const record = this.records.get(event.requestId)
    if (record !== undefined) record.fault = event.fault
  }

  /**
   * @param event a caller has its answer
   * @returns what is known of the request
   */
  recordAnswer (event: AnsweredEvent): RequestRecord {
    const record = this.load(event.requestId)
    if (event.answer === AnswerKind.NotRun) record.wasToldNotRun = true
    // An idempotent request may run again and late; only after "not-run" a run would break a promise.
    if (record.sent?.isIdempotent === true && !record.wasToldNotRun) this.records.delete(event.requestId)
    return record
  }

  private load (requestId: string): RequestRecord {
    const known = this.records.get(requestId)
    if (known !== undefined) return known
    const record: RequestRecord = { wasToldNotRun: false }
    this.records.set(requestId, record)
    return record
  }
}
