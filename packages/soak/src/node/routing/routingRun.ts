/**
 * One run of the routing soak: real entry processes, an operator who moves routes to
 * other services and homes all the while, and probes of each VM that show by which
 * version it decides.
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
import { ContactLedger } from '../../common/routing/contactLedger.js'
import { planRouting, type RoutingFault, type RoutingPlan } from '../../common/routing/routingPlan.js'
import { RoutingHistory, type VersionRoute } from '../../common/routing/routingHistory.js'
import { RoutingEntries, type RoutingEntry, type RoutingFiles } from './routingEntries.js'
import { RoutingJudge, RoutingRule, type RoutingViolation } from './routingJudge.js'
import { type RoutingStage, runRoutingStep } from './routingSteps.js'

/** What to run. */
export interface RoutingOptions extends Pick<RoutingFiles, 'logs' | 'program'> {
  readonly seed: number
  readonly seconds: number
  /** Entry processes. */
  readonly processes: number
  /** The kinds of faults to draw from; all if left out. */
  readonly faults?: readonly RoutingFault[] | undefined
}

/** What a run showed. */
export interface RoutingResult {
  readonly seed: number
  readonly probes: number
  readonly changes: number
  /** Requests by their status; 0 for those without an answer. */
  readonly statuses: Readonly<Record<string, number>>
  /** Requests decided by a replaced version at VMs out of contact. */
  readonly outOfContact: number
  readonly staleReadMs: number
  readonly steps: ReadonlyArray<{ readonly fault: string, readonly atMs: number }>
  readonly violations: readonly RoutingViolation[]
}

const REGIONS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south', 'south-2': 'south' }
const SERVICES = ['archive', 'desk'] as const
const HOMES = [['north'], ['south']] as const
/** A change must be in force after this, and VMs are in contact this long after a disturbance, in milliseconds: the users' first deployment. */
const APPLY_MS = 2_500
const STABILITY_MS = 3_000
/** Each VM gets a probe this often, in milliseconds. */
const PROBE_MS = 30
const PROBE_WITHIN_MS = 2_000
const START_WITHIN_MS = 30_000
const RECOVER_WITHIN_MS = 15_000
const POLL_MS = 100
/** Routes that were added stay for this many versions. */
const ADDED_KEPT = 3
const WORK_MS = 20
const SUCCESS = 200

interface RunPlace {
  readonly service: string
  readonly region: string
}

/** One run. */
class RoutingRun {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly history = new RoutingHistory(APPLY_MS)
  private readonly contacts = new ContactLedger(STABILITY_MS)
  private readonly judge = new RoutingJudge(this.history, this.contacts)
  private readonly records = new PlatformRecords(REGIONS)
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-routing-'))
  private readonly plan: RoutingPlan
  private readonly entries: RoutingEntries
  private readonly workerLinks: TcpRelay[] = []
  private readonly places = new Map<string, RunPlace>()
  private readonly runs = new Map<string, RunPlace[]>()
  private readonly statuses: Record<string, number> = {}
  private areChangesHeld = false
  private changes = 0
  private probes = 0

  constructor (private readonly options: RoutingOptions) {
    this.plan = planRouting(options.seed, options.seconds, options.faults)
    this.closing.add(this.records.store)
    this.records.store.staleReadMs = this.plan.staleReadMs
    const files = { folder: this.folder, logs: options.logs, program: options.program }
    this.entries = this.closing.add(new RoutingEntries(this.records, files, (node, detail) => { this.judge.report(RoutingRule.EntryEnded, this.clock.now(), node, detail) }))
  }

  async run (): Promise<RoutingResult> {
    try {
      await this.startWorkers()
      this.writeVersion()
      await this.entries.start(this.options.processes)
      await this.waitForAll(START_WITHIN_MS)
      await this.runFaults()
      await this.checkRecovery()
      this.judge.end(this.clock.now())
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
        this.places.set(worker.id, { service, region })
        this.records.putWorker({ id: worker.id, service, domain, address: await link.start() })
      }
    }
  }

  /** Writes the next version: services and homes change places, the newest route comes, the oldest added one goes. */
  private writeVersion (): void {
    const number = ++this.changes
    const flip = number % 2
    const added = Array.from({ length: Math.min(number, ADDED_KEPT) }, (_, index) => number - index)
    const routes: VersionRoute[] = [
      { prefix: '/steady/', service: SERVICES[0], homes: [] },
      { prefix: '/moving/', service: SERVICES[flip]!, homes: [] },
      { prefix: '/moving/inner/', service: SERVICES[1 - flip]!, homes: [] },
      { prefix: '/homed/', service: SERVICES[0], homes: HOMES[flip]! },
      { prefix: '/homed/inner/', service: SERVICES[0], homes: HOMES[1 - flip]! },
      ...added.map((index) => ({ prefix: `/added-${index}/`, service: SERVICES[0], homes: [] }))
    ]
    const version = this.records.putConfiguration(routes.map(({ prefix, service, homes }) => createPath(prefix, service, homes)))
    this.history.add({ version, ackedAt: this.clock.now(), routes })
  }

  private async runFaults (): Promise<void> {
    const startedAt = this.clock.now()
    const stage: RoutingStage = {
      clock: this.clock,
      contacts: this.contacts,
      records: this.records,
      entries: this.entries.list,
      workerLinks: this.workerLinks,
      holdChanges: (isHeld) => { this.areChangesHeld = isHeld }
    }
    const until = startedAt + this.plan.untilMs
    await Promise.all([
      ...this.plan.steps.map(async (step) => {
        await waitUntil(this.clock, startedAt + step.atMs)
        await runRoutingStep(stage, step)
      }),
      ...this.plan.changesMs.map(async (atMs) => {
        await waitUntil(this.clock, startedAt + atMs)
        if (!this.areChangesHeld) this.writeVersion()
      }),
      ...this.entries.list.map(async (entry, index) => { await this.probeUntil(entry, index, until) })
    ])
  }

  private async probeUntil (entry: RoutingEntry, offset: number, until: Instant): Promise<void> {
    const open = new Set<Promise<void>>()
    for (let turn = offset; this.clock.now() < until; turn++) {
      const probe = this.probe(entry, turn)
      open.add(probe)
      probe.finally(() => open.delete(probe)).catch(() => {})
      await waitUntil(this.clock, this.clock.now() + PROBE_MS)
    }
    await Promise.all(open)
  }

  private async probe (entry: RoutingEntry, turn: number): Promise<void> {
    const paths = ['/steady/', '/moving/', '/homed/', `/added-${this.changes}/`, '/moving/inner/', '/homed/inner/', `/added-${this.changes - ADDED_KEPT}/`]
    const turns = turn % paths.length
    const path = `${paths[turns]}${turn}`
    const { node, listen } = entry.settings
    const requestId = `${node}-${++this.probes}`
    const sentAt = this.clock.now()
    const status = await this.send(listen.callers, path, requestId)
    const endedAt = this.clock.now()
    this.statuses[status] = (this.statuses[status] ?? 0) + 1
    const probe = { node, requestId, path, sentAt, endedAt }
    for (const ran of this.runs.get(requestId) ?? []) this.judge.check({ ...probe, outcome: { ran } })
    this.runs.delete(requestId)
    if (isDenied(status)) this.judge.check({ ...probe, outcome: { denied: status } })
    if (turns === 0) this.judge.count(probe, false, status === SUCCESS)
    // A route is owed only once it must be in force.
    const newest = this.history.newest
    if (path.startsWith(`/added-${this.changes}/`) && newest !== undefined && sentAt > newest.ackedAt + APPLY_MS) this.judge.count(probe, true, status === SUCCESS)
  }

  /** @returns the status; 0 if there was no answer */
  private async send (address: string, path: string, id: string): Promise<number> {
    try {
      const answer: ClientAnswer = await sendCall(address, { path, id, deadlineMs: PROBE_WITHIN_MS, signal: AbortSignal.timeout(PROBE_WITHIN_MS) })
      return answer.status
    } catch {
      // Paused, killed or starting: that no answer came is counted.
      return 0
    }
  }

  private recordRun (workerId: string, { requestId }: WorkerRun): void {
    this.runs.set(requestId, [...this.runs.get(requestId) ?? [], this.places.get(workerId)!])
  }

  private async waitForAll (withinMs: number): Promise<string[]> {
    const late: string[] = []
    const deadline = this.clock.now() + withinMs
    for (const entry of this.entries.list) {
      const isCurrent = async (): Promise<boolean> => await entry.isReady() && await this.readVersion(entry) === this.records.newestVersion
      if (!await waitForCondition(this.clock, deadline, POLL_MS, isCurrent)) late.push(entry.settings.node)
    }
    return late
  }

  private async readVersion ({ settings }: RoutingEntry): Promise<number> {
    try {
      return await fetchConfigurationVersion(settings.listen.metrics, AbortSignal.timeout(PROBE_WITHIN_MS))
    } catch {
      // It is asked again until the time is over.
      return NaN
    }
  }

  private async checkRecovery (): Promise<void> {
    for (const node of await this.waitForAll(RECOVER_WITHIN_MS)) this.judge.report(RoutingRule.NotRecovered, this.clock.now(), node, `not ready at version ${this.records.newestVersion}`)
  }

  private buildResult (): RoutingResult {
    const { seed } = this.options
    const { violations, outOfContact } = this.judge
    const steps = this.plan.steps.map(({ fault, atMs }) => ({ fault, atMs: Math.round(atMs) }))
    return { seed, probes: this.probes, changes: this.changes, statuses: this.statuses, outOfContact, staleReadMs: Math.round(this.plan.staleReadMs), steps, violations }
  }
}

/**
 * @param options what to run
 * @returns what it showed, once all that it started has ended
 */
export async function runRouting (options: RoutingOptions): Promise<RoutingResult> {
  return await new RoutingRun(options).run()
}
