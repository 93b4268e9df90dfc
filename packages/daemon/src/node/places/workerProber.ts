/**
 * Asks workers for their health, and for their load where no answer has told it
 * lately. Each worker is probed by two entry VMs only, chosen by rank among those
 * that have a part of it: only they may open connections to it, and what they
 * find concerns them first. A probe costs a worker up to 6 ms of a slot.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { type IUpstreamTransport, ProbeScope } from '@umberspar/adapters/node/upstream/upstreamTransport'
import { rankByRendezvous } from '@umberspar/steering/common/lookup/rendezvous'
import type { KnownWorker } from './placeDirectory.js'
import type { WorkerReports } from './workerReports.js'

const PROBERS_PER_WORKER = 2
/**
 * Health is asked however lately answers came, since a worker may tell of its
 * drain there alone. Two probers at 1 s ask every 0.5 s on average; one alone
 * still hears of a drain within 1.1 s and the time of a probe.
 */
const PROBE_SPAN_MS = 1_000
const PROBE_JITTER = 0.1
const PROBE_DEADLINE_MS = 700
/** A load known from answers or peers is not asked for within this. */
const LOAD_FRESH_SPAN_MS = 1_000
const TICK_SPAN_MS = 100

const NO_LOAD = { utilization: 0, inFlight: 0 }

/** A worker that this entry VM probes. */
interface ProbedWorker {
  worker: KnownWorker
  dueAt: Deadline
  isRunning: boolean
}

/** Probes this entry VM's part of the workers. */
export class WorkerProber implements IClosable {
  private readonly own = new Map<string, ProbedWorker>()
  private timer: ITimer | undefined
  private isClosed = false

  constructor (
    private readonly selfId: string,
    private readonly transport: IUpstreamTransport,
    private readonly reports: WorkerReports,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /**
   * Takes over the workers of a configuration.
   * @param workers all workers
   */
  update (workers: readonly KnownWorker[]): void {
    const before = new Map(this.own)
    this.own.clear()
    for (const worker of workers) {
      const rank = rankByRendezvous(worker.address, worker.holders).indexOf(this.selfId)
      if (rank === -1 || rank >= PROBERS_PER_WORKER) continue
      const known = before.get(worker.address) ?? this.createProbed(worker)
      known.worker = worker
      this.own.set(worker.address, known)
    }
  }

  /**
   * @param address a worker's `host:port`
   * @returns whether this node probes it
   */
  isProber (address: string): boolean {
    return this.own.has(address)
  }

  /** Begins to probe. */
  start (): void {
    this.scheduleTick()
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private createProbed (worker: KnownWorker): ProbedWorker {
    const dueAt = createDeadline(this.clock.now(), this.random.next() * PROBE_SPAN_MS)
    return { worker, dueAt, isRunning: false }
  }

  private scheduleTick (): void {
    if (this.isClosed) return
    this.timer = this.clock.schedule(createDeadline(this.clock.now(), TICK_SPAN_MS), () => {
      for (const probed of this.own.values()) this.startIfDue(probed)
      this.scheduleTick()
    })
  }

  private startIfDue (probed: ProbedWorker): void {
    const now = this.clock.now()
    if (probed.isRunning || !hasPassed(probed.dueAt, now)) return
    probed.dueAt = createDeadline(now, addJitter(this.random, PROBE_SPAN_MS, PROBE_JITTER))
    probed.isRunning = true
    runDetached(() => this.probe(probed.worker).finally(() => { probed.isRunning = false }), this.logger, 'probe-worker')
  }

  private async probe ({ address, workerId, pool }: KnownWorker): Promise<void> {
    // What the worker says was true at some instant after this one; taken for the
    // instant of the answer, a "ready" could look newer than a drain heard meanwhile.
    const measuredAt = this.clock.now()
    const load = pool.table.get(workerId)?.load
    const isLoadFresh = load !== undefined && measuredAt - load.takenAt < LOAD_FRESH_SPAN_MS
    const scope = isLoadFresh ? ProbeScope.Health : ProbeScope.HealthAndLoad
    const probed = await this.transport.probe(address, createDeadline(measuredAt, PROBE_DEADLINE_MS), scope)
    if (this.isClosed) return
    if (probed.ok) {
      const { isDraining, isHealthy, isStarting } = probed.val
      const { utilization, inFlight } = probed.val.load ?? NO_LOAD
      this.reports.record({ workerId: address, utilization, inFlight, measuredAt, isDraining, isHealthy, isStarting, isProbed: true, hasLoad: probed.val.load !== undefined })
      return
    }
    // Every connection of ours is busy: that says nothing of the worker's health.
    if (probed.val.code === ErrorCode.Exhausted) return
    this.reports.record({ workerId: address, ...NO_LOAD, measuredAt, isDraining: false, isHealthy: false, isStarting: false, isProbed: true, hasLoad: false })
  }
}
