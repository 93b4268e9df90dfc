/**
 * Probes workers for their health, and for their load unless a recent answer has
 * contained it. Each worker is probed by only two entry VMs, chosen by rank among
 * those that have a share of its slots: only these may open connections to it,
 * and the results concern them first. A probe occupies a worker's slot for up to
 * 6 ms.
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
import type { PlaceWorker } from './placeDirectory.js'
import type { WorkerReports } from './workerReports.js'

const PROBERS_PER_WORKER = 2
/**
 * Health is probed even if answers came recently, because a worker may announce
 * its drain there alone. With an interval of 1 s, two probers probe every 0.5 s on
 * average, and a single one detects a drain within 1.1 s plus the probe's duration.
 */
const PROBE_INTERVAL_MS = 1_000
const PROBE_JITTER_RATIO = 0.1
const PROBE_TIMEOUT_MS = 700
/** The load is not probed while a load that is newer than this is known from answers or peers. */
const MAX_LOAD_AGE_MS = 1_000
const TICK_INTERVAL_MS = 100

const NO_LOAD = { utilization: 0, inFlight: 0 }

/** A worker that this entry VM probes. */
interface ProbedWorker {
  worker: PlaceWorker
  dueAt: Deadline
  isRunning: boolean
}

/** Probes the workers for which this entry VM is a prober. */
export class WorkerProber implements IClosable {
  private readonly probedWorkers = new Map<string, ProbedWorker>()
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
   * Applies the workers of a configuration.
   * @param workers all configured workers
   */
  update (workers: readonly PlaceWorker[]): void {
    const previous = new Map(this.probedWorkers)
    this.probedWorkers.clear()
    for (const worker of workers) {
      const rank = rankByRendezvous(worker.address, worker.shareHolders).indexOf(this.selfId)
      if (rank === -1 || rank >= PROBERS_PER_WORKER) continue
      const probed = previous.get(worker.address) ?? this.createProbedWorker(worker)
      probed.worker = worker
      this.probedWorkers.set(worker.address, probed)
    }
  }

  /**
   * @param address a worker's `host:port`
   * @returns whether this node probes it
   */
  isProber (address: string): boolean {
    return this.probedWorkers.has(address)
  }

  /** Starts probing. */
  start (): void {
    this.scheduleTick()
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private createProbedWorker (worker: PlaceWorker): ProbedWorker {
    const dueAt = createDeadline(this.clock.now(), this.random.next() * PROBE_INTERVAL_MS)
    return { worker, dueAt, isRunning: false }
  }

  private scheduleTick (): void {
    if (this.isClosed) return
    this.timer = this.clock.schedule(createDeadline(this.clock.now(), TICK_INTERVAL_MS), () => {
      for (const probed of this.probedWorkers.values()) this.startIfDue(probed)
      this.scheduleTick()
    })
  }

  private startIfDue (probed: ProbedWorker): void {
    const now = this.clock.now()
    if (probed.isRunning || !hasPassed(probed.dueAt, now)) return
    probed.dueAt = createDeadline(now, addJitter(this.random, PROBE_INTERVAL_MS, PROBE_JITTER_RATIO))
    probed.isRunning = true
    runDetached(() => this.probe(probed.worker).finally(() => { probed.isRunning = false }), this.logger, 'probe-worker')
  }

  private async probe ({ address, workerId, pool }: PlaceWorker): Promise<void> {
    // The worker's answer describes some instant after this one. If it were dated by
    // its arrival, "ready" could seem newer than a drain announced in the meantime.
    const measuredAt = this.clock.now()
    const load = pool.table.get(workerId)?.load
    const isLoadFresh = load !== undefined && measuredAt - load.takenAt < MAX_LOAD_AGE_MS
    const scope = isLoadFresh ? ProbeScope.Health : ProbeScope.HealthAndLoad
    const probed = await this.transport.probe(address, createDeadline(measuredAt, PROBE_TIMEOUT_MS), scope)
    if (this.isClosed) return
    if (probed.ok) {
      const { isDraining, isHealthy, isStarting } = probed.val
      const { utilization, inFlight } = probed.val.load ?? NO_LOAD
      this.reports.record({ workerId: address, utilization, inFlight, measuredAt, isDraining, isHealthy, isStarting, isProbed: true, hasLoad: probed.val.load !== undefined })
      return
    }
    // All of this node's connections are busy, which says nothing about the worker's health.
    if (probed.val.code === ErrorCode.Exhausted) return
    this.reports.record({ workerId: address, ...NO_LOAD, measuredAt, isDraining: false, isHealthy: false, isStarting: false, isProbed: true, hasLoad: false })
  }
}
