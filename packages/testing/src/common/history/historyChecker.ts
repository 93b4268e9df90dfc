/** Checks a history against the product's promises to callers and upstreams. */
import type { Instant } from '@umberspar/base/common/clock'
import { AnswerKind, ExecutionEnd, HistoryEventKind } from './historyEvent.js'
import type { AnsweredEvent, HistoryEvent, LimitDeclaredEvent } from './historyEvent.js'
import { buildHistoryIndex, listPlannedSpans } from './historyIndex.js'
import type { Execution, HistoryIndex, PlannedSpan } from './historyIndex.js'

/** A promise that a history breaks. */
export enum ViolationKind {
  /** A request that may not be repeated, or an idempotency key, ran more than once. */
  DoubledExecution = 'doubled-execution',
  /** A caller was told `not-run` of an attempt that some worker ran. */
  RanThoughNotRun = 'ran-though-not-run',
  /** An answer ended as if complete although a part was missing. */
  TruncatedAnswer = 'truncated-answer',
  /** A caller got the answer to another request. */
  CrossedAnswer = 'crossed-answer',
  /** A worker ran more requests than it has slots, or had more connections than it bears. */
  LimitExceeded = 'limit-exceeded',
  /** A worker got new work although it had announced its drain, or after it was safe to stop. */
  WorkAfterDrain = 'work-after-drain',
  /** A planned stop cut off a request in flight. */
  CutAtPlannedStop = 'cut-at-planned-stop'
}

/** One broken promise. */
export interface Violation {
  readonly kind: ViolationKind
  readonly at: Instant
  /** The request, key, worker or entry VM concerned. */
  readonly subject: string
  readonly detail: string
}

/** A leaving upstream gets no new work later than this after its announcement. */
export const DRAIN_GRACE_MS = 2000

type Check = (index: HistoryIndex) => Violation[]

/** What each promise is checked by. */
const CHECKS: Readonly<Record<ViolationKind, Check>> = {
  [ViolationKind.DoubledExecution]: checkDoubledExecutions,
  [ViolationKind.RanThoughNotRun]: checkNotRunAnswers,
  [ViolationKind.TruncatedAnswer]: (index) => listAnswers(index, AnswerKind.Truncated, ViolationKind.TruncatedAnswer),
  [ViolationKind.CrossedAnswer]: (index) => listAnswers(index, AnswerKind.Crossed, ViolationKind.CrossedAnswer),
  [ViolationKind.LimitExceeded]: checkLimits,
  [ViolationKind.WorkAfterDrain]: checkWorkAfterDrain,
  [ViolationKind.CutAtPlannedStop]: checkPlannedStops
}

/**
 * @param events what callers, workers and planned changes left behind, on one time line
 * @returns every broken promise, in the order of the kinds; empty if all were kept
 */
export function checkHistory (events: readonly HistoryEvent[]): Violation[] {
  const index = buildHistoryIndex(events)
  return Object.values(CHECKS).flatMap((check) => check(index))
}

/**
 * @param violations what a check found
 * @returns how often each kind was found; every kind is present
 */
export function countViolations (violations: readonly Violation[]): Record<ViolationKind, number> {
  const kinds = Object.values(ViolationKind)
  const counts = Object.fromEntries(kinds.map((kind) => [kind, 0])) as Record<ViolationKind, number>
  for (const violation of violations) counts[violation.kind] += 1
  return counts
}

function addToGroup<T> (groups: Map<string, T[]>, name: string, member: T): void {
  const members = groups.get(name)
  if (members === undefined) groups.set(name, [member])
  else members.push(member)
}

/** Names under which an execution must be the only one. */
function listOnceNames (index: HistoryIndex, execution: Execution): string[] {
  const { requestId, service, idempotencyKey } = execution.started
  const sent = index.sentById.get(requestId)
  const names: string[] = []
  if (idempotencyKey !== undefined) names.push(`key ${service}/${idempotencyKey}`)
  if (sent !== undefined && !sent.isIdempotent) names.push(`operation ${sent.operationId}`)
  return names
}

function checkDoubledExecutions (index: HistoryIndex): Violation[] {
  const groups = new Map<string, Execution[]>()
  for (const execution of index.executions) {
    for (const name of listOnceNames(index, execution)) addToGroup(groups, name, execution)
  }
  const violations = new Map<string, Violation>()
  for (const [subject, members] of groups) {
    const second = members[1]
    if (second === undefined) continue
    const ids = members.map(({ started }) => started.executionId).join()
    const detail = `ran ${members.length} times, at ${members.map(({ started }) => started.workerId).join(', ')}`
    // One doubled operation with a key is in two groups of the same members: one violation.
    violations.set(ids, { kind: ViolationKind.DoubledExecution, at: second.started.at, subject, detail })
  }
  return [...violations.values()]
}

function checkNotRunAnswers (index: HistoryIndex): Violation[] {
  const executionById = new Map(index.executions.map((execution) => [execution.started.requestId, execution]))
  const violations: Violation[] = []
  for (const answer of index.answers) {
    if (answer.answer !== AnswerKind.NotRun) continue
    const execution = executionById.get(answer.requestId)
    if (execution === undefined) continue
    const detail = `ran at ${execution.started.workerId}`
    violations.push({ kind: ViolationKind.RanThoughNotRun, at: answer.at, subject: answer.requestId, detail })
  }
  return violations
}

function listAnswers (index: HistoryIndex, answer: AnswerKind, kind: ViolationKind): Violation[] {
  return index.answers
    .filter((event) => event.answer === answer)
    .map((event) => ({ kind, at: event.at, subject: event.requestId, detail: event.detail ?? '' }))
}

/** Counts what runs at each worker, event by event. */
function checkLimits (index: HistoryIndex): Violation[] {
  const limits = new Map<string, LimitDeclaredEvent>()
  const running = new Map<string, number>()
  const violations: Violation[] = []
  const report = (at: Instant, subject: string, detail: string): void => {
    violations.push({ kind: ViolationKind.LimitExceeded, at, subject, detail })
  }
  for (const event of index.events) {
    if (event.kind === HistoryEventKind.LimitDeclared) {
      limits.set(event.workerId, event)
    } else if (event.kind === HistoryEventKind.ExecutionStarted) {
      const count = (running.get(event.workerId) ?? 0) + 1
      running.set(event.workerId, count)
      const slots = limits.get(event.workerId)?.slots ?? Infinity
      if (count > slots) report(event.at, event.workerId, `${count} requests in ${slots} slots`)
    } else if (event.kind === HistoryEventKind.ExecutionEnded) {
      running.set(event.workerId, (running.get(event.workerId) ?? 0) - 1)
    } else if (event.kind === HistoryEventKind.ConnectionsCounted) {
      const bearable = limits.get(event.workerId)?.connections ?? Infinity
      if (event.open > bearable) report(event.at, event.workerId, `${event.open} connections of ${bearable}`)
    }
  }
  return violations
}

function findSpan (spans: readonly PlannedSpan[] | undefined, at: Instant, graceMs: number): PlannedSpan | undefined {
  return spans?.find((span) => at > span.from + graceMs && at <= span.until)
}

function checkWorkAfterDrain (index: HistoryIndex): Violation[] {
  const announced = listPlannedSpans(index, HistoryEventKind.DrainAnnounced, HistoryEventKind.DrainWithdrawn)
  const safe = listPlannedSpans(index, HistoryEventKind.SafeToStop, HistoryEventKind.DrainWithdrawn)
  const violations: Violation[] = []
  // Work that a draining worker had to refuse was sent there all the same.
  const arrivals = [...index.executions.map(({ started }) => started), ...index.offers]
  for (const { workerId, requestId, at } of arrivals) {
    const late = findSpan(announced.get(workerId), at, DRAIN_GRACE_MS)
    const unsafe = findSpan(safe.get(workerId), at, 0)
    const span = unsafe ?? late
    if (span === undefined) continue
    const cause = unsafe === undefined ? 'the announced drain' : 'safe to stop'
    const detail = `${requestId} came ${(at - span.from).toFixed(0)} ms after ${cause}`
    violations.push({ kind: ViolationKind.WorkAfterDrain, at, subject: workerId, detail })
  }
  return violations
}

function isOpenDuring (spans: readonly PlannedSpan[] | undefined, from: Instant, until: Instant): boolean {
  return spans?.some((span) => from <= span.until && until >= span.from) ?? false
}

function checkPlannedStops (index: HistoryIndex): Violation[] {
  const stops = listPlannedSpans(index, HistoryEventKind.StopBegan, HistoryEventKind.StopEnded)
  const kind = ViolationKind.CutAtPlannedStop
  const atWorkers = index.executions.flatMap(({ started, ended }) => {
    // Safe to stop means that nothing is in flight, so whatever ends otherwise was cut off by the stop.
    if (ended === undefined || ended.end === ExecutionEnd.Answered) return []
    if (!isOpenDuring(stops.get(started.workerId), started.at, ended.at)) return []
    return [{ kind, at: ended.at, subject: started.requestId, detail: `cut at ${started.workerId}` }]
  })
  return [...atWorkers, ...index.answers.flatMap((answer) => listCutAtEntry(index, stops, answer))]
}

/** A caller loses its answer while the entry VM it asked is being stopped. */
function listCutAtEntry (index: HistoryIndex, stops: Map<string, PlannedSpan[]>, answer: AnsweredEvent): Violation[] {
  if (answer.answer !== AnswerKind.Failed && answer.answer !== AnswerKind.Unknown) return []
  const sent = index.sentById.get(answer.requestId)
  if (sent === undefined || !isOpenDuring(stops.get(sent.entry), sent.at, answer.at)) return []
  const detail = `${answer.answer} at ${sent.entry}: ${answer.detail ?? ''}`
  return [{ kind: ViolationKind.CutAtPlannedStop, at: answer.at, subject: answer.requestId, detail }]
}
