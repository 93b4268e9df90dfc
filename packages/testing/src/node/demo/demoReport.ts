/** What the demo prints at its end: latency, headroom, times of changes, and broken promises. */
import { AnswerKind, HistoryEventKind } from '../../common/history/historyEvent.js'
import { checkHistory, countViolations, ViolationKind } from '../../common/history/historyChecker.js'
import type { Violation } from '../../common/history/historyChecker.js'
import { computePeakConcurrency } from '../../common/history/peakConcurrency.js'
import type { LocalDeployment } from '../deployment/localDeployment.js'
import type { LoadReport, ServiceSummary } from '../load/loadReport.js'
import type { LoadTotals } from '../load/loadRunner.js'
import { formatTable } from '../load/table.js'
import type { Column } from '../load/table.js'
import { writeLine } from '../terminal.js'
import type { ChangeTimes, DrainTimes } from './plannedChanges.js'

/** What the planned changes showed; a part is undefined if it failed. */
export interface DemoChanges {
  readonly patch: ChangeTimes | undefined
  readonly drain: DrainTimes | undefined
  /** Why a planned change failed. */
  readonly failures: readonly string[]
}

const SHOWN_VIOLATIONS = 5
const SHOWN_DETAILS = 5
const PERCENT = 100

interface ServiceRow {
  readonly summary: ServiceSummary
  readonly doubled: number
}

function formatMs (spanMs: number): string {
  return `${spanMs.toFixed(1)} ms`
}

const COLUMNS: ReadonlyArray<Column<ServiceRow>> = [
  { title: 'service', format: ({ summary }) => summary.service },
  { title: 'requests', format: ({ summary }) => String(summary.count) },
  { title: 'p50', format: ({ summary }) => formatMs(summary.p50Ms) },
  { title: 'p99', format: ({ summary }) => formatMs(summary.p99Ms) },
  { title: 'whole', format: ({ summary }) => String(summary.answers[AnswerKind.Complete]) },
  { title: 'already-ran', format: ({ summary }) => String(summary.answers[AnswerKind.AlreadyRan]) },
  { title: 'not-run', format: ({ summary }) => String(summary.answers[AnswerKind.NotRun] + summary.answers[AnswerKind.NotSent]) },
  { title: 'unknown', format: ({ summary }) => String(summary.answers[AnswerKind.Unknown]) },
  { title: 'cut', format: ({ summary }) => String(summary.answers[AnswerKind.Failed]) },
  { title: 'doubled', format: ({ doubled }) => String(doubled) }
]

/** The service of a doubled request, from the attempts of its operation or its key. */
function countDoubled (deployment: LocalDeployment, violations: readonly Violation[]): Map<string, number> {
  const serviceByName = new Map<string, string>()
  for (const event of deployment.history.events) {
    if (event.kind !== HistoryEventKind.Sent) continue
    serviceByName.set(`operation ${event.operationId}`, event.service)
    if (event.idempotencyKey !== undefined) serviceByName.set(`key ${event.service}/${event.idempotencyKey}`, event.service)
  }
  const counts = new Map<string, number>()
  for (const { kind, subject } of violations) {
    if (kind !== ViolationKind.DuplicateExecution) continue
    const service = serviceByName.get(subject) ?? ''
    counts.set(service, (counts.get(service) ?? 0) + 1)
  }
  return counts
}

function writeHeadroom (deployment: LocalDeployment): void {
  const { fleet } = deployment.platform
  const slots = new Map<string, number>()
  for (const event of deployment.history.events) {
    if (event.kind !== HistoryEventKind.LimitDeclared) continue
    const region = fleet.findWorker(event.workerId)?.region ?? ''
    slots.set(region, (slots.get(region) ?? 0) + event.slots)
  }
  const peaks = computePeakConcurrency(deployment.history.events, (workerId) => fleet.findWorker(workerId)?.region ?? '')
  const parts = [...slots].map(([region, count]) => {
    const headroom = (1 - (peaks.get(region) ?? 0) / count) * PERCENT
    return `${region} ${headroom.toFixed(0)} % (peak ${peaks.get(region) ?? 0} of ${count} slots)`
  })
  writeLine(`headroom: ${parts.join(', ')}`)
}

function writeChanges ({ patch, drain }: DemoChanges): void {
  if (patch !== undefined) writeLine(`patch in force everywhere after: ${formatMs(patch.inForceMs)} (version ${patch.version})`)
  if (drain !== undefined) writeLine(`drain time: ${formatMs(drain.drainMs)}, then ${drain.workers} workers stopped`)
}

/** Each request that its caller knows to have run was made by an execution; fewer of them mean that the checks saw only a part of the run. */
function checkCoverage (deployment: LocalDeployment, summaries: readonly ServiceSummary[]): string[] {
  const executions = deployment.history.events.filter(({ kind }) => kind === HistoryEventKind.ExecutionStarted).length
  const whole = summaries.reduce((sum, { answers }) => sum + answers[AnswerKind.Complete] + answers[AnswerKind.AlreadyRan], 0)
  writeLine(`checked: ${deployment.history.events.length} events, ${executions} executions`)
  return executions < whole ? [`only ${executions} executions were recorded for ${whole} requests that ran`] : []
}

function listBrokenPromises (violations: readonly Violation[], summaries: readonly ServiceSummary[], totals: LoadTotals): string[] {
  const counts = countViolations(violations)
  const broken = Object.entries(counts).filter(([, count]) => count > 0).map(([kind, count]) => `${kind}: ${count}`)
  const cut = summaries.reduce((sum, { answers }) => sum + answers[AnswerKind.Failed], 0)
  if (cut > 0) broken.push(`requests cut off: ${cut}`)
  if (totals.skipped > 0) broken.push(`requests that the callers could not start: ${totals.skipped}`)
  return broken
}

/**
 * Prints the end of a run.
 * @param deployment what ran
 * @param report how the requests ended
 * @param totals how many were started
 * @param changes how the planned changes went
 * @returns every reason why a promise broke; empty if all were kept
 */
export function reportDemo (deployment: LocalDeployment, report: LoadReport, totals: LoadTotals, changes: DemoChanges): string[] {
  deployment.recordConnectionPeaks()
  const violations = checkHistory(deployment.history.events)
  const doubled = countDoubled(deployment, violations)
  const summaries = report.listSummaries()
  const rows = summaries.map((summary) => ({ summary, doubled: doubled.get(summary.service) ?? 0 }))
  writeLine('')
  for (const line of formatTable(COLUMNS, rows)) writeLine(line)
  writeLine('')
  writeHeadroom(deployment)
  writeChanges(changes)
  for (const { detail, count } of report.listCommonDetails(SHOWN_DETAILS)) writeLine(`not whole: ${count} x ${detail}`)
  for (const { kind, subject, detail } of violations.slice(0, SHOWN_VIOLATIONS)) writeLine(`broken: ${kind} ${subject}: ${detail}`)
  return [...listBrokenPromises(violations, summaries, totals), ...checkCoverage(deployment, summaries), ...changes.failures]
}
