/**
 * Asks workers for their health when no answer has told it lately. Each worker
 * is probed by two entry VMs only, chosen by rank, since a probe costs a worker
 * up to 6 ms; what they find travels with the heartbeats.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { IUpstreamTransport } from '@umberspar/platform/node/upstream/upstreamTransport'
import { rankByRendezvous } from '@umberspar/steering/common/lookup/rendezvous'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'
import type { KnownWorker } from './placeDirectory.js'

const PROBERS_PER_WORKER = 2
const PROBE_SPAN_MS = 500
const PROBE_JITTER = 0.3
const PROBE_DEADLINE_MS = 2000

/** Probes this entry VM's part of the workers. */
export class WorkerProber implements IClosable {
  private readonly found = new Map<string, WorkerReport>()
  private readonly appliedAt = new Map<string, Instant>()
  private own: KnownWorker[] = []
  private byAddress = new Map<string, KnownWorker>()
  private timer: ITimer | undefined
  private isClosed = false

  constructor (
    private readonly selfId: string,
    private readonly transport: IUpstreamTransport,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /**
   * Takes over the workers of a configuration and the entry VMs that share the probing.
   * @param workers all workers
   * @param nodeIds entry VMs of the roster
   */
  update (workers: readonly KnownWorker[], nodeIds: readonly string[]): void {
    this.byAddress = new Map(workers.map((worker) => [worker.address, worker]))
    this.own = workers.filter((worker) =>
      rankByRendezvous(worker.address, nodeIds).slice(0, PROBERS_PER_WORKER).includes(this.selfId))
    const addresses = new Set(this.own.map((worker) => worker.address))
    for (const address of this.found.keys()) {
      if (!addresses.has(address)) this.found.delete(address)
    }
  }

  /**
   * @param address a worker's `host:port`
   * @returns whether this node probes it
   */
  isProber (address: string): boolean {
    return this.own.some((worker) => worker.address === address)
  }

  /** Begins to probe. */
  start (): void {
    this.scheduleRound()
  }

  /**
   * @returns what this node's own probes found, for the heartbeat
   */
  listReports (): WorkerReport[] {
    return [...this.found.values()]
  }

  /**
   * Takes in what a peer's probes found.
   * @param reports the peer's reports; worker ids in them are addresses
   */
  observeReports (reports: readonly WorkerReport[]): void {
    for (const report of reports) {
      const worker = this.byAddress.get(report.workerId)
      if (worker !== undefined) this.apply(worker, report)
    }
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private scheduleRound (): void {
    if (this.isClosed) return
    const at = createDeadline(this.clock.now(), addJitter(this.random, PROBE_SPAN_MS, PROBE_JITTER))
    this.timer = this.clock.schedule(at, () => {
      runDetached(() => this.sendRound().finally(() => this.scheduleRound()), this.logger, 'probe-workers')
    })
  }

  private async sendRound (): Promise<void> {
    await Promise.all(this.own.map((worker) => this.probe(worker)))
  }

  private async probe (worker: KnownWorker): Promise<void> {
    const probed = await this.transport.probe(worker.address, createDeadline(this.clock.now(), PROBE_DEADLINE_MS))
    if (this.isClosed) return
    // Every connection of ours is busy: that says nothing of the worker's health.
    if (!probed.ok && probed.val.code === ErrorCode.Exhausted) return
    const measuredAt = this.clock.now()
    const report: WorkerReport = probed.ok
      ? { workerId: worker.address, utilization: probed.val.utilization, inFlight: probed.val.inFlight, measuredAt, isDraining: probed.val.isDraining, isHealthy: probed.val.isHealthy }
      : { workerId: worker.address, utilization: 0, inFlight: 0, measuredAt, isDraining: false, isHealthy: false }
    this.found.set(worker.address, report)
    this.apply(worker, report)
  }

  private apply (worker: KnownWorker, report: WorkerReport): void {
    const { measuredAt } = report
    // Two probers and their heartbeats may tell it in any order; an older word
    // would send new work to a worker that has begun to drain.
    if (measuredAt <= (this.appliedAt.get(worker.address) ?? -Infinity)) return
    this.appliedAt.set(worker.address, measuredAt)
    const { table } = worker.pool
    if (!report.isHealthy && !report.isDraining) {
      table.observeFailure(worker.workerId, this.clock.now())
      return
    }
    table.observeLoad(worker.workerId, { utilization: report.utilization, takenAt: measuredAt })
    table.markDraining(worker.workerId, report.isDraining, this.clock.now())
  }
}
