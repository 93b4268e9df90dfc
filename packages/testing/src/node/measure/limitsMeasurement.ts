/** Three ways of sharing a place's slots among entry VMs, the same arrivals for each. */
import type { WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { DeploymentName } from '../../common/load/mixes.js'
import { printLine } from '../terminal.js'
import { LimitsBench, type LimitsCase, type LimitsOutcome, SharingWay } from './limitsBench.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'limits'
const BETWEEN_DOMAINS_MS = 0.5

/** The brief's sizes: workers of one service in one failure domain, and delays. */
interface Size {
  readonly slots: readonly number[]
  readonly connections: number
  readonly meanSpanMs: number
  readonly farOneWayMs: number
}

const SIZES: Readonly<Record<DeploymentName, Size>> = {
  [DeploymentName.Teratai]: { slots: [4, 3, 4], connections: 360, meanSpanMs: 8, farOneWayMs: 35 },
  [DeploymentName.Guild]: { slots: [3, 5, 4], connections: 390, meanSpanMs: 8, farOneWayMs: 20 }
}

/** Where requests arrive. */
const SKEWS: ReadonlyArray<{ readonly name: string, readonly arrivals: readonly number[], readonly owners: number }> = [
  { name: '50:50', arrivals: [0.5, 0.5], owners: 2 },
  { name: '80:20', arrivals: [0.8, 0.2], owners: 2 },
  { name: '55:15:15:15', arrivals: [0.55, 0.15, 0.15, 0.15], owners: 4 },
  { name: '40:40, 20 from afar', arrivals: [0.4, 0.4, 0.2], owners: 2 }
]
const LOADS = [0.3, 0.6, 0.8]

function buildCase (options: MeasureOptions, skew: typeof SKEWS[number], load: number): LimitsCase {
  const { slots, connections, meanSpanMs, farOneWayMs } = SIZES[options.deployment]
  const workers: Record<string, WorkerConfiguration> = {}
  for (const [index, each] of slots.entries()) workers[`w${index}`] = { address: `127.0.0.1:${index + 1}`, slots: each, connections }
  return { ...skew, load, workers, meanSpanMs, oneWayMs: BETWEEN_DOMAINS_MS, farOneWayMs, seconds: options.seconds, seed: options.seed }
}

function buildRow (limitsCase: LimitsCase, way: SharingWay, outcome: LimitsOutcome, baseline: LimitsOutcome): FigureRow {
  const { served, refused, messages } = outcome
  return {
    arrivals: limitsCase.name,
    load: limitsCase.load,
    way,
    'refused %': 100 * refused / (served + refused),
    p50Ms: outcome.p50Ms,
    p99Ms: outcome.p99Ms,
    'p99 ratio': outcome.p99Ms / baseline.p99Ms,
    headroom: outcome.headroom,
    'headroom ratio': baseline.headroom === 0 ? '' : outcome.headroom / baseline.headroom,
    'worst use': outcome.worstUse,
    'messages/s': messages / limitsCase.seconds
  }
}

async function runLimits (options: MeasureOptions): Promise<string | undefined> {
  const rows: FigureRow[] = []
  let worst = 0
  for (const skew of SKEWS) {
    for (const load of LOADS) {
      const limitsCase = buildCase(options, skew, load)
      const baseline = await new LimitsBench(limitsCase, SharingWay.EqualSplit).run()
      for (const way of Object.values(SharingWay)) {
        const outcome = way === SharingWay.EqualSplit ? baseline : await new LimitsBench(limitsCase, way).run()
        rows.push(buildRow(limitsCase, way, outcome, baseline))
        worst = Math.max(worst, outcome.worstUse)
      }
    }
  }
  printFigures(NAME, rows)
  printLine(`${options.deployment}: one place of ${SIZES[options.deployment].slots.join('+')} slots, ${options.seconds} s of simulated time for each case, seed ${options.seed}; real PlacePool and LoanKeeper, arrivals, service times and delays modelled`)
  return worst > 1 ? 'a worker had more requests than slots' : undefined
}

/** `npm run measure -- limits` */
export const LIMITS_MEASUREMENT: Measurement = {
  summary: 'equal split, split with loans and owner with hop side by side, on simulated time',
  run: runLimits
}
