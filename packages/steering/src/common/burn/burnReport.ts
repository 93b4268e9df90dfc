/** The service-level burn report: many daemons' counts against the objectives. */
import type { ServiceConfiguration } from '../configuration/configurationSchema.js'
import type { Instant } from '@umberspar/base/common/clock'
import type { BurnCounts, ServiceCounts } from './burnCounter.js'
import { BurnWindow } from './burnCounter.js'

/** What a service is measured against. */
export type ServiceObjective = ServiceConfiguration['objective']

/** One service as a daemon reports it. */
export interface ServiceBurn extends ServiceCounts {
  readonly objective: ServiceObjective
}

/** The answer of one daemon to `GET /v1/burn`. */
export interface NodeBurn {
  readonly services: Readonly<Record<string, ServiceBurn>>
}

/** Counts and what follows from them. */
export interface BurnFigures extends BurnCounts {
  /** The part of requests that were bad, 0 to 1; 0 without requests. */
  readonly errorRate: number
  /** How many times faster than allowed the error budget is used; 1 uses up exactly all of it. */
  readonly burnRate: number
}

/** One service of the report. */
export interface ServiceBurnReport {
  readonly objective: ServiceObjective
  readonly windows: Readonly<Record<BurnWindow, BurnFigures>>
  readonly total: BurnFigures
  /** The part of the error budget left over all counted requests; below 0 if overspent. */
  readonly errorBudgetLeft: number
}

/** The report over all daemons asked. */
export interface BurnReport {
  readonly services: Readonly<Record<string, ServiceBurnReport>>
}

/**
 * Judges one request.
 * @param objective the service's objective
 * @param isWhole whether the caller got a whole answer of the upstream
 * @param startedAt when the request arrived
 * @param endedAt when the answer had ended
 * @returns whether the request counts as good
 */
export function isGoodRequest (objective: ServiceObjective, isWhole: boolean, startedAt: Instant, endedAt: Instant): boolean {
  return isWhole && endedAt - startedAt <= objective.latencyMs
}

function addCounts (left: BurnCounts, right: BurnCounts): BurnCounts {
  return { good: left.good + right.good, bad: left.bad + right.bad }
}

function mergeService (left: ServiceBurn | undefined, right: ServiceBurn): ServiceBurn {
  if (left === undefined) return right
  const mergeWindow = (window: BurnWindow): BurnCounts => addCounts(left.windows[window], right.windows[window])
  return {
    // Daemons disagree only while a configuration spreads; the stricter objective is the safer to report.
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
 * Merges the counts of daemons.
 * @param nodes what each daemon counted
 * @returns the report, services in alphabetical order
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
