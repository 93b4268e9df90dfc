/**
 * Checks a history against the product's guarantees to callers and upstreams.
 * Events are checked one by one, so that a run can be checked without storing it.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { AnswerKind, ExecutionEnd, HistoryEventKind } from './historyEvent.js'
import type {
  AnsweredEvent, ArrivedEvent, ConnectionsCountedEvent, ExecutionEndedEvent, ExecutionStartedEvent, HistoryEvent, IHistorySink, RefusedWhileDrainingEvent
} from './historyEvent.js'
import { PlannedIntervals } from './plannedIntervals.js'
import { RequestTable } from './requestTable.js'
import type { RequestRecord } from './requestTable.js'
import { ViolationKind } from './violation.js'
import type { Violation } from './violation.js'
import { WorkerTable } from './workerTable.js'

export { countViolations, ViolationKind } from './violation.js'
export type { Violation } from './violation.js'

/** A draining upstream must get no new work after this time from its announcement. */
export const DRAIN_GRACE_MS = 2000

/** The first execution of a request that must run at most once. */
interface AtMostOnceExecution {
  readonly workerId: string
  isReported: boolean
}

type EventOfKind<K extends HistoryEventKind> = Extract<HistoryEvent, { readonly kind: K }>
type EventHandlers = { readonly [K in HistoryEventKind]: (event: EventOfKind<K>) => void }

/** Answers that are violations by themselves. */
const VIOLATION_BY_ANSWER: Readonly<Partial<Record<AnswerKind, ViolationKind>>> = {
  [AnswerKind.Truncated]: ViolationKind.TruncatedAnswer,
  [AnswerKind.Mismatched]: ViolationKind.MismatchedAnswer
}

/** Receives events sorted by time and reports each violation as soon as it can be detected. */
export class HistoryChecker implements IHistorySink {
  private readonly requestTable = new RequestTable()
  private readonly workerTable = new WorkerTable()
  private readonly drainIntervals = new PlannedIntervals()
  private readonly safeToStopIntervals = new PlannedIntervals()
  private readonly stopIntervals = new PlannedIntervals()
  private readonly executionByAtMostOnceKey = new Map<string, AtMostOnceExecution>()
  private saturationCount = 0
  private uncheckedRequestCount = 0

  private readonly handlers: EventHandlers = {
    [HistoryEventKind.Sent]: (event) => this.requestTable.recordSent(event),
    [HistoryEventKind.Answered]: (event) => this.checkAnswer(event),
    [HistoryEventKind.Arrived]: (event) => this.checkArrival(event),
    [HistoryEventKind.ExecutionStarted]: (event) => this.checkStart(event),
    [HistoryEventKind.ExecutionEnded]: (event) => this.checkEnd(event),
    [HistoryEventKind.RefusedWhileDraining]: (event) => this.checkDrain(event),
    [HistoryEventKind.FaultInjected]: (event) => this.requestTable.recordFault(event),
    [HistoryEventKind.LimitDeclared]: (event) => this.workerTable.setLimits(event),
    [HistoryEventKind.ConnectionsCounted]: (event) => this.checkConnections(event),
    [HistoryEventKind.DrainAnnounced]: ({ targets, at }) => this.drainIntervals.open(targets, at),
    [HistoryEventKind.SafeToStop]: ({ targets, at }) => this.safeToStopIntervals.open(targets, at),
    [HistoryEventKind.StopStarted]: ({ targets, at }) => this.stopIntervals.open(targets, at),
    [HistoryEventKind.StopEnded]: ({ targets, at }) => this.stopIntervals.close(targets, at),
    [HistoryEventKind.DrainWithdrawn]: ({ targets, at }) => {
      this.drainIntervals.close(targets, at)
      this.safeToStopIntervals.close(targets, at)
    }
  }

  /** @param onViolation called for each violation */
  constructor (private readonly onViolation: (violation: Violation) => void) {}

  /** @returns the number of requests and executions tracked, for reports on memory use */
  countTracked (): number {
    return this.requestTable.size + this.executionByAtMostOnceKey.size
  }

  /** @returns the number of requests that took the last free slot of a worker; if 0, the run has not tested the slot limits */
  countSaturations (): number {
    return this.saturationCount
  }

  /** @returns the number of requests to workers without declared limits, whose slot use could not be checked */
  countUncheckedRequests (): number {
    return this.uncheckedRequestCount
  }

  /** @param event the next event, not earlier than the previous one */
  record (event: HistoryEvent): void {
    const handle = this.handlers[event.kind] as (event: HistoryEvent) => void
    handle(event)
  }

  private reportViolation (kind: ViolationKind, at: Instant, subject: string, detail: string): void {
    this.onViolation({ kind, at, subject, detail })
  }

  private checkAnswer (event: AnsweredEvent): void {
    const { requestId, answer, at, detail } = event
    const request = this.requestTable.recordAnswer(event)
    const kind = VIOLATION_BY_ANSWER[answer]
    if (kind !== undefined) this.reportViolation(kind, at, requestId, detail ?? '')
    if (answer === AnswerKind.NotRun && request.firstWorkerId !== undefined) {
      this.reportViolation(ViolationKind.RanDespiteNotRun, at, requestId, `ran at ${request.firstWorkerId} before its caller was told "not-run": ${detail ?? ''}`)
    }
    this.checkInterruptionAtEntry(event, request)
  }

  /** Reports a caller that lost its answer during a planned stop of its entry VM, unless a worker failed the request on purpose. */
  private checkInterruptionAtEntry ({ answer, requestId, at, detail }: AnsweredEvent, { sent, injectedFault }: RequestRecord): void {
    if (answer !== AnswerKind.Failed && answer !== AnswerKind.Unknown) return
    if (injectedFault !== undefined || sent === undefined || !this.stopIntervals.hasOverlap(sent.entry, sent.at, at)) return
    this.reportViolation(ViolationKind.InterruptedByPlannedStop, at, requestId, `${answer} during the planned stop of ${sent.entry}: ${detail ?? ''}`)
  }

  private checkArrival (event: ArrivedEvent | ExecutionStartedEvent): void {
    if (!this.workerTable.addHeld(event)) return
    this.checkDrain(event)
    const { workerId, at } = event
    const held = this.workerTable.listHeld(workerId)
    const limits = this.workerTable.getLimits(workerId)
    if (limits === undefined) this.uncheckedRequestCount += 1
    const slots = limits?.slots ?? Infinity
    if (held.length === slots) this.saturationCount += 1
    if (held.length <= slots) return
    const descriptions = held.map(({ requestId, entryId, heldSince }) => `${requestId} from ${entryId || '?'} held for ${(at - heldSince).toFixed(1)} ms`)
    this.reportViolation(ViolationKind.LimitExceeded, at, workerId, `holds ${held.length} requests with ${slots} slots: ${descriptions.join(', ')}`)
  }

  private checkStart (event: ExecutionStartedEvent): void {
    this.checkArrival(event)
    const request = this.requestTable.recordStart(event)
    this.checkAtMostOnce(event, request)
    const { requestId, workerId, at } = event
    if (request.wasToldNotRun) this.reportViolation(ViolationKind.RanDespiteNotRun, at, requestId, `ran at ${workerId} after its caller was told "not-run"`)
  }

  /** Reports a repeated execution. An operation with an Idempotency-Key has two keys here, but is reported once. */
  private checkAtMostOnce (event: ExecutionStartedEvent, request: RequestRecord): void {
    const { workerId, at, requestId } = event
    const earlierExecutions: AtMostOnceExecution[] = []
    const keys = listAtMostOnceKeys(event, request)
    for (const key of keys) {
      const earlierExecution = this.executionByAtMostOnceKey.get(key)
      if (earlierExecution === undefined) this.executionByAtMostOnceKey.set(key, { workerId, isReported: false })
      else earlierExecutions.push(earlierExecution)
    }
    const [firstExecution] = earlierExecutions
    if (firstExecution === undefined || earlierExecutions.some(({ isReported }) => isReported)) return
    for (const record of earlierExecutions) record.isReported = true
    this.reportViolation(ViolationKind.DuplicateExecution, at, keys[0] ?? '', `ran at ${firstExecution.workerId}, then again as ${requestId} at ${workerId}`)
  }

  private checkEnd (event: ExecutionEndedEvent): void {
    const held = this.workerTable.removeHeld(event)
    const { workerId, at, end } = event
    // A worker that is safe to stop has nothing in flight, so an execution that ends early during a stop was interrupted by it.
    if (held === undefined || end === ExecutionEnd.Answered || !this.stopIntervals.hasOverlap(workerId, held.heldSince, at)) return
    this.reportViolation(ViolationKind.InterruptedByPlannedStop, at, held.requestId, `interrupted by the planned stop of ${workerId}`)
  }

  /** Reports new work sent to a draining worker, including work that the worker refused. */
  private checkDrain ({ workerId, requestId, at }: ArrivedEvent | ExecutionStartedEvent | RefusedWhileDrainingEvent): void {
    const drainInterval = this.drainIntervals.find(workerId, at, DRAIN_GRACE_MS)
    const safeToStopInterval = this.safeToStopIntervals.find(workerId, at, 0)
    const interval = safeToStopInterval ?? drainInterval
    if (interval === undefined) return
    const cause = safeToStopInterval === undefined ? 'the drain was announced' : 'the worker was safe to stop'
    this.reportViolation(ViolationKind.WorkAfterDrain, at, workerId, `${requestId} arrived ${(at - interval.from).toFixed(0)} ms after ${cause}`)
  }

  private checkConnections ({ workerId, open, at }: ConnectionsCountedEvent): void {
    const maxConnections = this.workerTable.getLimits(workerId)?.connections ?? Infinity
    if (open > maxConnections) this.reportViolation(ViolationKind.LimitExceeded, at, workerId, `${open} open connections, limit ${maxConnections}`)
  }
}

/** Lists the keys for which this must be the only execution. */
function listAtMostOnceKeys ({ service, idempotencyKey }: ExecutionStartedEvent, { sent }: RequestRecord): string[] {
  const keys: string[] = []
  if (idempotencyKey !== undefined) keys.push(`key ${service}/${idempotencyKey}`)
  if (sent !== undefined && !sent.isIdempotent) keys.push(`operation ${sent.operationId}`)
  return keys
}

/** Among simultaneous events, announcements come before other events, and withdrawals after them. */
const SORT_RANK_BY_KIND: Readonly<Partial<Record<HistoryEventKind, number>>> = {
  [HistoryEventKind.LimitDeclared]: -1,
  [HistoryEventKind.DrainAnnounced]: -1,
  [HistoryEventKind.SafeToStop]: -1,
  [HistoryEventKind.StopStarted]: -1,
  [HistoryEventKind.DrainWithdrawn]: 1,
  [HistoryEventKind.StopEnded]: 1
}

/**
 * @param one an event
 * @param other another event
 * @returns a negative number if `one` comes first; 0 if the recorded order stays
 */
export function compareEvents (one: HistoryEvent, other: HistoryEvent): number {
  return one.at - other.at || (SORT_RANK_BY_KIND[one.kind] ?? 0) - (SORT_RANK_BY_KIND[other.kind] ?? 0)
}

/**
 * @param events the events of callers, workers and planned changes, in any order
 * @returns all violations, sorted by kind
 */
export function checkHistory (events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = []
  const checker = new HistoryChecker((violation) => violations.push(violation))
  for (const event of [...events].sort(compareEvents)) checker.record(event)
  const kinds = Object.values(ViolationKind)
  return violations.sort((one, other) => kinds.indexOf(one.kind) - kinds.indexOf(other.kind))
}
