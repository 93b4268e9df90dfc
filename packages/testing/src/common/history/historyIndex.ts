/** A history arranged for the checks: who asked what, what ran where and when. */
import type { Instant } from '@umberspar/base/common/clock'
import { HistoryEventKind } from './historyEvent.js'
import type {
  AnsweredEvent, ExecutionEndedEvent, ExecutionStartedEvent, HistoryEvent, OfferedEvent, PlannedEvent, SentEvent
} from './historyEvent.js'

/** One run of a request at a worker. */
export interface Execution {
  readonly started: ExecutionStartedEvent
  /** Undefined: still running when the history ended. */
  readonly ended: ExecutionEndedEvent | undefined
}

/** A span in which a planned change concerned a target. */
export interface PlannedSpan {
  readonly from: Instant
  /** Infinity: until the history ended. */
  readonly until: Instant
}

/** A history in the order of its instants, with its parts found by id. */
export interface HistoryIndex {
  readonly events: readonly HistoryEvent[]
  readonly sentById: ReadonlyMap<string, SentEvent>
  readonly answers: readonly AnsweredEvent[]
  readonly executions: readonly Execution[]
  readonly offers: readonly OfferedEvent[]
}

function listOfKind<K extends HistoryEventKind> (events: readonly HistoryEvent[], kind: K): Array<Extract<HistoryEvent, { kind: K }>> {
  return events.filter((event): event is Extract<HistoryEvent, { kind: K }> => event.kind === kind)
}

/**
 * @param events a history, in any order of several recorders
 * @returns its index; events of one instant keep the order in which they were recorded
 */
export function buildHistoryIndex (events: readonly HistoryEvent[]): HistoryIndex {
  const ordered = [...events].sort((one, other) => one.at - other.at)
  const endById = new Map(listOfKind(ordered, HistoryEventKind.ExecutionEnded).map((event) => [event.executionId, event]))
  const executions = listOfKind(ordered, HistoryEventKind.ExecutionStarted)
    .map((started) => ({ started, ended: endById.get(started.executionId) }))
  return {
    events: ordered,
    sentById: new Map(listOfKind(ordered, HistoryEventKind.Sent).map((event) => [event.requestId, event])),
    answers: listOfKind(ordered, HistoryEventKind.Answered),
    executions,
    offers: listOfKind(ordered, HistoryEventKind.Offered)
  }
}

/**
 * Pairs the events that begin and end a planned change, for each target.
 * @param index the history
 * @param opening the kind that begins a span
 * @param closing the kind that ends it
 * @returns the spans of each target
 */
export function listPlannedSpans (
  index: HistoryIndex,
  opening: PlannedEvent['kind'],
  closing: PlannedEvent['kind']
): Map<string, PlannedSpan[]> {
  const spans = new Map<string, PlannedSpan[]>()
  for (const event of index.events) {
    if (event.kind === opening) addOpenSpans(spans, event as PlannedEvent)
    if (event.kind === closing) closeOpenSpans(spans, event as PlannedEvent)
  }
  return spans
}

function addOpenSpans (spans: Map<string, PlannedSpan[]>, event: PlannedEvent): void {
  for (const target of event.targets) {
    const known = spans.get(target) ?? []
    known.push({ from: event.at, until: Infinity })
    spans.set(target, known)
  }
}

function closeOpenSpans (spans: Map<string, PlannedSpan[]>, event: PlannedEvent): void {
  for (const target of event.targets) {
    const known = spans.get(target) ?? []
    spans.set(target, known.map((span) => span.until === Infinity ? { from: span.from, until: event.at } : span))
  }
}
