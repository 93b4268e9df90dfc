/** One deployment in processes of its own, under load, while a failure domain is drained. */
import type { IClosable } from '@umberspar/base/common/closing'
import { CloseStack } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { AnswerKind } from '../../common/history/historyEvent.js'
import { MIX_BY_DEPLOYMENT, type DeploymentName } from '../../common/load/mixes.js'
import { OperatorCalls } from '../deployment/operatorCalls.js'
import { LatencyRecorder } from '../load/latencyRecorder.js'
import { waitForCondition } from '../load/polling.js'
import { RegionalLoad } from '../load/regionalLoad.js'
import { waitUntil } from '../waiting.js'
import { ChildDaemon } from './childDaemon.js'
import { ChildPlatform } from './childPlatform.js'

const ENTRIES = 12
const SETTLE_BEFORE_MS = 6000
const DRAIN_WITHIN_MS = 60_000
const POLL_MS = 10
const MS_PER_SECOND = 1000
/** Load goes on for so long after the drain, so that requests that began in it end in it. */
const AFTER_MS = 500

/** What is run. */
export interface DrainRunOptions {
  readonly deployment: DeploymentName
  readonly seed: number
  readonly ratePerSecond: number
  /** How long callers are measured before the drain. */
  readonly seconds: number
  /** Measures a span of the same length without a drain, to show what the machine alone does. */
  readonly isIdle: boolean
}

/** What a run showed. */
export interface DrainRunResult {
  readonly failureDomain: string
  /** From the patch's call until every entry VM said that the domain is safe to stop, in milliseconds. */
  readonly drainMs: number
  /** Steps times settle time: no schedule within the caps is faster. */
  readonly lowerLimitMs: number
  readonly steps: number
  readonly before: PhaseSummary
  readonly during: PhaseSummary
  readonly skipped: number
}

/** Callers in one phase. */
export interface PhaseSummary {
  readonly count: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Operations that did not end whole and that their callers do not know to have run. */
  readonly failed: number
  readonly details: readonly string[]
}

/** What callers saw in one phase. */
class Phase {
  private readonly latency = new LatencyRecorder()
  private failed = 0
  private readonly details = new Map<string, number>()

  record (spanMs: number, answer: AnswerKind, detail: string): void {
    this.latency.record(spanMs)
    if (answer === AnswerKind.Complete || answer === AnswerKind.AlreadyRan) return
    this.failed++
    const text = `${answer}: ${detail}`
    this.details.set(text, (this.details.get(text) ?? 0) + 1)
  }

  getSummary (): PhaseSummary {
    const { count, p50Ms, p99Ms } = this.latency.getSummary()
    return { count, p50Ms, p99Ms, failed: this.failed, details: [...this.details].map(([text, times]) => `${times} x ${text}`) }
  }
}

/** The whole run. */
export class DrainRun implements IClosable {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly operators = this.closing.add(new OperatorCalls())
  private readonly before = new Phase()
  private readonly during = new Phase()
  private daemons: readonly ChildDaemon[] = []
  private drainFrom: Instant = Infinity
  private drainUntil: Instant = Infinity
  private stopAt: Instant = Infinity

  constructor (private readonly options: DrainRunOptions) {}

  async run (): Promise<DrainRunResult> {
    const { deployment, seed } = this.options
    const platform = this.closing.add(await ChildPlatform.spawn({ deployment, entries: ENTRIES, seed }))
    this.daemons = await Promise.all(platform.settings.map(async (settings) => this.closing.add(await ChildDaemon.spawn(settings))))
    await Promise.all(this.daemons.map((daemon) => daemon.waitUntilReady(this.clock)))
    const load = this.closing.add(this.createLoad(platform.configuration))
    const failureDomain = Object.values(platform.configuration.regions)[0]?.failureDomains[0] ?? ''
    const running = load.run()
    const drain = this.runPhases(failureDomain)
    const [totals, drainMs] = await Promise.all([running, drain])
    const { steps, lowerLimitMs } = computeLowerLimit(platform.configuration, failureDomain)
    return { failureDomain, drainMs, steps, lowerLimitMs, before: this.before.getSummary(), during: this.during.getSummary(), skipped: totals.skipped }
  }

  close (): Promise<void> {
    return this.closing.close()
  }

  private createLoad (configuration: SteeringConfiguration): RegionalLoad {
    const { deployment, seed, ratePerSecond, seconds } = this.options
    const now = this.clock.now()
    const measureFrom = now + SETTLE_BEFORE_MS
    const getPhase = (at: Instant): Phase | undefined => {
      if (at >= this.drainFrom) return at < this.drainUntil ? this.during : undefined
      return at >= measureFrom ? this.before : undefined
    }
    return new RegionalLoad({
      clock: this.clock,
      seed,
      configuration,
      mixes: MIX_BY_DEPLOYMENT[deployment],
      bootstrapAddresses: this.daemons.map(({ settings }) => settings.callers.address),
      ratePerSecond,
      startUntil: now + SETTLE_BEFORE_MS + seconds * MS_PER_SECOND + DRAIN_WITHIN_MS,
      isStopped: () => this.clock.now() >= this.stopAt,
      onDidEnd: (_service, result, intendedStart) => {
        getPhase(intendedStart)?.record(result.endedAt - intendedStart, result.last.answer, result.last.detail)
      }
    })
  }

  private async runPhases (failureDomain: string): Promise<number> {
    const { clock, options } = this
    await waitUntil(clock, clock.now() + SETTLE_BEFORE_MS + options.seconds * MS_PER_SECOND)
    const startedAt = clock.now()
    this.drainFrom = startedAt
    try {
      if (options.isIdle) await waitUntil(clock, startedAt + options.seconds * MS_PER_SECOND)
      else await this.drain(failureDomain, startedAt)
      return clock.now() - startedAt
    } finally {
      this.drainUntil = clock.now()
      this.stopAt = clock.now() + AFTER_MS
    }
  }

  private async drain (failureDomain: string, startedAt: Instant): Promise<void> {
    const addresses = this.daemons.map(({ settings }) => settings.operators.address)
    const [first = ''] = addresses
    const baseVersion = await this.operators.readVersion(first)
    const patch = { drains: { failureDomains: [failureDomain] } }
    const { status, text } = await this.operators.patch(first, { baseVersion, changeId: `drain-${this.options.seed}`, patch, note: 'measured drain' })
    if (status !== 200) throw new Error(`the drain was refused with ${status}: ${text}`)
    const left = new Set(addresses)
    const isSafe = async (): Promise<boolean> => {
      // An entry VM that said so once is not asked again, so that asking costs little.
      await Promise.all([...left].map(async (address) => {
        const drains = await this.operators.listDrains(address)
        if (drains.some(({ target, isSafeToStop }) => target === failureDomain && isSafeToStop)) left.delete(address)
      }))
      return left.size === 0
    }
    const isDone = await waitForCondition(this.clock, createDeadline(startedAt, DRAIN_WITHIN_MS), POLL_MS, isSafe)
    if (!isDone) throw new Error(`${failureDomain} is not safe to stop within ${DRAIN_WITHIN_MS} ms at ${[...left].join(', ')}`)
  }
}

/** The first step may be taken at once, and each further one after the settle time. */
function computeLowerLimit (configuration: SteeringConfiguration, failureDomain: string): { steps: number, lowerLimitMs: number } {
  const { planned, settleMs } = configuration.shiftCaps
  const region = Object.values(configuration.regions).find(({ failureDomains }) => failureDomains.includes(failureDomain))
  const steps = Math.max(...Object.values(configuration.services).map(({ places }) => {
    const count = (domain: string): number => Object.values(places[domain]?.workers ?? {}).reduce((sum, { slots }) => sum + slots, 0)
    const total = (region?.failureDomains ?? []).reduce((sum, domain) => sum + count(domain), 0)
    return total === 0 ? 0 : Math.ceil(count(failureDomain) / total / planned - 1e-9)
  }))
  return { steps, lowerLimitMs: Math.max(0, steps - 1) * settleMs }
}
