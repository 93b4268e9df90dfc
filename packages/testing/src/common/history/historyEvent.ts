/**
 * The events that a concurrent run records for the history checker: those of
 * callers, of simulated workers and of planned changes, all timed by one clock.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** The result of an attempt as its caller sees it. */
export enum AnswerKind {
  /** A complete answer to this attempt, with a status set by an upstream. */
  Complete = 'whole',
  /** The answer says that the request did not run. */
  NotRun = 'not-run',
  /** The answer says that the request may have run. */
  Unknown = 'unknown',
  /** The answer says that an earlier attempt with the same Idempotency-Key has run. */
  AlreadyRan = 'already-ran',
  /** The answer ended normally, but its length or digest is wrong. */
  Truncated = 'truncated',
  /** The answer belongs to another request. */
  Mismatched = 'crossed',
  /** The connection could not be opened, so nothing was sent. */
  NotSent = 'not-sent',
  /** No answer: the connection failed or was closed early, or the caller timed out. */
  Failed = 'failed'
}

/** How an execution at a worker ended. */
export enum ExecutionEnd {
  /** The worker sent its complete answer. */
  Answered = 'answered',
  /** The client disconnected first. */
  Cancelled = 'cancelled',
  /** The worker failed or was stopped before it had answered. */
  Interrupted = 'cut',
  /** The request left the worker's queue without having run. */
  Abandoned = 'abandoned'
}

/** The kinds of history events. */
export enum HistoryEventKind {
  Sent = 'sent',
  Answered = 'answered',
  Arrived = 'arrived',
  ExecutionStarted = 'execution-started',
  ExecutionEnded = 'execution-ended',
  RefusedWhileDraining = 'offered',
  FaultInjected = 'fault-planted',
  LimitDeclared = 'limit-declared',
  ConnectionsCounted = 'connections-counted',
  DrainAnnounced = 'drain-announced',
  DrainWithdrawn = 'drain-withdrawn',
  SafeToStop = 'safe-to-stop',
  StopStarted = 'stop-began',
  StopEnded = 'stop-ended'
}

/** A caller sent one attempt of an operation. */
export interface SentEvent {
  readonly kind: HistoryEventKind.Sent
  readonly at: Instant
  /** Unique per attempt, so that a refused attempt can be distinguished from one that ran. */
  readonly requestId: string
  /** Shared by all attempts of one operation. */
  readonly operationId: string
  readonly service: string
  readonly isIdempotent: boolean
  readonly idempotencyKey?: string
  /** `host:port` of the entry VM that the attempt was sent to. */
  readonly entry: string
}

/** An attempt ended at its caller. */
export interface AnsweredEvent {
  readonly kind: HistoryEventKind.Answered
  readonly at: Instant
  readonly requestId: string
  readonly answer: AnswerKind
  /** Details for troubleshooting: status, error text, the request id that the answer repeated. */
  readonly detail?: string
}

/**
 * A request reached a worker and needs a slot, whether it gets one immediately,
 * waits in the worker's queue or is refused because the queue is full.
 */
export interface ArrivedEvent {
  readonly kind: HistoryEventKind.Arrived
  readonly at: Instant
  /** Repeated by the start event, if the request runs, and by the end event. */
  readonly executionId: number
  readonly workerId: string
  readonly requestId: string
  /** The node id of the entry VM that sent it. */
  readonly entryId: string
}

/** A worker started to run a request. */
export interface ExecutionStartedEvent {
  readonly kind: HistoryEventKind.ExecutionStarted
  readonly at: Instant
  /** Unique per execution, also among executions of the same request. */
  readonly executionId: number
  readonly workerId: string
  readonly requestId: string
  readonly service: string
  readonly idempotencyKey?: string
}

/** A worker stopped running a request, or removed it from its queue. */
export interface ExecutionEndedEvent {
  readonly kind: HistoryEventKind.ExecutionEnded
  readonly at: Instant
  readonly executionId: number
  readonly workerId: string
  readonly end: ExecutionEnd
}

/** A draining worker refused a request. The request did not run, but new work was sent to the worker. */
export interface RefusedWhileDrainingEvent {
  readonly kind: HistoryEventKind.RefusedWhileDraining
  readonly at: Instant
  readonly workerId: string
  readonly requestId: string
}

/** A simulated worker is about to fail a request on purpose, which may explain a failure that the caller sees. */
export interface FaultInjectedEvent {
  readonly kind: HistoryEventKind.FaultInjected
  readonly at: Instant
  readonly workerId: string
  readonly requestId: string
  /** The kind of fault, for statistics. */
  readonly fault: string
}

/** The limits of a worker, valid from this event on. */
export interface LimitDeclaredEvent {
  readonly kind: HistoryEventKind.LimitDeclared
  readonly at: Instant
  readonly workerId: string
  readonly slots: number
  readonly connections: number
}

/** The number of connections that a worker has open. */
export interface ConnectionsCountedEvent {
  readonly kind: HistoryEventKind.ConnectionsCounted
  readonly at: Instant
  readonly workerId: string
  readonly open: number
}

/** A planned change to some workers or entry VMs. */
export interface PlannedEvent {
  readonly kind:
    | HistoryEventKind.DrainAnnounced
    | HistoryEventKind.DrainWithdrawn
    | HistoryEventKind.SafeToStop
    | HistoryEventKind.StopStarted
    | HistoryEventKind.StopEnded
  readonly at: Instant
  /** Worker ids, or `host:port` of entry VMs. */
  readonly targets: readonly string[]
}

/** One event of a run. */
export type HistoryEvent =
  | SentEvent
  | AnsweredEvent
  | ArrivedEvent
  | ExecutionStartedEvent
  | ExecutionEndedEvent
  | RefusedWhileDrainingEvent
  | FaultInjectedEvent
  | LimitDeclaredEvent
  | ConnectionsCountedEvent
  | PlannedEvent

/** Receives the events of a run. */
export interface IHistorySink {
  /** @param event the event to record */
  record(event: HistoryEvent): void
}

/** Stores the events of one run in the order in which they are recorded. */
export class HistoryRecorder implements IHistorySink {
  private readonly recordedEvents: HistoryEvent[] = []

  /** All events recorded so far. */
  get events (): readonly HistoryEvent[] {
    return this.recordedEvents
  }

  /**
   * @param event the event to record
   */
  record (event: HistoryEvent): void {
    this.recordedEvents.push(event)
  }
}
