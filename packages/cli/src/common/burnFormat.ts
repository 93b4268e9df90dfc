/** The fleet-wide error budget report (`report burn`): decodes the nodes' counts, merges them and formats the result. */
import { BURN_WINDOWS, BurnWindow } from '@umberspar/steering/common/burn/burnCounter'
import type { BurnCounts } from '@umberspar/steering/common/burn/burnCounter'
import { buildBurnReport } from '@umberspar/steering/common/burn/burnReport'
import type { BurnReport, NodeBurn, ServiceBurn, ServiceBurnReport } from '@umberspar/steering/common/burn/burnReport'
import { isJsonObject, toNumber } from './jsonValue.js'
import { Align, formatTable } from './tableFormat.js'

/** The JSON document of `report burn`. */
export interface BurnDocument extends BurnReport {
  readonly nodesAsked: number
  readonly nodesAnswered: number
  /** Ids of nodes that did not answer, so their counts are missing from the report. */
  readonly unreachable: readonly string[]
}

function decodeCounts (value: unknown): BurnCounts | undefined {
  if (!isJsonObject(value)) return undefined
  const good = toNumber(value.good)
  const bad = toNumber(value.bad)
  return good === undefined || bad === undefined ? undefined : { good, bad }
}

function decodeServiceBurn (value: unknown): ServiceBurn | undefined {
  if (!isJsonObject(value) || !isJsonObject(value.objective) || !isJsonObject(value.windows)) return undefined
  const target = toNumber(value.objective.target)
  const latencyMs = toNumber(value.objective.latencyMs)
  const fiveMinutes = decodeCounts(value.windows[BurnWindow.FiveMinutes])
  const oneHour = decodeCounts(value.windows[BurnWindow.OneHour])
  const sixHours = decodeCounts(value.windows[BurnWindow.SixHours])
  const total = decodeCounts(value.total)
  if (target === undefined || latencyMs === undefined || total === undefined) return undefined
  if (fiveMinutes === undefined || oneHour === undefined || sixHours === undefined) return undefined
  const windows = {
    [BurnWindow.FiveMinutes]: fiveMinutes,
    [BurnWindow.OneHour]: oneHour,
    [BurnWindow.SixHours]: sixHours
  }
  return { objective: { target, latencyMs }, windows, total }
}

/**
 * @param value a node's answer
 * @returns the node's counts, or undefined if the counts of any service can't be decoded
 */
export function decodeNodeBurn (value: unknown): NodeBurn | undefined {
  if (!isJsonObject(value) || !isJsonObject(value.services)) return undefined
  const services: Record<string, ServiceBurn> = {}
  for (const [name, item] of Object.entries(value.services)) {
    const burn = decodeServiceBurn(item)
    if (burn === undefined) return undefined
    services[name] = burn
  }
  return { services }
}

/**
 * @param answers one for each node asked; `burn` is undefined if the node did not answer
 * @param service limits the report to this service, if given
 * @returns the counts of all nodes that answered, merged
 */
export function buildBurnDocument (
  answers: ReadonlyArray<{ readonly nodeId: string, readonly burn: NodeBurn | undefined }>,
  service: string | undefined
): BurnDocument {
  const burns = answers.flatMap(({ burn }) => burn === undefined ? [] : [burn])
  const report = buildBurnReport(burns)
  const services = Object.entries(report.services).filter(([name]) => service === undefined || name === service)
  return {
    nodesAsked: answers.length,
    nodesAnswered: burns.length,
    unreachable: answers.filter(({ burn }) => burn === undefined).map(({ nodeId }) => nodeId),
    services: Object.fromEntries(services)
  }
}

function formatPercent (ratio: number): string {
  return `${(ratio * 100).toFixed(3)}%`
}

function formatRow (name: string, report: ServiceBurnReport): readonly string[] {
  const windows = BURN_WINDOWS.flatMap((window) => {
    const windowReport = report.windows[window]
    return [formatPercent(windowReport.errorRate), windowReport.burnRate.toFixed(2)]
  })
  const objective = `${formatPercent(report.objective.target)} in ${report.objective.latencyMs} ms`
  return [name, objective, ...windows, formatPercent(report.errorBudgetLeft)]
}

/**
 * @param document the merged report
 * @returns a summary line and a table with one row for each service
 */
export function formatBurn (document: BurnDocument): string {
  const missing = document.unreachable.length === 0 ? '' : `; without ${document.unreachable.join(', ')}`
  const windowColumns = BURN_WINDOWS.flatMap((window) => [
    { title: `ERRORS ${window}`, align: Align.Right }, { title: `BURN ${window}`, align: Align.Right }
  ])
  const columns = [{ title: 'SERVICE' }, { title: 'OBJECTIVE' }, ...windowColumns, { title: 'BUDGET LEFT', align: Align.Right }]
  const rows = Object.entries(document.services).map(([name, report]) => formatRow(name, report))
  return `counts of ${document.nodesAnswered} of ${document.nodesAsked} nodes${missing}\n${formatTable(columns, rows)}`
}
