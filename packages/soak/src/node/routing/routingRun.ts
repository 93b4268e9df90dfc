/**
 * One run of the routing soak: real entry processes, an operator who keeps moving routes
 * to other services and home regions, and probes of each VM that show which version it
 * routes by.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CloseStack } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import { type ClientAnswer, fetchConfigurationVersion, isDenied, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { createPath, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { PlatformWorkerStandIn, type WorkerRun } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { waitForCondition } from '@umberspar/testing/node/load/polling'
import { waitUntil } from '@umberspar/testing/node/waiting'
import { DisruptionLog } from '../../common/routing/disruptionLog.js'
import { planRouting, type RoutingFault, type RoutingPlan } from '../../common/routing/routingPlan.js'
import { RoutingHistory, type VersionRoute } from '../../common/routing/routingHistory.js'
import { RoutingEntries, type RoutingEntry, type RoutingFiles } from './routingEntries.js'
import { RoutingChecker, RoutingRule, type RoutingViolation } from './routingChecker.js'
import { type RoutingEnvironment, runRoutingStep } from './routingSteps.js'

/** The options of a run. */
export interface RoutingOptions extends Pick<RoutingFiles, 'logs' | 'program'> {
  readonly seed: number
  readonly seconds: number
  /** Number of entry processes. */
  readonly processes: number
  /** The faults to choose from; all by default. */
  readonly faults?: readonly RoutingFault[] | undefined
}

/** The result of a run. */
export interface RoutingResult {
  readonly seed: number
  readonly probes: number
  readonly changes: number
  /** Number of requests by HTTP status; status 0 stands for requests without an answer. */
  readonly statuses: Readonly<Record<string, number>>
  /** Number of requests that disrupted VMs routed by a replaced version. */
  readonly outOfContact: number
  readonly staleReadMs: number
  readonly steps: ReadonlyArray<{ readonly fault: string, readonly atMs: number }>
  readonly violations: readonly RoutingViolation[]
}

const REGIONS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south', 'south-2': 'south' }
const SERVICES = ['archive', 'desk'] as const
const HOME_REGIONS = [['north'], ['south']] as const
/** Time limits of the users' first deployment: for applying a change, and for becoming stable after a disruption. */
const MAX_APPLY_MS = 2_500
const STABILITY_MS = 3_000
const PROBE_INTERVAL_MS = 30
const PROBE_TIMEOUT_MS = 2_000
const START_TIMEOUT_MS = 30_000
const RECOVERY_TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 100
/** Added routes are removed after this many versions. */
const MAX_ADDED_ROUTES = 3
const WORK_MS = 20
const OK_STATUS = 200

interface RunLocation {
  readonly service: string
  readonly region: string
}

/** A run in progress. */
class RoutingRun {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly history = new RoutingHistory(MAX_APPLY_MS)
  private readonly disruptions = new DisruptionLog(STABILITY_MS)
  private readonly checker = new RoutingChecker(this.history, this.disruptions)
  private readonly records = new PlatformRecords(REGIONS)
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-routing-'))
  private readonly plan: RoutingPlan
  private readonly entries: RoutingEntries
  private readonly workerLinks: TcpRelay[] = []
  private readonly workerAddresses: string[] = []
  private readonly workerLocations = new Map<string, RunLocation>()
  private readonly runsByRequest = new Map<string, RunLocation[]>()
  private readonly statuses: Record<string, number> = {}
  private areChangesPaused = false
  private changes = 0
  private probes = 0

  constructor (private readonly options: RoutingOptions) {
    this.plan = planRouting(options.seed, options.seconds, options.faults)
    this.closing.add(this.records.store)
    this.records.store.staleReadMs = this.plan.staleReadMs
    const files = { folder: this.folder, logs: options.logs, program: options.program }
    this.entries = this.closing.add(new RoutingEntries(this.records, files, (node, detail) => { this.checker.report(RoutingRule.EntryExited, this.clock.now(), node, detail) }))
  }

  async run (): Promise<RoutingResult> {
    try {
      await this.startWorkers()
      this.writeVersion()
      await this.entries.start(this.options.processes)
      await this.waitUntilCurrent(START_TIMEOUT_MS)
      await this.runFaults()
      await this.checkRecovery()
      this.checker.checkServedRatio(this.clock.now())
      return this.buildResult()
    } finally {
      await this.closing.close()
      rmSync(this.folder, { recursive: true })
    }
  }

  private async startWorkers (): Promise<void> {
    for (const [domain, region] of Object.entries(REGIONS)) {
      for (const service of SERVICES) {
        const worker = this.closing.add(new PlatformWorkerStandIn(`${service}-${domain}`, { onRefused: () => {}, onRun: (id, run) => { this.recordRun(id, run) }, onRunEnd: () => {} }))
        worker.workMs = WORK_MS
        worker.load = '0,0,100'
        const link = this.closing.add(new TcpRelay(await worker.listen()))
        this.workerLinks.push(link)
        this.workerLocations.set(worker.id, { service, region })
        const address = await link.start()
        this.workerAddresses.push(address)
        this.records.putWorker({ id: worker.id, service, domain, address })
      }
    }
  }

  /** Writes the next version: swaps services and home regions, adds a route and removes the oldest added one. */
  private writeVersion (): void {
    const number = ++this.changes
    const parity = number % 2
    const added = Array.from({ length: Math.min(number, MAX_ADDED_ROUTES) }, (_, index) => number - index)
    const routes: VersionRoute[] = [
      { prefix: '/steady/', service: SERVICES[0], homeRegions: [] },
      { prefix: '/moving/', service: SERVICES[parity]!, homeRegions: [] },
      { prefix: '/moving/inner/', service: SERVICES[1 - parity]!, homeRegions: [] },
      { prefix: '/homed/', service: SERVICES[0], homeRegions: HOME_REGIONS[parity]! },
      { prefix: '/homed/inner/', service: SERVICES[0], homeRegions: HOME_REGIONS[1 - parity]! },
      ...added.map((index) => ({ prefix: `/added-${index}/`, service: SERVICES[0], homeRegions: [] }))
    ]
    const version = this.records.putConfiguration(routes.map(({ prefix, service, homeRegions }) => createPath(prefix, service, homeRegions)))
    this.history.add({ version, ackedAt: this.clock.now(), routes })
  }

  private async runFaults (): Promise<void> {
    const startedAt = this.clock.now()
    const environment: RoutingEnvironment = {
      clock: this.clock,
      disruptions: this.disruptions,
      records: this.records,
      entries: this.entries.list,
      workerLinks: this.workerLinks,
      workerAddresses: this.workerAddresses,
      setChangesPaused: (isPaused) => { this.areChangesPaused = isPaused }
    }
    const until = startedAt + this.plan.untilMs
    await Promise.all([
      ...this.plan.steps.map(async (step) => {
        await waitUntil(this.clock, startedAt + step.atMs)
        await runRoutingStep(environment, step)
      }),
      ...this.plan.changesMs.map(async (atMs) => {
        await waitUntil(this.clock, startedAt + atMs)
        if (!this.areChangesPaused) this.writeVersion()
      }),
      ...this.entries.list.map(async (entry, index) => { await this.probeUntil(entry, index, until) })
    ])
  }

  private async probeUntil (entry: RoutingEntry, offset: number, until: Instant): Promise<void> {
    const pending = new Set<Promise<void>>()
    for (let sequence = offset; this.clock.now() < until; sequence++) {
      const probe = this.probe(entry, sequence)
      pending.add(probe)
      probe.finally(() => pending.delete(probe)).catch(() => {})
      await waitUntil(this.clock, this.clock.now() + PROBE_INTERVAL_MS)
    }
    await Promise.all(pending)
  }

  private async probe (entry: RoutingEntry, sequence: number): Promise<void> {
    const paths = ['/steady/', '/moving/', '/homed/', `/added-${this.changes}/`, '/moving/inner/', '/homed/inner/', `/added-${this.changes - MAX_ADDED_ROUTES}/`]
    const pathIndex = sequence % paths.length
    const path = `${paths[pathIndex]}${sequence}`
    const { node, listen } = entry.settings
    const requestId = `${node}-${++this.probes}`
    const sentAt = this.clock.now()
    const status = await this.sendProbe(listen.callers, path, requestId)
    const endedAt = this.clock.now()
    this.statuses[status] = (this.statuses[status] ?? 0) + 1
    const probe = { node, requestId, path, sentAt, endedAt }
    for (const location of this.runsByRequest.get(requestId) ?? []) this.checker.check({ ...probe, outcome: { ran: location } })
    this.runsByRequest.delete(requestId)
    if (isDenied(status)) this.checker.check({ ...probe, outcome: { denied: status } })
    if (pathIndex === 0) this.checker.countRequest(probe, false, status === OK_STATUS)
    // A route must be served only after the time limit for applying its version.
    const newest = this.history.newest
    if (path.startsWith(`/added-${this.changes}/`) && newest !== undefined && sentAt > newest.ackedAt + MAX_APPLY_MS) this.checker.countRequest(probe, true, status === OK_STATUS)
  }

  /** @returns the HTTP status; 0 if there was no answer */
  private async sendProbe (address: string, path: string, id: string): Promise<number> {
    try {
      const answer: ClientAnswer = await sendCall(address, { path, id, deadlineMs: PROBE_TIMEOUT_MS, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) })
      return answer.status
    } catch {
      // The process is paused, killed or starting; the missing answer is counted as status 0.
      return 0
    }
  }

  private recordRun (workerId: string, { requestId }: WorkerRun): void {
    this.runsByRequest.set(requestId, [...this.runsByRequest.get(requestId) ?? [], this.workerLocations.get(workerId)!])
  }

  /**
   * Waits until all VMs are ready and use the newest version.
   * @param timeoutMs how long to wait for all of them, in milliseconds
   * @returns the names of the VMs that did not get there in time
   */
  private async waitUntilCurrent (timeoutMs: number): Promise<string[]> {
    const lateNodes: string[] = []
    const deadline = this.clock.now() + timeoutMs
    for (const entry of this.entries.list) {
      const isCurrent = async (): Promise<boolean> => await entry.isReady() && await this.readVersion(entry) === this.records.newestVersion
      if (!await waitForCondition(this.clock, deadline, POLL_INTERVAL_MS, isCurrent)) lateNodes.push(entry.settings.node)
    }
    return lateNodes
  }

  private async readVersion ({ settings }: RoutingEntry): Promise<number> {
    try {
      return await fetchConfigurationVersion(settings.listen.metrics, AbortSignal.timeout(PROBE_TIMEOUT_MS))
    } catch {
      // The caller polls until its timeout.
      return NaN
    }
  }

  private async checkRecovery (): Promise<void> {
    for (const node of await this.waitUntilCurrent(RECOVERY_TIMEOUT_MS)) this.checker.report(RoutingRule.NotRecovered, this.clock.now(), node, `not ready, or not at version ${this.records.newestVersion}`)
  }

  private buildResult (): RoutingResult {
    const { seed } = this.options
    const { violations, outOfContact } = this.checker
    const steps = this.plan.steps.map(({ fault, atMs }) => ({ fault, atMs: Math.round(atMs) }))
    return { seed, probes: this.probes, changes: this.changes, statuses: this.statuses, outOfContact, staleReadMs: Math.round(this.plan.staleReadMs), steps, violations }
  }
}

/**
 * Runs the routing soak once.
 * @param options the options of the run
 * @returns the result, after everything that the run started has ended
 */
export async function runRouting (options: RoutingOptions): Promise<RoutingResult> {
  return await new RoutingRun(options).run()
}
