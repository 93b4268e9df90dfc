/**
 * Tracks the state of each request sent. A record is removed as soon as no later
 * event of its request could be a violation, so a run of any length is checked
 * exactly, and memory grows only with requests that must run at most once.
 */
import { AnswerKind } from './historyEvent.js'
import type { AnsweredEvent, ExecutionStartedEvent, FaultInjectedEvent, SentEvent } from './historyEvent.js'

/** The state of one attempt of a caller. */
export interface RequestRecord {
  /** Undefined if no caller in the history sent it. */
  sent?: SentEvent
  firstWorkerId?: string
  wasToldNotRun: boolean
  /** The last fault that a worker injected into it. */
  injectedFault?: string
}

/** The requests of a run, by request id. */
export class RequestTable {
  private readonly recordsById = new Map<string, RequestRecord>()

  /** @returns the number of requests tracked */
  get size (): number {
    return this.recordsById.size
  }

  /** @param event a caller sent a request */
  recordSent (event: SentEvent): void {
    this.getOrCreate(event.requestId).sent = event
  }

  /**
   * @param event a worker started to run a request
   * @returns the request's state, including this execution
   */
  recordStart (event: ExecutionStartedEvent): RequestRecord {
    const record = this.getOrCreate(event.requestId)
    record.firstWorkerId ??= event.workerId
    return record
  }

  /** @param event a worker is about to fail a request on purpose */
  recordFault (event: FaultInjectedEvent): void {
    const record = this.recordsById.get(event.requestId)
    if (record !== undefined) record.injectedFault = event.fault
  }

  /**
   * @param event a caller received an answer
   * @returns the request's state
   */
  recordAnswer (event: AnsweredEvent): RequestRecord {
    const record = this.getOrCreate(event.requestId)
    if (event.answer === AnswerKind.NotRun) record.wasToldNotRun = true
    // An idempotent request may run again at any time; it is a violation only after the caller was told "not-run".
    if (record.sent?.isIdempotent === true && !record.wasToldNotRun) this.recordsById.delete(event.requestId)
    return record
  }

  private getOrCreate (requestId: string): RequestRecord {
    const known = this.recordsById.get(requestId)
    if (known !== undefined) return known
    const record: RequestRecord = { wasToldNotRun: false }
    this.recordsById.set(requestId, record)
    return record
  }
}
