/** The burn report: how fast services use up the error budget of their service-level objectives, over many daemons. */
import type { ServiceConfiguration } from '../configuration/configurationSchema.js'
import type { Instant } from '@umberspar/base/common/clock'
import type { BurnCounts, ServiceCounts } from './burnCounter.js'
import { BurnWindow } from './burnCounter.js'

/** The service-level objective of a service. */
export type ServiceObjective = ServiceConfiguration['objective']

/** The objective and counts of one service, as reported by a daemon. */
export interface ServiceBurn extends ServiceCounts {
  readonly objective: ServiceObjective
}

/** The response of one daemon to `GET /v1/burn`. */
export interface NodeBurn {
  readonly services: Readonly<Record<string, ServiceBurn>>
}

/** Counts and the rates computed from them. */
export interface BurnFigures extends BurnCounts {
  /** The fraction of requests that were bad, from 0 to 1; 0 without requests. */
  readonly errorRate: number
  /** The error rate relative to the error rate that the objective allows; 1 uses up the error budget exactly. */
  readonly burnRate: number
}

/** The part of the report for one service. */
export interface ServiceBurnReport {
  readonly objective: ServiceObjective
  readonly windows: Readonly<Record<BurnWindow, BurnFigures>>
  readonly total: BurnFigures
  /** The fraction of the error budget that remains, over all counted requests; below 0 if it is exceeded. */
  readonly errorBudgetLeft: number
}

/** The report for all daemons that were queried. */
export interface BurnReport {
  readonly services: Readonly<Record<string, ServiceBurnReport>>
}

/**
 * Decides whether a request met its service's objective.
 * @param objective the service's objective
 * @param isComplete whether the caller received a complete response from the upstream
 * @param startedAt when the request arrived
 * @param endedAt when the response ended
 * @returns whether the request counts as good
 */
export function isGoodRequest (objective: ServiceObjective, isComplete: boolean, startedAt: Instant, endedAt: Instant): boolean {
  return isComplete && endedAt - startedAt <= objective.latencyMs
}

function addCounts (left: BurnCounts, right: BurnCounts): BurnCounts {
  return { good: left.good + right.good, bad: left.bad + right.bad }
}

function mergeService (left: ServiceBurn | undefined, right: ServiceBurn): ServiceBurn {
  if (left === undefined) return right
  const mergeWindow = (window: BurnWindow): BurnCounts => addCounts(left.windows[window], right.windows[window])
  return {
    // Objectives differ only while a new configuration is being distributed; the stricter one is the safer choice.
    objective: left.objective.target >= right.objective.target ? left.objective : right.objective,
    windows: {
      [BurnWindow.FiveMinutes]: mergeWindow(BurnWindow.FiveMinutes),
      [BurnWindow.OneHour]: mergeWindow(BurnWindow.OneHour),
      [BurnWindow.SixHours]: mergeWindow(BurnWindow.SixHours)
    },
    total: addCounts(left.total, right.total)
  }
}

function computeFigures (counts: BurnCounts, objective: ServiceObjective): BurnFigures {
  const requests = counts.good + counts.bad
  const errorRate = requests === 0 ? 0 : counts.bad / requests
  return { good: counts.good, bad: counts.bad, errorRate, burnRate: errorRate / (1 - objective.target) }
}

function buildServiceReport (burn: ServiceBurn): ServiceBurnReport {
  const total = computeFigures(burn.total, burn.objective)
  const reportWindow = (window: BurnWindow): BurnFigures => computeFigures(burn.windows[window], burn.objective)
  return {
    objective: burn.objective,
    windows: {
      [BurnWindow.FiveMinutes]: reportWindow(BurnWindow.FiveMinutes),
      [BurnWindow.OneHour]: reportWindow(BurnWindow.OneHour),
      [BurnWindow.SixHours]: reportWindow(BurnWindow.SixHours)
    },
    total,
    errorBudgetLeft: 1 - total.burnRate
  }
}

/**
 * Builds the report from the counts of several daemons.
 * @param nodes the counts of each daemon
 * @returns the report, with services in alphabetical order
 */
export function buildBurnReport (nodes: readonly NodeBurn[]): BurnReport {
  const merged = new Map<string, ServiceBurn>()
  for (const node of nodes) {
    for (const [service, burn] of Object.entries(node.services)) {
      merged.set(service, mergeService(merged.get(service), burn))
    }
  }
  const services = [...merged.keys()].sort().map((service): [string, ServiceBurnReport] => {
    return [service, buildServiceReport(merged.get(service) as ServiceBurn)]
  })
  return { services: Object.fromEntries(services) }
}
