/**
 * One run with workers that announce rate limits: real entry processes, callers that reach
 * every VM that is up, listed or not, and faults that change what VMs know of each other.
 */
import { Agent } from 'node:http'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CloseStack } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { waitForCondition } from '@umberspar/testing/node/load/polling'
import { findEntryAddresses } from '@umberspar/testing/node/standIns/usersPlatform/entryProgram'
import { type ClientAnswer, getLimitedWorker, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { type PathInput, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { PlatformWorkerStandIn } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import type { RecordStoreListener } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { waitFor, waitUntil } from '@umberspar/testing/node/waiting'
import { LoggedEntry } from '../loggedEntry.js'
import { LIMIT_WINDOW_MS, RateLimitChecker } from '../rateLimitChecker.js'
import { type LimitsEnvironment, runLimitsFault } from './limitsFaults.js'
import type { LimitsFault, LimitsOptions, LimitsResult } from './limitsOptions.js'

const REGIONS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south', 'south-2': 'south' }
const DOMAINS = Object.keys(REGIONS)
const SERVICE = 'archive'
const ROUTES: readonly PathInput[] = [{ Name: 'status', Prefix: '/status/', Service: SERVICE }]
const WORKERS = 8
const WORK_MS = 20
const OBJECTS = 400
/** The time limits and tolerances of the users' deployment whose workers announce limits. */
const DEPLOYMENT_BOUNDS = { changeLimits: [2_500, 2_500, 5_000], goneWithin: 3_000, revokeWithin: undefined, rateTolerance: { factor: 1.5, slack: 5 }, maxShift: 0.15 }
const START_TIMEOUT_MS = 60_000
const POLL_INTERVAL_MS = 100
/** Time under load before workers announce limits, then before faults begin, then after the last one has ended. */
const UNLIMITED_MS = 3_000
const QUIET_MS = 24_000
const RECOVERY_MS = 6_000
/** The part of the quiet time that is not counted: VMs become members of the fleet, and learn of the limits. */
const LEARNING_MS = 16_000
const CALL_TIMEOUT_MS = 3_000
const MAX_REASON_LENGTH = 50
const MS_PER_SECOND = 1_000

/** A run in progress. */
class LimitsRun {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly records = new PlatformRecords(REGIONS)
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-limits-'))
  private readonly random
  private readonly checker = new RateLimitChecker()
  private readonly agent = new Agent({ keepAlive: true })
  private readonly workers: PlatformWorkerStandIn[] = []
  private readonly entries: LoggedEntry[] = []
  private readonly stores: RecordStoreListener[] = []
  private readonly statuses: Record<string, number> = {}
  private readonly steps: Array<{ fault: LimitsFault, atMs: number }> = []
  private readonly exits: string[] = []
  private readonly violations: string[] = []
  private readonly arrivals = new Map<string, Instant[]>()
  private startedAt: Instant = 0
  private faultsUntil: Instant = 0
  private calls = 0
  private isEnded = false
  private readonly addressesByWorker = new Map<string, string>()
  private readonly environment: LimitsEnvironment

  constructor (private readonly options: LimitsOptions) {
    this.random = new SeededRandom(options.seed)
    this.environment = {
      clock: this.clock,
      random: this.random,
      entries: this.entries,
      stores: this.stores,
      workers: this.workers,
      limitPerSecond: options.limitPerSecond,
      setLimit: (worker, perSecond) => { this.setLimit(worker, perSecond) },
      registerWorker: (worker) => { this.registerWorker(worker) },
      removeWorker: ({ id }) => { this.records.removeWorker(id) },
      addEntry: async () => { (await this.createEntry()).start() }
    }
    this.closing.add(this.records.store)
    this.closing.add({ close: () => { this.agent.destroy() } })
  }

  async run (): Promise<LimitsResult> {
    try {
      await this.startAll()
      this.startedAt = this.clock.now()
      const load = this.sendUntilEnded()
      await waitFor(this.clock, UNLIMITED_MS)
      for (const worker of this.workers.slice(0, this.options.limitedWorkers)) this.setLimit(worker, this.options.limitPerSecond)
      await waitFor(this.clock, QUIET_MS)
      const quietUntil = this.clock.now()
      this.faultsUntil = quietUntil + this.options.seconds * MS_PER_SECOND
      await Promise.all(this.options.faults.map(async (fault) => { await this.runRepeatedly(fault) }))
      await waitUntil(this.clock, this.faultsUntil + RECOVERY_MS)
      this.isEnded = true
      await load
      return this.buildResult(quietUntil)
    } finally {
      this.isEnded = true
      await this.closing.close()
      rmSync(this.folder, { recursive: true })
    }
  }

  private async startAll (): Promise<void> {
    for (let index = 0; index < WORKERS; index++) {
      // The first workers, which announce limits, are in different regions.
      const worker = this.closing.add(new PlatformWorkerStandIn(`w-${index}`, { onRefused: () => {}, onRun: (id, { requestId }) => { this.recordArrival(id, requestId) }, onRunEnd: () => {} }))
      worker.workMs = WORK_MS
      this.workers.push(worker)
      this.addressesByWorker.set(worker.id, await worker.listen())
      this.registerWorker(worker)
    }
    this.records.putConfiguration(ROUTES)
    for (let index = 0; index < this.options.processes; index++) await this.createEntry()
    for (const entry of this.entries) entry.start()
    for (const entry of this.entries) await waitForCondition(this.clock, this.clock.now() + START_TIMEOUT_MS, POLL_INTERVAL_MS, async () => await entry.isReady())
  }

  private registerWorker ({ id }: PlatformWorkerStandIn): void {
    const index = this.workers.findIndex((worker) => worker.id === id)
    this.records.putWorker({ id, service: SERVICE, domain: DOMAINS[index * 2 % DOMAINS.length + Math.floor(index * 2 / DOMAINS.length) % 2]!, address: this.addressesByWorker.get(id)! })
  }

  private async createEntry (): Promise<LoggedEntry> {
    const index = this.entries.length
    const node = `entry-${index + 1}`
    const store = this.records.store.addListener()
    this.stores.push(store)
    const seeds = this.entries.slice(0, 3).map(({ settings }) => settings.listen.peers)
    const settings = { ...this.records.createSettings(node, DOMAINS[index % DOMAINS.length]!, await findEntryAddresses(await store.listen()), seeds), ...DEPLOYMENT_BOUNDS }
    const entry = this.closing.add(new LoggedEntry(settings, join(this.folder, `${node}.json`), this.options, (name, detail) => { this.exits.push(`${name}: ${detail}`) }))
    this.entries.push(entry)
    return entry
  }

  private setLimit (worker: PlatformWorkerStandIn, perSecond: number): void {
    worker.rateLimit = perSecond
    this.checker.recordLimit(worker.id, perSecond, this.clock.now())
  }

  private listLimited (): PlatformWorkerStandIn[] {
    return this.workers.filter(({ rateLimit }) => rateLimit !== undefined)
  }

  private async runRepeatedly (fault: LimitsFault): Promise<void> {
    while (this.clock.now() < this.faultsUntil) {
      this.steps.push({ fault, atMs: Math.round(this.clock.now() - this.startedAt) })
      await runLimitsFault(this.environment, fault)
    }
  }

  private recordArrival (workerId: string, requestId: string): void {
    const at = this.clock.now()
    const node = requestId.slice(0, requestId.indexOf('.'))
    const arrivals = this.arrivals.get(workerId) ?? []
    arrivals.push(at)
    this.arrivals.set(workerId, arrivals)
    const violation = this.checker.recordArrival(workerId, node, at)
    if (violation !== undefined) this.violations.push(`${Math.round(at - this.startedAt)} ms, ${workerId}: ${violation}`)
  }

  private async sendUntilEnded (): Promise<void> {
    const pending = new Set<Promise<void>>()
    for (let at = this.clock.now(); !this.isEnded; at += MS_PER_SECOND / this.options.ratePerSecond) {
      await waitUntil(this.clock, at)
      const call = this.send(this.entries[Math.floor(this.random.next() * this.entries.length)]!)
      pending.add(call)
      call.finally(() => pending.delete(call)).catch(() => {})
    }
    await Promise.all(pending)
  }

  private async send ({ settings }: LoggedEntry): Promise<void> {
    const object = Math.floor(this.random.next() * OBJECTS)
    const id = `${settings.node}.${++this.calls}`
    try {
      const answer = await sendCall(settings.listen.callers, { path: `/status/${object}`, key: `${object}`, id, deadlineMs: CALL_TIMEOUT_MS, signal: AbortSignal.timeout(CALL_TIMEOUT_MS), agent: this.agent })
      this.recordAnswer(settings.node, answer)
    } catch {
      // The process is down, starting or paused; the missing answer is counted as status 0.
      this.countStatus('0')
    }
  }

  private recordAnswer (node: string, answer: ClientAnswer): void {
    const { status, body } = answer
    const limitedWorker = getLimitedWorker(answer)
    if (limitedWorker !== undefined) this.checker.recordInformed(limitedWorker, node)
    this.countStatus(status < 300 ? String(status) : `${status} ${body.slice(0, MAX_REASON_LENGTH).trim()}`)
  }

  private countStatus (status: string): void {
    this.statuses[status] = (this.statuses[status] ?? 0) + 1
  }

  private buildResult (quietUntil: Instant): LimitsResult {
    const limited = this.listLimited()
    const quietFrom = this.startedAt + UNLIMITED_MS + LEARNING_MS
    const quietRequests = limited.map(({ id }): [string, number] => {
      const count = (this.arrivals.get(id) ?? []).filter((at) => at >= quietFrom && at < quietUntil).length
      return [id, Math.round(count * LIMIT_WINDOW_MS / (quietUntil - quietFrom))]
    })
    const requestsBySecond = limited.map(({ id }): [string, number[]] => {
      const counts: number[] = []
      for (const at of this.arrivals.get(id) ?? []) {
        const second = Math.floor((at - this.startedAt) / MS_PER_SECOND)
        counts[second] = (counts[second] ?? 0) + 1
      }
      return [id, Array.from(counts, (count = 0) => count)]
    })
    return {
      seed: this.options.seed,
      maxima: this.checker.listMaxima(),
      quietRequests: Object.fromEntries(quietRequests),
      requestsBySecond: Object.fromEntries(requestsBySecond),
      statuses: this.statuses,
      steps: this.steps,
      exits: this.exits,
      violations: this.violations
    }
  }
}

/**
 * Runs workers with rate limits once.
 * @param options the options of the run
 * @returns the result, after everything that the run started has ended
 */
export async function runLimits (options: LimitsOptions): Promise<LimitsResult> {
  return await new LimitsRun(options).run()
}
