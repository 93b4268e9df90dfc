/**
 * Checks a history against the product's promises to callers and upstreams,
 * event by event, so that a run need not be kept to be checked.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { AnswerKind, ExecutionEnd, HistoryEventKind } from './historyEvent.js'
import type {
  AnsweredEvent, ArrivedEvent, ConnectionsCountedEvent, ExecutionEndedEvent, ExecutionStartedEvent, HistoryEvent, IHistory, OfferedEvent
} from './historyEvent.js'
import { PlannedSpans } from './plannedSpans.js'
import { RequestTable } from './requestTable.js'
import type { RequestRecord } from './requestTable.js'
import { ViolationKind } from './violation.js'
import type { Violation } from './violation.js'
import { WorkerTable } from './workerTable.js'

export { countViolations, ViolationKind } from './violation.js'
export type { Violation } from './violation.js'

/** A leaving upstream gets no new work later than this after its announcement. */
export const DRAIN_GRACE_MS = 2000

/** An execution of something that must run once. */
interface OnceRecord {
  readonly workerId: string
  isReported: boolean
}

type EventOfKind<K extends HistoryEventKind> = Extract<HistoryEvent, { readonly kind: K }>
type EventHandlers = { readonly [K in HistoryEventKind]: (event: EventOfKind<K>) => void }

/** What an answer is on its face. */
const VIOLATION_BY_ANSWER: Readonly<Partial<Record<AnswerKind, ViolationKind>>> = {
  [AnswerKind.Truncated]: ViolationKind.TruncatedAnswer,
  [AnswerKind.Crossed]: ViolationKind.CrossedAnswer
}

/** Takes events in the order of their instants and tells each broken promise as soon as it shows. */
export class HistoryChecker implements IHistory {
  private readonly requests = new RequestTable()
  private readonly workers = new WorkerTable()
  private readonly drains = new PlannedSpans()
  private readonly safeToStop = new PlannedSpans()
  private readonly stops = new PlannedSpans()
  private readonly onceByName = new Map<string, OnceRecord>()
  private lastSlots = 0
  private unlimited = 0

  private readonly handlers: EventHandlers = {
    [HistoryEventKind.Sent]: (event) => this.requests.recordSent(event),
    [HistoryEventKind.Answered]: (event) => this.checkAnswer(event),
    [HistoryEventKind.Arrived]: (event) => this.checkArrival(event),
    [HistoryEventKind.ExecutionStarted]: (event) => this.checkStart(event),
    [HistoryEventKind.ExecutionEnded]: (event) => this.checkEnd(event),
    [HistoryEventKind.Offered]: (event) => this.checkDrain(event),
    [HistoryEventKind.FaultPlanted]: (event) => this.requests.recordFault(event),
    [HistoryEventKind.LimitDeclared]: (event) => this.workers.setLimits(event),
    [HistoryEventKind.ConnectionsCounted]: (event) => this.checkConnections(event),
    [HistoryEventKind.DrainAnnounced]: ({ targets, at }) => this.drains.open(targets, at),
    [HistoryEventKind.SafeToStop]: ({ targets, at }) => this.safeToStop.open(targets, at),
    [HistoryEventKind.StopBegan]: ({ targets, at }) => this.stops.open(targets, at),
    [HistoryEventKind.StopEnded]: ({ targets, at }) => this.stops.close(targets, at),
    [HistoryEventKind.DrainWithdrawn]: ({ targets, at }) => {
      this.drains.close(targets, at)
      this.safeToStop.close(targets, at)
    }
  }

  /** @param onViolation is called for each broken promise */
  constructor (private readonly onViolation: (violation: Violation) => void) {}

  /** @returns how many requests and executions are remembered, for reports on memory */
  countRemembered (): number {
    return this.requests.size + this.onceByName.size
  }

  /** @returns how many requests took the last free slot of a worker: a run without any says nothing of limits */
  countLastSlots (): number {
    return this.lastSlots
  }

  /** @returns how many requests came to workers whose limits were never declared, so that nothing could be checked */
  countUnlimited (): number {
    return this.unlimited
  }

  /** @param event the next event; not earlier than the one before */
  record (event: HistoryEvent): void {
    const handle = this.handlers[event.kind] as (event: HistoryEvent) => void
    handle(event)
  }

  private reportViolation (kind: ViolationKind, at: Instant, subject: string, detail: string): void {
    this.onViolation({ kind, at, subject, detail })
  }

  private checkAnswer (event: AnsweredEvent): void {
    const { requestId, answer, at, detail } = event
    const request = this.requests.recordAnswer(event)
    const kind = VIOLATION_BY_ANSWER[answer]
    if (kind !== undefined) this.reportViolation(kind, at, requestId, detail ?? '')
    if (answer === AnswerKind.NotRun && request.ranAt !== undefined) {
      this.reportViolation(ViolationKind.RanThoughNotRun, at, requestId, `ran at ${request.ranAt}, then: ${detail ?? ''}`)
    }
    this.checkCutAtEntry(event, request)
  }

  /** A caller loses its answer while the entry VM it asked is being stopped, and no worker spoilt that answer. */
  private checkCutAtEntry ({ answer, requestId, at, detail }: AnsweredEvent, { sent, fault }: RequestRecord): void {
    if (answer !== AnswerKind.Failed && answer !== AnswerKind.Unknown) return
    if (fault !== undefined || sent === undefined || !this.stops.hasOverlap(sent.entry, sent.at, at)) return
    this.reportViolation(ViolationKind.CutAtPlannedStop, at, requestId, `${answer} at ${sent.entry}: ${detail ?? ''}`)
  }

  private checkArrival (event: ArrivedEvent | ExecutionStartedEvent): void {
    if (!this.workers.addHeld(event)) return
    this.checkDrain(event)
    const { workerId, at } = event
    const held = this.workers.listHeld(workerId)
    const limits = this.workers.getLimits(workerId)
    if (limits === undefined) this.unlimited += 1
    const slots = limits?.slots ?? Infinity
    if (held.length === slots) this.lastSlots += 1
    if (held.length <= slots) return
    const holders = held.map(({ requestId, entryId, since }) => `${requestId} from ${entryId || '?'} since ${(at - since).toFixed(1)} ms`)
    this.reportViolation(ViolationKind.LimitExceeded, at, workerId, `${held.length} requests for ${slots} slots: ${holders.join(', ')}`)
  }

  private checkStart (event: ExecutionStartedEvent): void {
    this.checkArrival(event)
    const request = this.requests.recordStart(event)
    this.checkOnce(event, request)
    const { requestId, workerId, at } = event
    if (request.wasToldNotRun) this.reportViolation(ViolationKind.RanThoughNotRun, at, requestId, `runs at ${workerId} after its caller was told`)
  }

  /** One operation with a key has two names; it is reported once. */
  private checkOnce (event: ExecutionStartedEvent, request: RequestRecord): void {
    const { workerId, at, requestId } = event
    const known: OnceRecord[] = []
    const names = listOnceNames(event, request)
    for (const name of names) {
      const record = this.onceByName.get(name)
      if (record === undefined) this.onceByName.set(name, { workerId, isReported: false })
      else known.push(record)
    }
    const [first] = known
    if (first === undefined || known.some(({ isReported }) => isReported)) return
    for (const record of known) record.isReported = true
    this.reportViolation(ViolationKind.DoubledExecution, at, names[0] ?? '', `ran at ${first.workerId}, and as ${requestId} at ${workerId}`)
  }

  private checkEnd (event: ExecutionEndedEvent): void {
    const held = this.workers.removeHeld(event)
    const { workerId, at, end } = event
    // Safe to stop means that nothing is in flight, so whatever ends otherwise was cut off by the stop.
    if (held === undefined || end === ExecutionEnd.Answered || !this.stops.hasOverlap(workerId, held.since, at)) return
    this.reportViolation(ViolationKind.CutAtPlannedStop, at, held.requestId, `cut at ${workerId}`)
  }

  /** Work that a draining worker had to refuse was sent there all the same. */
  private checkDrain ({ workerId, requestId, at }: ArrivedEvent | ExecutionStartedEvent | OfferedEvent): void {
    const late = this.drains.find(workerId, at, DRAIN_GRACE_MS)
    const unsafe = this.safeToStop.find(workerId, at, 0)
    const span = unsafe ?? late
    if (span === undefined) return
    const cause = unsafe === undefined ? 'the announced drain' : 'safe to stop'
    this.reportViolation(ViolationKind.WorkAfterDrain, at, workerId, `${requestId} came ${(at - span.from).toFixed(0)} ms after ${cause}`)
  }

  private checkConnections ({ workerId, open, at }: ConnectionsCountedEvent): void {
    const bearable = this.workers.getLimits(workerId)?.connections ?? Infinity
    if (open > bearable) this.reportViolation(ViolationKind.LimitExceeded, at, workerId, `${open} connections of ${bearable}`)
  }
}

/** Names under which an execution must be the only one. */
function listOnceNames ({ service, idempotencyKey }: ExecutionStartedEvent, { sent }: RequestRecord): string[] {
  const names: string[] = []
  if (idempotencyKey !== undefined) names.push(`key ${service}/${idempotencyKey}`)
  if (sent !== undefined && !sent.isIdempotent) names.push(`operation ${sent.operationId}`)
  return names
}

/** At one instant, what a planned change concerns begins after its announcement and ends before its withdrawal. */
const RANK_BY_KIND: Readonly<Partial<Record<HistoryEventKind, number>>> = {
  [HistoryEventKind.LimitDeclared]: -1,
  [HistoryEventKind.DrainAnnounced]: -1,
  [HistoryEventKind.SafeToStop]: -1,
  [HistoryEventKind.StopBegan]: -1,
  [HistoryEventKind.DrainWithdrawn]: 1,
  [HistoryEventKind.StopEnded]: 1
}

/**
 * @param one an event
 * @param other another
 * @returns below 0 if `one` comes first; 0 keeps the order in which they were recorded
 */
export function compareEvents (one: HistoryEvent, other: HistoryEvent): number {
  return one.at - other.at || (RANK_BY_KIND[one.kind] ?? 0) - (RANK_BY_KIND[other.kind] ?? 0)
}

/**
 * @param events what callers, workers and planned changes left behind, in any order of several recorders
 * @returns every broken promise, in the order of the kinds; empty if all were kept
 */
export function checkHistory (events: readonly HistoryEvent[]): Violation[] {
  const found: Violation[] = []
  const checker = new HistoryChecker((violation) => found.push(violation))
  for (const event of [...events].sort(compareEvents)) checker.record(event)
  const kinds = Object.values(ViolationKind)
  return found.sort((one, other) => kinds.indexOf(one.kind) - kinds.indexOf(other.kind))
}
