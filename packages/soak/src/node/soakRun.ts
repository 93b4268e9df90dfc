/** One run of the soak: starts workers and entry processes, sends load while the plan's steps run, and checks the guarantees. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Instant } from '@umberspar/base/common/clock'
import { CloseStack } from '@umberspar/base/common/closing'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { chooseWeighted } from '@umberspar/testing/common/load/arrivals'
import { ArrivalPacing, runOpenLoop } from '@umberspar/testing/node/load/loadRunner'
import { fetchConfigurationVersion, fetchExchangeRows } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { type AccountInput, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { waitUntil } from '@umberspar/testing/node/waiting'
import { CALLER_ACCOUNT, GREEDY_ACCOUNT, GUEST_ACCOUNT } from '../common/soakAccounts.js'
import { computeDemand, planSoak, type SoakPlan, type SoakStepKind } from '../common/soakPlan.js'
import { SoakRule, type SoakViolation } from '../common/soakRule.js'
import { DisruptionTracker } from './disruptionTracker.js'
import { type RequestKind, SoakCallers } from './soakCallers.js'
import { SoakEntries } from './soakEntries.js'
import { SoakGuests } from './soakGuests.js'
import { SoakChecker } from './soakChecker.js'
import { runStep, type SoakEnvironment, StepOutcome } from './soakSteps.js'
import { SoakWorkers } from './soakWorkers.js'

/** The options of a run. */
export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  /** Number of entry processes. */
  readonly processes: number
  /** Requests per second of all callers together. */
  readonly rate: number
  /** Existing folder for the logs of the entry processes; undefined to discard them. */
  readonly logs?: string | undefined
}

/** The result of a run. */
export interface SoakResult {
  readonly seed: number
  readonly attempts: number
  readonly answers: Readonly<Record<string, number>>
  /** Number of completed steps by kind. */
  readonly steps: Readonly<Partial<Record<SoakStepKind, number>>>
  /** What each account got at each priority while a service lacked room. */
  readonly shares: ReturnType<SoakChecker['checkShares']>
  readonly violations: readonly SoakViolation[]
}

const REGIONS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south', 'south-2': 'south' }
const DOMAINS = Object.keys(REGIONS)
const KINDS: readonly RequestKind[] = [
  { prefix: '/status/', service: 'archive', method: 'GET', isIdempotent: true, bodyLength: 0, priority: 1, weight: 3 },
  { prefix: '/report/', service: 'archive', method: 'GET', isIdempotent: true, bodyLength: 0, priority: 3, weight: 3 },
  { prefix: '/assign/', service: 'desk', method: 'POST', isIdempotent: false, bodyLength: 200, priority: 1, weight: 3 },
  { prefix: '/upload/', service: 'desk', method: 'POST', isIdempotent: false, bodyLength: 20_000, priority: 1, weight: 1 }
]
const PATHS = KINDS.map(({ prefix, service, isIdempotent, priority }) => ({ Name: prefix.replaceAll('/', ''), Prefix: prefix, Service: service, Priority: priority, Kind: isIdempotent ? 'idempotent' : 'non_idempotent' }))
const SERVICES = ['archive', 'desk']
const WORKERS_PER_DOMAIN = 2
const DRAIN_UPDATE_INTERVAL_MS = 100
/** Period at the end of a run in which the system has recovered, and most requests must be served. */
const RECOVERED_MS = 3_000
const MIN_SERVED_RATIO = 0.95

/** A run in progress. */
class SoakRun {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly disruptions = new DisruptionTracker(this.clock)
  private readonly checker = new SoakChecker(this.clock, this.disruptions)
  private readonly records = new PlatformRecords(REGIONS)
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-soak-'))
  private readonly random
  private readonly plan: SoakPlan
  private readonly workers
  private readonly entries
  private readonly environment: SoakEnvironment
  private readonly steps: Partial<Record<SoakStepKind, number>> = {}

  constructor (private readonly options: SoakOptions) {
    this.random = new SeededRandom(options.seed)
    this.plan = planSoak(options.seed, options.seconds)
    this.closing.add(this.records.store)
    this.workers = this.closing.add(new SoakWorkers(this.records, this.checker, this.clock, this.random))
    this.entries = this.closing.add(new SoakEntries(this.records, this.folder, this.checker, this.clock, options.logs))
    const { clock, disruptions, checker, records, entries, workers } = this
    const greedyCallers = this.createCallers(GREEDY_ACCOUNT, KINDS.slice(0, 1), this.options.seed * 100 + DOMAINS.length)
    this.environment = { clock, disruptions, checker, records, entries, workers, greedyCallers, domains: DOMAINS, services: SERVICES, paths: PATHS, phases: this.plan.phases, isRushing: false }
  }

  async run (): Promise<SoakResult> {
    try {
      for (const domain of DOMAINS) {
        for (const service of SERVICES) {
          for (let index = 0; index < WORKERS_PER_DOMAIN; index++) await this.workers.add(service, domain, false)
        }
      }
      this.records.putConfiguration(PATHS, undefined, [CALLER_ACCOUNT, GREEDY_ACCOUNT, GUEST_ACCOUNT])
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
    const callers = this.createCallers(CALLER_ACCOUNT, KINDS, this.options.seed * 100)
    const { clock, checker, records } = this
    const guests = this.closing.add(new SoakGuests({
      clock,
      checker,
      records,
      random: new SeededRandom(this.options.seed + 1),
      paths: PATHS,
      path: `${KINDS[0]!.prefix}guest`,
      service: KINDS[0]!.service,
      listConnectAddresses: () => this.entries.list.map(({ settings }) => this.entries.getConnectAddress(settings.listen.callers))
    }))
    guests.start(startedAt + this.plan.untilMs - RECOVERED_MS)
    const drainTimer = setInterval(() => { this.checker.updateDrains() }, DRAIN_UPDATE_INTERVAL_MS)
    const load = runOpenLoop({
      clock: this.clock,
      random: new SeededRandom(this.options.seed),
      ratePerSecond: this.options.rate,
      maxOperations: Infinity,
      startUntil: startedAt + this.plan.untilMs,
      maxOpen: Infinity,
      pacing: ArrivalPacing.Timer
    }, async () => { await this.chooseCallers(callers, startedAt).run() })
    await Promise.all(this.plan.steps.map((step) => this.runStepAt(startedAt + step.atMs, step)))
    await waitUntil(this.clock, startedAt + this.plan.untilMs - RECOVERED_MS)
    const answersBefore = new Map(this.checker.answers)
    await load
    clearInterval(drainTimer)
    this.checkRecovery(answersBefore)
    await this.checkConfigurations()
  }

  private createCallers (account: AccountInput, kinds: readonly RequestKind[], seed: number): SoakCallers[] {
    return DOMAINS.map((domain, index) => this.closing.add(new SoakCallers({ region: REGIONS[domain as keyof typeof REGIONS], domain }, account, kinds, {
      listLookups: () => this.entries.list.map(({ settings }) => settings.listen.lookups),
      getConnectAddress: (entry) => this.entries.getConnectAddress(entry),
      buildBody: (requestId) => this.workers.buildBody(requestId)
    }, this.checker, this.clock, new SeededRandom(seed + index))))
  }

  private chooseCallers (callers: readonly SoakCallers[], startedAt: Instant): SoakCallers {
    const regions = [...new Set(Object.values(REGIONS))]
    const atMs = this.clock.now() - startedAt
    return chooseWeighted(this.random, callers, ({ location }) => computeDemand(this.plan, regions.indexOf(location.region), atMs))
  }

  private async runStepAt (at: number, step: SoakPlan['steps'][number]): Promise<void> {
    await waitUntil(this.clock, at)
    if (await runStep(this.environment, step) === StepOutcome.Done) this.steps[step.kind] = (this.steps[step.kind] ?? 0) + 1
  }

  private checkRecovery (answersBefore: ReadonlyMap<AnswerKind, number>): void {
    const count = (kind: AnswerKind): number => (this.checker.answers.get(kind) ?? 0) - (answersBefore.get(kind) ?? 0)
    const total = Object.values(AnswerKind).reduce((sum, kind) => sum + count(kind), 0)
    const served = count(AnswerKind.Complete)
    if (served < total * MIN_SERVED_RATIO) this.checker.report(SoakRule.NotRecovered, 'end of the run', `${served} of ${total} attempts were served`)
  }

  private async checkConfigurations (): Promise<void> {
    for (const { settings } of this.entries.list) {
      await this.checkExchange(settings.node, settings.listen.metrics)
      const version = await this.readVersion(settings.listen.metrics)
      if (version !== this.records.newestVersion) this.checker.report(SoakRule.NotConverged, settings.node, `uses version ${version}; the newest is ${this.records.newestVersion}`)
    }
  }

  /** Whether the VM knows the load of others again; without them there is nothing to know. */
  private async checkExchange (node: string, address: string): Promise<void> {
    if (this.entries.list.length < 2) return
    const rows = await fetchExchangeRows(address).catch(() => 0)
    if (!(rows > 0)) this.checker.report(SoakRule.NotRecovered, node, `knows ${rows} rows of the exchange`)
  }

  private async readVersion (address: string): Promise<number | undefined> {
    try {
      return await fetchConfigurationVersion(address)
    } catch (error) {
      this.checker.report(SoakRule.NotRecovered, address, `reading the metrics failed: ${String(error)}`)
      return undefined
    }
  }

  private buildResult (): SoakResult {
    return { seed: this.options.seed, attempts: this.checker.countAttempts(), answers: Object.fromEntries(this.checker.answers), steps: this.steps, shares: this.checker.checkShares(), violations: this.checker.violations }
  }
}

/**
 * Runs the soak once.
 * @param options the options of the run
 * @returns the result, after everything that the run started has ended
 */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  return await new SoakRun(options).run()
}
