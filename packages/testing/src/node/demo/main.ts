/**
 * `npm run demo`: a whole deployment in one process. Carries requests of every
 * service from every region while operators patch the configuration and drain a
 * failure domain, then checks every promise against the history of the run.
 */
import { performance } from 'node:perf_hooks'
import { hideBin } from 'yargs/helpers'
import type { Instant } from '@umberspar/base/common/clock'
import { CloseStack } from '@umberspar/base/common/closing'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { MIX_BY_DEPLOYMENT } from '../../common/load/mixes.js'
import { LocalDeployment } from '../deployment/localDeployment.js'
import { RegionalLoad } from '../load/regionalLoad.js'
import { endAfterOutput } from '../endAfterOutput.js'
import { printLine, writeLine } from '../terminal.js'
import { waitUntil } from '../waiting.js'
import { parseDemoOptions } from './demoOptions.js'
import type { DemoOptions } from './demoOptions.js'
import { reportDemo } from './demoReport.js'
import type { DemoChanges } from './demoReport.js'
import { PlannedChanges } from './plannedChanges.js'
import { runPlatformDemo } from './platformDemo.js'
import type { ChangeTimes, DrainTimes } from './plannedChanges.js'

const READY_WITHIN_MS = 20_000
const PROGRESS_EVERY_MS = 2000
const MS_PER_SECOND = 1000
const PERCENT = 100
const EXIT_BROKEN = 1
/** Of every service from every region: opens connections and lets the program be compiled. */
const WARM_UP_REQUESTS = 50
/** Keeps the ids of the warm-up apart from those of any run. */
const WARM_UP_SEED_OFFSET = 1_000_000
const PATCHED_LOOKUP_CACHE_MS = 1500

/** When each change begins, as a part of the time that the load takes. */
const PATCH_AT = 0.1
const WORKER_LEAVES_AT = 0.2
const DRAIN_AT = 0.3

/** Runs the changes at their times; a change that fails does not keep the others from running. */
class ChangeSchedule {
  private readonly failures: string[] = []
  private patchTimes: ChangeTimes | undefined
  private drainTimes: DrainTimes | undefined

  constructor (
    private readonly deployment: LocalDeployment,
    private readonly changes: PlannedChanges,
    private readonly startedAt: Instant,
    private readonly loadSpanMs: number
  ) {}

  async run (): Promise<DemoChanges> {
    const [first, second] = Object.values(this.deployment.configuration.regions)
    const drained = first?.failureDomains[0] ?? ''
    const other = second?.failureDomains[0] ?? ''
    await Promise.all([
      this.runAt(PATCH_AT, () => this.runPatch()),
      this.runAt(WORKER_LEAVES_AT, () => this.runWorkerDrain(other)),
      this.runAt(DRAIN_AT, () => this.runDomainDrain(drained))
    ])
    return { patch: this.patchTimes, drain: this.drainTimes, failures: this.failures }
  }

  private async runAt (part: number, runChange: () => Promise<void>): Promise<void> {
    await waitUntil(this.deployment.clock, this.startedAt + part * this.loadSpanMs)
    try {
      await runChange()
    } catch (failure) {
      this.failures.push(failure instanceof Error ? failure.message : String(failure))
    }
  }

  private async runPatch (): Promise<void> {
    writeLine('patching the configuration')
    this.patchTimes = await this.changes.patch({ lookupCacheMs: PATCHED_LOOKUP_CACHE_MS }, 'shorter look-up cache')
    await this.changes.checkStalePatch(this.patchTimes.version - 1)
    writeLine(`version ${this.patchTimes.version} is in force everywhere; a patch against version ${this.patchTimes.version - 1} was refused`)
  }

  private async runWorkerDrain (failureDomain: string): Promise<void> {
    writeLine(`a worker of ${failureDomain} announces that it leaves`)
    const workerId = await this.changes.drainWorker(failureDomain)
    writeLine(`${workerId} is back`)
  }

  private async runDomainDrain (failureDomain: string): Promise<void> {
    writeLine(`draining ${failureDomain}`)
    this.drainTimes = await this.changes.drainDomain(failureDomain)
    writeLine(`${failureDomain} is safe to stop; its ${this.drainTimes.workers} workers are stopped`)
  }
}

async function printProgress (deployment: LocalDeployment, load: RegionalLoad, signal: AbortSignal): Promise<void> {
  const { clock } = deployment
  while (!signal.aborted) {
    await waitUntil(clock, clock.now() + PROGRESS_EVERY_MS)
    if (!signal.aborted) writeLine(`${load.countEnded()} of ${load.countPlanned()} requests answered`)
  }
}

async function runLoad (options: DemoOptions, deployment: LocalDeployment, load: RegionalLoad): Promise<string[]> {
  const loadSpanMs = load.countPlanned() / options.rate * MS_PER_SECOND
  const schedule = new ChangeSchedule(deployment, new PlannedChanges(deployment, options.seed), deployment.clock.now(), loadSpanMs)
  const ended = new AbortController()
  const loopBefore = performance.eventLoopUtilization()
  const progress = printProgress(deployment, load, ended.signal)
  const [totals, changes] = await Promise.all([load.run(), schedule.run()])
  ended.abort()
  const { utilization } = performance.eventLoopUtilization(loopBefore)
  const broken = reportDemo(deployment, load.report, totals, changes)
  writeLine(`one thread ran all of this and was busy ${(utilization * PERCENT).toFixed(0)} % of the time; latencies include the waits for it`)
  await progress
  return broken
}

async function runDemo (options: DemoOptions, closing: CloseStack): Promise<string[]> {
  const deployment = closing.add(await LocalDeployment.start({ deployment: options.deployment, seed: options.seed }))
  const workers = deployment.platform.fleet.listWorkers().length
  writeLine(`${options.deployment}: ${deployment.entries.length} entry VMs and ${workers} workers on loopback`)
  if (!await deployment.waitUntilReady(READY_WITHIN_MS)) return [`the entry VMs are not ready within ${READY_WITHIN_MS} ms`]
  const warmUp = closing.add(createLoad(options, deployment, { requests: WARM_UP_REQUESTS, seed: options.seed + WARM_UP_SEED_OFFSET }))
  writeLine(`warming up: ${warmUp.countPlanned()} requests that are checked but not in the table`)
  await warmUp.run()
  const load = closing.add(createLoad(options, deployment, options))
  const services = MIX_BY_DEPLOYMENT[options.deployment].length
  const regions = Object.keys(deployment.configuration.regions).length
  writeLine(`${load.countPlanned()} requests: ${options.requests} of each of ${services} services from each of ${regions} regions, ${options.rate} a second, seed ${options.seed}`)
  return runLoad(options, deployment, load)
}

function createLoad (options: DemoOptions, deployment: LocalDeployment, amount: Pick<DemoOptions, 'requests' | 'seed'>): RegionalLoad {
  return new RegionalLoad({
    clock: deployment.clock,
    seed: amount.seed,
    configuration: deployment.configuration,
    mixes: MIX_BY_DEPLOYMENT[options.deployment],
    bootstrapAddresses: deployment.listCallerAddresses(),
    ratePerSecond: options.rate,
    quota: amount.requests,
    startUntil: Infinity,
    history: deployment.history
  })
}

async function main (): Promise<void> {
  const options = parseDemoOptions(hideBin(process.argv))
  const clock = new SystemClock()
  const startedAt = clock.now()
  const closing = new CloseStack()
  const run = options.isPlatform ? runPlatformDemo : runDemo
  const broken = await run(options, closing).finally(() => closing.close())
  writeLine(`took ${((clock.now() - startedAt) / MS_PER_SECOND).toFixed(1)} s`)
  for (const reason of broken) printLine(`promise broken: ${reason}`)
  if (broken.length === 0) writeLine('all promises kept')
  else process.exitCode = EXIT_BROKEN
}

await main()
endAfterOutput()
