/**
 * What a concurrent run leaves behind for the checker: events of callers, of
 * worker stand-ins and of planned changes, all on one clock's time line.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** What a caller found when an attempt ended. */
export enum AnswerKind {
  /** The attempt's own answer, complete, with a status that an upstream chose. */
  Whole = 'whole',
  /** The answer says that the request did not run. */
  NotRun = 'not-run',
  /** The answer says that the request may have run. */
  Unknown = 'unknown',
  /** The answer says that an earlier attempt with the same Idempotency-Key ran. */
  AlreadyRan = 'already-ran',
  /** The answer ended as if complete, but its length or digest is wrong. */
  Truncated = 'truncated',
  /** The answer belongs to another request. */
  Crossed = 'crossed',
  /** The connection could not be opened: nothing was sent. */
  NotSent = 'not-sent',
  /** No answer: the connection failed, broke off, or the caller's time ran out. */
  Failed = 'failed'
}

/** How an execution at a worker ended. */
export enum ExecutionEnd {
  /** The worker wrote its whole answer. */
  Answered = 'answered',
  /** The requesting side went away first. */
  Cancelled = 'cancelled',
  /** The worker broke off because it failed or was stopped. */
  Cut = 'cut',
  /** It left the worker's queue without having run. */
  Abandoned = 'abandoned'
}

/** The kinds of history events. */
export enum HistoryEventKind {
  Sent = 'sent',
  Answered = 'answered',
  Arrived = 'arrived',
  ExecutionStarted = 'execution-started',
  ExecutionEnded = 'execution-ended',
  Offered = 'offered',
  FaultPlanted = 'fault-planted',
  LimitDeclared = 'limit-declared',
  ConnectionsCounted = 'connections-counted',
  DrainAnnounced = 'drain-announced',
  DrainWithdrawn = 'drain-withdrawn',
  SafeToStop = 'safe-to-stop',
  StopBegan = 'stop-began',
  StopEnded = 'stop-ended'
}

/** A caller sends one attempt of an operation. */
export interface SentEvent {
  readonly kind: HistoryEventKind.Sent
  readonly at: Instant
  /** Differs for each attempt, so that a refused attempt is told from the one that ran. */
  readonly requestId: string
  /** The same for all attempts of one operation. */
  readonly operationId: string
  readonly service: string
  readonly isIdempotent: boolean
  readonly idempotencyKey?: string
  /** `host:port` of the entry VM asked. */
  readonly entry: string
}

/** An attempt ended at its caller. */
export interface AnsweredEvent {
  readonly kind: HistoryEventKind.Answered
  readonly at: Instant
  readonly requestId: string
  readonly answer: AnswerKind
  /** What a person needs to find the cause: status, error text, the id echoed. */
  readonly detail?: string
}

/**
 * A request asks for a slot of a worker, whether it gets one at once, waits in
 * the worker's queue or is refused because that is full.
 */
export interface ArrivedEvent {
  readonly kind: HistoryEventKind.Arrived
  readonly at: Instant
  /** Also of the start, if it comes to that, and of the end. */
  readonly executionId: number
  readonly workerId: string
  readonly requestId: string
  /** The node id of the entry VM that sent it. */
  readonly entryId: string
}

/** A worker begins to run a request. */
export interface ExecutionStartedEvent {
  readonly kind: HistoryEventKind.ExecutionStarted
  readonly at: Instant
  /** Differs for each execution, also of the same request. */
  readonly executionId: number
  readonly workerId: string
  readonly requestId: string
  readonly service: string
  readonly idempotencyKey?: string
}

/** A worker no longer runs a request, or no longer holds it in its queue. */
export interface ExecutionEndedEvent {
  readonly kind: HistoryEventKind.ExecutionEnded
  readonly at: Instant
  readonly executionId: number
  readonly workerId: string
  readonly end: ExecutionEnd
}

/** A worker gets a request and refuses it because it drains: new work was sent there although it did not run. */
export interface OfferedEvent {
  readonly kind: HistoryEventKind.Offered
  readonly at: Instant
  readonly workerId: string
  readonly requestId: string
}

/** A worker stand-in is about to fail a request on purpose, so what its caller sees may be due to that. */
export interface FaultPlantedEvent {
  readonly kind: HistoryEventKind.FaultPlanted
  readonly at: Instant
  readonly workerId: string
  readonly requestId: string
  /** Which fault, for counts. */
  readonly fault: string
}

/** What a worker bears, from this event on. */
export interface LimitDeclaredEvent {
  readonly kind: HistoryEventKind.LimitDeclared
  readonly at: Instant
  readonly workerId: string
  readonly slots: number
  readonly connections: number
}

/** How many connections a worker has open. */
export interface ConnectionsCountedEvent {
  readonly kind: HistoryEventKind.ConnectionsCounted
  readonly at: Instant
  readonly workerId: string
  readonly open: number
}

/** A planned change that concerns some workers or entry VMs. */
export interface PlannedEvent {
  readonly kind:
    | HistoryEventKind.DrainAnnounced
    | HistoryEventKind.DrainWithdrawn
    | HistoryEventKind.SafeToStop
    | HistoryEventKind.StopBegan
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
  | OfferedEvent
  | FaultPlantedEvent
  | LimitDeclaredEvent
  | ConnectionsCountedEvent
  | PlannedEvent

/** Where the events of a run go. */
export interface IHistory {
  /** @param event what happened, with its instant */
  record(event: HistoryEvent): void
}

/** Keeps the events of one run, in the order in which they happen. */
export class HistoryRecorder implements IHistory {
  private readonly recorded: HistoryEvent[] = []

  /** All events so far. */
  get events (): readonly HistoryEvent[] {
    return this.recorded
  }

  /**
   * @param event what happened, with its instant
   */
  record (event: HistoryEvent): void {
    this.recorded.push(event)
  }
}
