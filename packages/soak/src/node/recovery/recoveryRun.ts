/**
 * One recovery run: real entry processes under traffic are all killed right after a configuration was
 * accepted, and started again. Counts, second by second, what callers get and which VMs are ready.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CloseStack } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { waitForCondition } from '@umberspar/testing/node/load/polling'
import { ChildProgram } from '@umberspar/testing/node/measure/childProgram'
import { findEntryAddresses } from '@umberspar/testing/node/standIns/usersPlatform/entryProgram'
import { askAt } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { PlatformRecords, type PathInput } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { PlatformWorkerStandIn } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { type RecordStoreListener, StoreFault } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import type { StoreCopy } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreState'
import { waitUntil } from '@umberspar/testing/node/waiting'
import { ProcessorQuota } from './processorQuota.js'
import type { CallerPlan, SecondCounts } from './recoveryCallers.js'
import { LoggedEntry } from '../loggedEntry.js'
import { RecoveryFault, type RecoveryOptions, type RecoveryResult, type RecoverySecond } from './recoveryOptions.js'

const REGIONS = { 'klang-a': 'klang', 'klang-b': 'klang', 'penang-a': 'penang', 'penang-b': 'penang', 'kuching-a': 'kuching', 'kuching-b': 'kuching' }
const SERVICES = ['itinerary', 'escort', 'docs', 'billing'] as const
const ACCOUNT_NUMBERS = Array.from({ length: 82 }, (_, index) => index)
const ROUTES_PER_SERVICE = 10
const ROUTES: readonly PathInput[] = SERVICES.flatMap((service) => Array.from({ length: ROUTES_PER_SERVICE }, (_, index) => ({ Name: `${service}-${index}`, Prefix: `/${service}/${index}/`, Service: service })))
const WORK_MS = 60
const SLOTS = 3
const COLD_MS = 3_000
const COLD_PER_SECOND = 3.4
const OBJECTS = 400
const CALLERS_PER_DOMAIN = 60
/** The bounds of the users' deployment with client accounts. */
const DEPLOYMENT_BOUNDS = { changeLimits: [3_000, 3_000, 5_000], goneWithin: 4_000, revokeWithin: 5_000, maxShift: 0.15, memoryMb: 250 }
/** The users' bound on recovery. */
const MAX_RECOVERY_SECONDS = 15
const START_TIMEOUT_MS = 120_000
const SETTLE_MS = 3_000
const COPY_AGE_MS = 4_000
const LOAD_BEFORE_MS = 8_000
const DOWN_MS = 1_200
const SILENCE_MS = 8_000
/** Workers write their registrations again with their next heartbeat. */
const REWRITE_MS = 1_500
const POLL_INTERVAL_MS = 200
const METRICS_TIMEOUT_MS = 10_000
/** Counters that tell what VMs did to recover. */
const COUNTERS = /^umberspar_((?:quota_questions|quota_answers|record_subscriptions|readiness_checks|proof_waits)_total\{[^}]*\}) (\d+)/gm
const MS_PER_SECOND = 1_000

/** @returns the API key of a client account */
function formatKey (accountNumber: number): string {
  return `key-of-account-${accountNumber}`
}

interface Sample {
  readonly at: Instant
  readonly readyVms: number
  readonly cpuSeconds: number
}

/** A run in progress. */
class RecoveryRun {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly records = new PlatformRecords(REGIONS)
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-recovery-'))
  private readonly quota = new ProcessorQuota()
  private readonly entries: LoggedEntry[] = []
  private readonly stores: RecordStoreListener[] = []
  private workers: PlatformWorkerStandIn[] = []
  private workerGeneration = 0
  private readonly samples: Sample[] = []
  private readonly exits: string[] = []
  private isEnded = false
  /** Start the faults, in the order of the enumeration, while all entry processes are down; called with an earlier copy of the store. */
  private readonly faultStarters: Readonly<Record<RecoveryFault, (copy: StoreCopy) => void | Promise<void>>> = {
    [RecoveryFault.Workers]: async () => { await this.resetWorkers() },
    [RecoveryFault.Leases]: () => { this.records.store.state.endAllLeases() },
    [RecoveryFault.OlderCopy]: (copy) => { this.resetStore(copy) },
    [RecoveryFault.SilentStore]: () => { this.setStoreFault(StoreFault.Silent) }
  }

  constructor (private readonly options: RecoveryOptions) {
    this.closing.add(this.records.store)
    this.closing.add(this.quota)
  }

  async run (): Promise<RecoveryResult> {
    try {
      return await this.runPhases()
    } finally {
      this.isEnded = true
      this.quota.setLimit({ pids: [], share: undefined })
      await this.closing.close()
      for (const worker of this.workers) worker.close()
      rmSync(this.folder, { recursive: true })
    }
  }

  private async runPhases (): Promise<RecoveryResult> {
    await this.startWorkers()
    this.writeConfiguration()
    await this.createEntries()
    this.startEntries()
    for (const entry of this.entries) await waitForCondition(this.clock, this.clock.now() + START_TIMEOUT_MS, POLL_INTERVAL_MS, async () => await entry.isReady())
    const callers = await this.startCallers()
    const callersStartedAt = this.clock.now()
    const sampling = this.measureUntilEnded()
    await this.waitMs(SETTLE_MS)
    const busy = this.startBusyProcesses()
    this.setQuota()
    await this.waitMs(LOAD_BEFORE_MS - COPY_AGE_MS)
    const copy = this.records.store.state.createCopy()
    await this.waitMs(COPY_AGE_MS)
    this.writeConfiguration()
    const killedAt = this.clock.now()
    await Promise.all(this.entries.map(async (entry) => { await entry.stopAtOnce() }))
    for (const fault of Object.values(RecoveryFault)) {
      if (this.options.faults.includes(fault)) await this.faultStarters[fault](copy)
    }
    await waitUntil(this.clock, killedAt + DOWN_MS)
    const backAt = this.clock.now()
    this.startEntries()
    this.setQuota()
    await Promise.all([
      this.waitMs(this.options.seconds * MS_PER_SECOND),
      this.resumeStore(),
      this.endBusyProcesses(busy)
    ])
    callers.send({})
    const counts = await callers.waitForMessage<SecondCounts[]>()
    this.isEnded = true
    await sampling
    return this.buildResult(counts, callersStartedAt, killedAt, backAt, await this.readCounters())
  }

  private async waitMs (spanMs: number): Promise<void> {
    await waitUntil(this.clock, this.clock.now() + spanMs)
  }

  private async startWorkers (): Promise<void> {
    const domains = Object.keys(REGIONS)
    this.workerGeneration++
    for (let index = 0; index < this.options.workers; index++) {
      const worker = new PlatformWorkerStandIn(`w-${index}-${this.workerGeneration}`)
      worker.workMs = WORK_MS
      worker.slots = SLOTS
      this.workers.push(worker)
      const isFirst = this.workerGeneration === 1
      this.records.putWorker({ id: worker.id, service: SERVICES[index % SERVICES.length]!, domain: domains[index % domains.length]!, address: await worker.listen(), coldMs: isFirst ? 0 : COLD_MS })
    }
  }

  private async resetWorkers (): Promise<void> {
    const crashed = this.workers
    this.workers = []
    for (const worker of crashed) {
      worker.close()
      this.records.removeWorker(worker.id)
    }
    await this.startWorkers()
  }

  /** Writes the next configuration: one with the size of the users' deployment, in which a route has changed. */
  private writeConfiguration (): void {
    const quota = this.options.hasQuotas ? this.options.ratePerSecond : 0
    const accounts = ACCOUNT_NUMBERS.map((number) => ({ Name: `account-${number}`, ApiKeys: [formatKey(number)], RatePerS: quota, Burst: quota }))
    this.records.putConfiguration([...ROUTES, { Name: 'changed', Prefix: `/changed-${this.records.newestVersion}/`, Service: SERVICES[0] }], COLD_PER_SECOND, accounts)
  }

  private async createEntries (): Promise<void> {
    const domains = Object.keys(REGIONS)
    for (let index = 0; index < this.options.processes; index++) {
      const node = `entry-${index + 1}`
      const store = this.records.store.addListener()
      this.stores.push(store)
      // The run is about VMs that have been running for long.
      this.records.putMember(node, domains[index % domains.length]!)
      const seeds = this.entries.slice(0, 3).map(({ settings }) => settings.listen.peers)
      const settings = { ...this.records.createSettings(node, domains[index % domains.length]!, await findEntryAddresses(await store.listen()), seeds), ...DEPLOYMENT_BOUNDS }
      this.entries.push(this.closing.add(new LoggedEntry(settings, join(this.folder, `${node}.json`), this.options, (name, detail) => { this.exits.push(`${name}: ${detail}`) })))
    }
  }

  private startEntries (): void {
    for (const entry of this.entries) entry.start()
  }

  private setQuota (): void {
    if (this.options.quota !== undefined) this.quota.setLimit({ pids: this.entries.map(({ pid }) => pid), share: this.options.quota })
  }

  private async startCallers (): Promise<ChildProgram> {
    const callers = this.closing.add(ChildProgram.spawn(new URL('./recoveryCallersProgram.js', import.meta.url)))
    const lookups: Record<string, string[]> = {}
    for (const { settings: { domain, listen } } of this.entries) (lookups[domain] ??= []).push(listen.lookups)
    const plan: CallerPlan = {
      seed: this.options.seed,
      regions: REGIONS,
      lookups,
      prefixes: ROUTES.map(({ Prefix }) => Prefix),
      keys: ACCOUNT_NUMBERS.map(formatKey),
      ratePerSecond: this.options.ratePerSecond,
      callersPerDomain: CALLERS_PER_DOMAIN,
      objects: OBJECTS
    }
    callers.send(plan)
    await callers.waitForMessage()
    return callers
  }

  private startBusyProcesses (): ChildProgram[] {
    return Array.from({ length: this.options.busyProcesses }, () => this.closing.add(ChildProgram.spawn(new URL('./busyProgram.js', import.meta.url))))
  }

  private async endBusyProcesses (busy: readonly ChildProgram[]): Promise<void> {
    if (this.options.busySeconds === undefined) return
    await this.waitMs(this.options.busySeconds * MS_PER_SECOND)
    await Promise.all(busy.map(async (program) => { await program.stopAtOnce() }))
  }

  private setStoreFault (fault: StoreFault): void {
    for (const store of this.stores) store.setFault(fault)
  }

  /** The store comes back from a copy; the operator and the workers write again what it lacks. */
  private resetStore (copy: StoreCopy): void {
    const { store } = this.records
    const lost = store.state.createCopy()
    store.resetTo(copy)
    this.clock.schedule(this.clock.now() + REWRITE_MS, () => { store.writeAgain(lost, copy) })
  }

  private async resumeStore (): Promise<void> {
    if (!this.options.faults.includes(RecoveryFault.SilentStore)) return
    await this.waitMs(SILENCE_MS)
    this.setStoreFault(StoreFault.None)
  }

  private async measureUntilEnded (): Promise<void> {
    while (!this.isEnded) {
      const at = this.clock.now()
      const [ready, cpu] = await Promise.all([
        Promise.all(this.entries.map(async (entry) => await entry.isReady())),
        Promise.all(this.entries.map(async (entry) => await entry.readCpuSeconds()))
      ])
      this.samples.push({ at, readyVms: ready.filter(Boolean).length, cpuSeconds: cpu.reduce((sum, seconds) => sum + seconds, 0) })
      await waitUntil(this.clock, at + MS_PER_SECOND)
    }
  }

  /** @returns the sums of the chosen counters of all VMs since their return */
  private async readCounters (): Promise<Record<string, number>> {
    const sums: Record<string, number> = {}
    await Promise.all(this.entries.map(async ({ settings }) => {
      const { body } = await askAt(settings.listen.metrics, '/metrics', AbortSignal.timeout(METRICS_TIMEOUT_MS))
      for (const [, name, value] of body.matchAll(COUNTERS)) sums[name!] = (sums[name!] ?? 0) + Number(value)
    }))
    return sums
  }

  private buildResult (counts: readonly SecondCounts[], callersStartedAt: Instant, killedAt: Instant, backAt: Instant, counters: Readonly<Record<string, number>>): RecoveryResult {
    const seconds = counts.map((second, index): RecoverySecond => {
      const at = (callersStartedAt - backAt) / MS_PER_SECOND + index
      const sampleIndex = this.samples.findIndex((sample) => sample.at >= backAt + at * MS_PER_SECOND)
      const sample = this.samples[sampleIndex]
      const previous = this.samples[sampleIndex - 1]
      return { at: Math.round(at * 10) / 10, readyVms: sample?.readyVms ?? 0, cpuSeconds: Math.max(0, (sample?.cpuSeconds ?? 0) - (previous?.cpuSeconds ?? 0)), ...second }
    })
    const computeServedShare = (from: number, to: number): number | undefined => {
      const chosen = seconds.filter(({ at }) => at >= from && at < to)
      const sent = chosen.reduce((sum, second) => sum + second.sent, 0)
      return sent === 0 ? undefined : chosen.reduce((sum, second) => sum + second.served, 0) / sent
    }
    const downSeconds = (backAt - killedAt) / MS_PER_SECOND
    return {
      seed: this.options.seed,
      seconds,
      servedBefore: computeServedShare(-Infinity, -downSeconds - 1) ?? 0,
      servedAfter: computeServedShare(MAX_RECOVERY_SECONDS, Infinity),
      storeCalls: this.stores.flatMap(({ calls }) => [...calls.values()]).reduce((sum, count) => sum + count, 0),
      exits: this.exits,
      counters
    }
  }
}

/**
 * Runs one recovery.
 * @param options the options of the run
 * @returns the result, after everything that the run started has ended
 */
export async function runRecovery (options: RecoveryOptions): Promise<RecoveryResult> {
  return await new RecoveryRun(options).run()
}
