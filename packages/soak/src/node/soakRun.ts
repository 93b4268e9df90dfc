/** One run of the soak: starts everything, sends the load beside the plan's steps, and judges. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CloseStack } from '@umberspar/base/common/closing'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { ArrivalPacing, runOpenLoop } from '@umberspar/testing/node/load/loadRunner'
import { fetchConfigurationVersion } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { waitUntil } from '@umberspar/testing/node/waiting'
import { CALLERS, GUESTS } from '../common/soakAccounts.js'
import { planSoak, type SoakPlan, type SoakStepKind } from '../common/soakPlan.js'
import { SoakRule, type SoakViolation } from '../common/soakRule.js'
import { Calm } from './calm.js'
import { type RequestKind, SoakCallers } from './soakCallers.js'
import { SoakEntries } from './soakEntries.js'
import { SoakGuests } from './soakGuests.js'
import { SoakJudge } from './soakJudge.js'
import { runStep, type SoakStage, StepEnd } from './soakSteps.js'
import { SoakWorkers } from './soakWorkers.js'

/** What to run. */
export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  /** Entry processes. */
  readonly processes: number
  /** Requests a second, of all callers. */
  readonly rate: number
}

/** What a run showed. */
export interface SoakResult {
  readonly seed: number
  readonly attempts: number
  readonly answers: Readonly<Record<string, number>>
  /** Steps done, by kind. */
  readonly steps: Readonly<Partial<Record<SoakStepKind, number>>>
  readonly violations: readonly SoakViolation[]
}

const REGIONS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south', 'south-2': 'south' }
const DOMAINS = Object.keys(REGIONS)
const KINDS: readonly RequestKind[] = [
  { prefix: '/status/', service: 'archive', method: 'GET', isIdempotent: true, bodyLength: 0, weight: 6 },
  { prefix: '/assign/', service: 'desk', method: 'POST', isIdempotent: false, bodyLength: 200, weight: 3 },
  { prefix: '/upload/', service: 'desk', method: 'POST', isIdempotent: false, bodyLength: 20_000, weight: 1 }
]
const PATHS = KINDS.map(({ prefix, service, isIdempotent }) => ({ Name: prefix.replaceAll('/', ''), Prefix: prefix, Service: service, Kind: isIdempotent ? 'idempotent' : 'non_idempotent' }))
const SERVICES = ['archive', 'desk']
const WORKERS_PER_DOMAIN = 2
const JUDGE_MS = 100
/** The last stretch of a run, in which everything works: most requests must be served, in milliseconds. */
const WELL_MS = 3_000
const LEAST_SERVED = 0.95

/** One run. */
class SoakRun {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly calm = new Calm(this.clock)
  private readonly judge = new SoakJudge(this.clock, this.calm)
  private readonly records = new PlatformRecords(REGIONS)
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-soak-'))
  private readonly random
  private readonly plan: SoakPlan
  private readonly workers
  private readonly entries
  private readonly stage: SoakStage
  private readonly steps: Partial<Record<SoakStepKind, number>> = {}

  constructor (private readonly options: SoakOptions) {
    this.random = new SeededRandom(options.seed)
    this.plan = planSoak(options.seed, options.seconds)
    this.closing.add(this.records.store)
    this.workers = this.closing.add(new SoakWorkers(this.records, this.judge, this.clock, this.random))
    this.entries = this.closing.add(new SoakEntries(this.records, this.folder, this.judge, this.clock))
    const { clock, calm, judge, records, entries, workers } = this
    this.stage = { clock, calm, judge, records, entries, workers, domains: DOMAINS, services: SERVICES, paths: PATHS }
  }

  /** Runs it. */
  async run (): Promise<SoakResult> {
    try {
      for (const domain of DOMAINS) {
        for (const service of SERVICES) {
          for (let index = 0; index < WORKERS_PER_DOMAIN; index++) await this.workers.add(service, domain, false)
        }
      }
      this.records.putConfiguration(PATHS, undefined, [CALLERS, GUESTS])
      await this.entries.start(this.options.processes)
      await this.runLoad()
      return this.buildResult()
    } finally {
      await this.closing.close()
      rmSync(this.folder, { recursive: true })
    }
  }

  private async runLoad (): Promise<void> {
    const startedAt = this.clock.now()
    const callers = DOMAINS.map((domain, index) => this.closing.add(new SoakCallers({ region: REGIONS[domain as keyof typeof REGIONS], domain }, KINDS, {
      listLookups: () => this.entries.list.map(({ settings }) => settings.listen.lookups),
      getWay: (entry) => this.entries.getWay(entry),
      buildBody: (requestId) => this.workers.buildBody(requestId)
    }, this.judge, this.clock, new SeededRandom(this.options.seed * 100 + index))))
    const { clock, judge, records } = this
    const guests = this.closing.add(new SoakGuests({
      clock,
      judge,
      records,
      random: new SeededRandom(this.options.seed + 1),
      paths: PATHS,
      path: `${KINDS[0]!.prefix}guest`,
      service: KINDS[0]!.service,
      listWays: () => this.entries.list.map(({ settings }) => this.entries.getWay(settings.listen.callers))
    }))
    guests.start(startedAt + this.plan.untilMs - WELL_MS)
    const judging = setInterval(() => { this.judge.updateLeaving() }, JUDGE_MS)
    const load = runOpenLoop({
      clock: this.clock,
      random: new SeededRandom(this.options.seed),
      ratePerSecond: this.options.rate,
      maxOperations: Infinity,
      startUntil: startedAt + this.plan.untilMs,
      maxOpen: Infinity,
      pacing: ArrivalPacing.Timer
    }, async () => { await callers[Math.floor(this.random.next() * callers.length)]!.run() })
    await Promise.all(this.plan.steps.map((step) => this.runStepAt(startedAt + step.atMs, step)))
    await waitUntil(this.clock, startedAt + this.plan.untilMs - WELL_MS)
    const before = new Map(this.judge.answers)
    await load
    clearInterval(judging)
    this.checkRecovery(before)
    await this.checkConfigurations()
  }

  private async runStepAt (at: number, step: SoakPlan['steps'][number]): Promise<void> {
    await waitUntil(this.clock, at)
    if (await runStep(this.stage, step) === StepEnd.Done) this.steps[step.kind] = (this.steps[step.kind] ?? 0) + 1
  }

  private checkRecovery (before: ReadonlyMap<AnswerKind, number>): void {
    const count = (kind: AnswerKind): number => (this.judge.answers.get(kind) ?? 0) - (before.get(kind) ?? 0)
    const all = Object.values(AnswerKind).reduce((sum, kind) => sum + count(kind), 0)
    const whole = count(AnswerKind.Whole)
    if (whole < all * LEAST_SERVED) this.judge.report(SoakRule.NotRecovered, 'the last seconds', `${whole} of ${all} attempts were served`)
  }

  private async checkConfigurations (): Promise<void> {
    for (const { settings } of this.entries.list) {
      const version = await this.readVersion(settings.listen.metrics)
      if (version !== this.records.newestVersion) this.judge.report(SoakRule.NotConverged, settings.node, `version ${version}, newest is ${this.records.newestVersion}`)
    }
  }

  private async readVersion (address: string): Promise<number | undefined> {
    try {
      return await fetchConfigurationVersion(address)
    } catch (thrown) {
      this.judge.report(SoakRule.NotRecovered, address, `metrics could not be read: ${String(thrown)}`)
      return undefined
    }
  }

  private buildResult (): SoakResult {
    return { seed: this.options.seed, attempts: this.judge.countAttempts(), answers: Object.fromEntries(this.judge.answers), steps: this.steps, violations: this.judge.violations }
  }
}

/**
 * @param options what to run
 * @returns what it showed, once all that it started has ended
 */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  return await new SoakRun(options).run()
}
