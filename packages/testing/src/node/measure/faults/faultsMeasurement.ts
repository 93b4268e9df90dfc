/**
 * `npm run measure -- faults`: a whole deployment as processes, with everything
 * going wrong that the brief names, and every promise checked as the run goes on.
 */
import { CloseStack } from '@umberspar/base/common/closing'
import { AnswerKind } from '../../../common/history/historyEvent.js'
import { MIX_BY_DEPLOYMENT } from '../../../common/load/mixes.js'
import type { LoadReport, ServiceSummary } from '../../load/loadReport.js'
import type { LoadTotals } from '../../load/loadRunner.js'
import { buildLimitDeclared, listWorkerIds } from '../../deployment/workerLimits.js'
import { RegionalLoad } from '../../load/regionalLoad.js'
import { MachineClock } from '../../machineClock.js'
import { printLine } from '../../terminal.js'
import { waitUntil } from '../../waiting.js'
import type { FigureRow, Measurement, MeasureOptions } from '../measurement.js'
import { printFigures } from '../measurement.js'
import { DaemonFleet } from './daemonFleet.js'
import { DisturbanceKind, REQUEST_FAULTS } from './disturbance.js'
import { Disturber } from './disturber.js'
import { FaultsHistory } from './faultsHistory.js'
import { FaultsPlatform } from './faultsPlatform.js'

const NAME = 'faults'
const ENTRIES = 12
const DEFAULT_RATE = 1000
/** Short, so that a request that hangs is given up within the run's other events. */
const ANSWER_WITHIN_MS = 3000
/** Poisson arrivals vary; so much longer than the mean needs, the number asked for is reached. */
const SPAN_MARGIN = 1.01
const MS_PER_SECOND = 1000
const BYTES_PER_KB = 1024
const SHOWN_DETAILS = 10
/** Parts of the rate, one after the other. */
const WARM_UP_RATES = [0.2, 0.5]
const WARM_UP_STEP_MS = 5000
/** Keeps the ids of the warm-up apart from those of any run. */
const WARM_UP_SEED_OFFSET = 1_000_000
/** How long workers may still end what was given up before the run is checked to its end. */
const SETTLE_MS = 500

/** One run. */
class FaultsRun {
  private readonly history: FaultsHistory
  private readonly disturber: Disturber

  constructor (
    private readonly options: MeasureOptions,
    private readonly clock: MachineClock,
    private readonly platform: FaultsPlatform,
    private readonly daemons: DaemonFleet
  ) {
    const { seed } = options
    this.history = new FaultsHistory(clock)
    this.recordLimits()
    platform.onDidRecord((batch) => this.history.accept(batch))
    this.disturber = new Disturber({ clock, seed, platform, daemons, history: this.history })
  }

  /** @returns why the run breaks a promise or is not valid; empty if neither */
  async run (): Promise<string[]> {
    const { seed, rate, requests } = this.options
    await this.runWarmUp()
    await this.platform.callControl({ target: 'workers', fault: REQUEST_FAULTS })
    const load = this.createLoad(seed, rate, requests / rate * MS_PER_SECOND * SPAN_MARGIN)
    const ended = new AbortController()
    const disturbing = this.disturber.run(ended.signal)
    const totals = await load.run()
    ended.abort()
    await disturbing
    await waitUntil(this.clock, this.clock.now() + SETTLE_MS)
    await this.platform.waitForBatch(this.clock)
    this.history.finish()
    await load.close()
    return this.reportRun(load.report, totals)
  }

  /**
   * Said here and not by the workers' process, whose first batches come before
   * anybody listens: without its limits a worker seems to bear anything.
   */
  private recordLimits (): void {
    const { configuration } = this.platform
    const at = this.clock.now()
    for (const workerId of listWorkerIds(configuration)) {
      const limits = buildLimitDeclared(configuration, workerId, at)
      if (limits !== undefined) this.history.record(limits)
    }
  }

  /** Opens connections and lets the programs be compiled: checked, but no part of the latencies. */
  private async runWarmUp (): Promise<void> {
    const { seed, rate } = this.options
    for (const [index, part] of WARM_UP_RATES.entries()) {
      const load = this.createLoad(seed + WARM_UP_SEED_OFFSET * (index + 1), rate * part, WARM_UP_STEP_MS)
      await load.run()
      await load.close()
    }
  }

  private createLoad (seed: number, ratePerSecond: number, spanMs: number): RegionalLoad {
    const { clock, platform, daemons, history } = this
    return new RegionalLoad({
      clock,
      seed,
      configuration: platform.configuration,
      mixes: MIX_BY_DEPLOYMENT[this.options.deployment],
      bootstrapAddresses: daemons.settings.map(({ callers }) => callers.address),
      ratePerSecond,
      startUntil: clock.now() + spanMs,
      answerWithinMs: ANSWER_WITHIN_MS,
      history
    })
  }

  private reportRun (report: LoadReport, totals: LoadTotals): string[] {
    const summaries = report.listSummaries()
    const { violations, faults, shown, events, executions } = this.history
    printFigures(`${NAME} latency`, summaries.map(buildServiceRow))
    printFigures(`${NAME} violations`, [{ requests: totals.started, ...Object.fromEntries(violations) }])
    printFigures(`${NAME} planted`, [{ ...Object.fromEntries([...faults].sort()) }])
    const disturbances = Object.values(DisturbanceKind).map((kind) => [kind, this.disturber.counts.get(kind) ?? 0])
    printFigures(`${NAME} disturbances`, [{ ...Object.fromEntries(disturbances) }])
    const details = [...this.history.attemptDetails].sort(([, one], [, other]) => other - one).slice(0, SHOWN_DETAILS)
    for (const [detail, count] of details) printLine(`attempts not whole: ${count} x ${detail}`)
    for (const { kind, at, subject, detail } of shown) printLine(`broken: ${at.toFixed(1)} ${kind} ${subject}: ${detail}`)
    const peakMb = process.resourceUsage().maxRSS / BYTES_PER_KB
    printLine(`${this.options.deployment}, ${this.daemons.settings.length} daemons, ${this.options.rate} requests a second, seed ${this.options.seed}; ` +
      `${events} events and ${executions} executions checked, ${this.history.countLastSlots()} of them took a worker's last slot, ${this.history.countRemembered()} remembered at the end; this process took at most ${peakMb.toFixed(0)} MB`)
    return this.listReasons(totals, summaries)
  }

  private listReasons (totals: LoadTotals, summaries: readonly ServiceSummary[]): string[] {
    const broken = [...this.history.violations].filter(([, count]) => count > 0).map(([kind, count]) => `${kind}: ${count}`)
    const whole = summaries.reduce((sum, { answers }) => sum + answers[AnswerKind.Complete] + answers[AnswerKind.AlreadyRan], 0)
    // Each request that its caller knows to have run was made by an execution; fewer of them mean that the checks saw only a part of the run.
    if (this.history.executions < whole) broken.push(`only ${this.history.executions} executions for ${whole} requests that ran`)
    const unlimited = this.history.countUnlimited()
    if (unlimited > 0) broken.push(`${unlimited} requests at workers whose limits nobody declared: limits were not checked`)
    if (totals.skipped > 0) broken.push(`${totals.skipped} arrivals were skipped`)
    if (totals.started < this.options.requests) broken.push(`only ${totals.started} requests were sent`)
    return [...broken, ...this.disturber.failures]
  }
}

function buildServiceRow ({ service, count, attempts, answers, p50Ms, p99Ms, p999Ms, maxMs }: ServiceSummary): FigureRow {
  return {
    service,
    requests: count,
    attempts,
    whole: answers[AnswerKind.Complete],
    alreadyRan: answers[AnswerKind.AlreadyRan],
    notRun: answers[AnswerKind.NotRun] + answers[AnswerKind.NotSent],
    unknown: answers[AnswerKind.Unknown],
    cut: answers[AnswerKind.Failed],
    p50Ms,
    p99Ms,
    p999Ms,
    maxMs
  }
}

async function runFaults (options: MeasureOptions): Promise<string | undefined> {
  const clock = new MachineClock()
  const closing = new CloseStack()
  try {
    const { deployment, seed } = options
    const platform = closing.add(await FaultsPlatform.spawn({ deployment, entries: ENTRIES, seed }))
    const daemons = closing.add(new DaemonFleet(clock, platform.settings))
    await daemons.start()
    const reasons = await new FaultsRun(options, clock, platform, daemons).run()
    return reasons.length === 0 ? undefined : reasons.join('; ')
  } finally {
    await closing.close()
  }
}

/** `npm run measure -- faults` */
export const FAULTS_MEASUREMENT: Measurement = {
  summary: 'every promise checked over requests with faults, kills, restarts and outages',
  defaultRate: DEFAULT_RATE,
  run: runFaults
}
