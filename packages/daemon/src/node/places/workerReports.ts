/**
 * Exchanges reports on workers between daemons: probe results and the load that
 * answers contain. A peer receives reports only on workers whose slots it shares
 * or borrows, so that messages do not grow with the fleet, and only reports that
 * are fresh and new to it.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'
import type { WorkerState } from '@umberspar/steering/common/workers/workerState'
import { DrainReports } from './drainReports.js'
import type { PlaceWorker } from './placeDirectory.js'

/** Older reports are not sent because the receiver should not act on them. */
const MAX_REPORT_AGE_MS = 2_000
/** Minimum time between two load reports to the same peer if the load has changed. */
const CHANGED_LOAD_INTERVAL_MS = 1_000
const MIN_UTILIZATION_CHANGE = 0.05
/** An unchanged load is reported again after this time, before the receiver discards it as stale. */
const UNCHANGED_LOAD_INTERVAL_MS = 2_000
/** Limits the size of a message; a report takes about 50 bytes. */
const MAX_REPORTS_PER_MESSAGE = 32

/** Times of the newest reports on a worker that came from peers; what is known from them is not first-hand. */
interface RelayedTimes {
  loadAt: Instant
  drainAt: Instant
}

/** Collects reports on workers from this node and its peers. */
export class WorkerReports implements IClosable {
  private readonly probeReports = new Map<string, WorkerReport>()
  private readonly relayedTimes = new Map<string, RelayedTimes>()
  private readonly sentByPeer = new Map<string, Map<string, WorkerReport>>()
  private readonly probeAppliedAt = new Map<string, Instant>()
  private readonly didChangeState = new Emitter<readonly string[]>()
  private readonly lentWorkerDrains = new DrainReports()
  private workersByAddress = new Map<string, PlaceWorker[]>()
  private workersByPeer = new Map<string, PlaceWorker[]>()

  /** Fires with the ids of the peers that should be told immediately of a worker's changed health or drain. */
  readonly onDidChangeState = this.didChangeState.event

  constructor (
    private readonly selfId: string,
    private readonly clock: IClock
  ) {}

  /**
   * Applies the workers of a configuration.
   * @param workers all configured workers
   */
  update (workers: readonly PlaceWorker[]): void {
    this.workersByAddress = new Map()
    this.workersByPeer = new Map()
    for (const worker of workers) {
      addToList(this.workersByAddress, worker.address, worker)
      if (!worker.shareHolders.includes(this.selfId)) continue
      for (const peer of worker.shareHolders) {
        if (peer !== this.selfId) addToList(this.workersByPeer, peer, worker)
      }
    }
    for (const map of [this.probeReports, this.relayedTimes, this.probeAppliedAt]) removeMissingKeys(map, this.workersByAddress)
    removeMissingKeys(this.sentByPeer, this.workersByPeer)
  }

  /**
   * Applies the states of upstream VMs as the platform lists them.
   * @param isLeaving whether the VM with a worker's id or address is leaving
   */
  applyVmStates (isLeaving: (vm: string) => boolean): void {
    const now = this.clock.now()
    for (const [address, workers] of this.workersByAddress) {
      for (const { pool, workerId } of workers) pool.table.markVmRemoval(workerId, isLeaving(address) || isLeaving(workerId), now)
    }
  }

  /**
   * Records the result of a probe by this node.
   * @param report the result
   */
  record (report: WorkerReport): void {
    const previous = this.probeReports.get(report.workerId)
    this.probeReports.set(report.workerId, report)
    this.apply(report)
    // Peers are told immediately, and after each probe again until the drain is over:
    // in a large fleet the other share holders aren't neighbours, and a message may be lost.
    if (isUrgent(report) || (previous !== undefined && hasStateChanged(previous, report))) this.publishStateChange(report.workerId)
  }

  /**
   * Records reports of a peer.
   * @param reports the peer's reports, with addresses as worker ids
   */
  observe (reports: readonly WorkerReport[]): void {
    for (const report of reports) {
      if (!this.workersByAddress.has(report.workerId)) continue
      const previous = this.relayedTimes.get(report.workerId)
      this.relayedTimes.set(report.workerId, {
        loadAt: Math.max(previous?.loadAt ?? -Infinity, report.hasLoad ? report.measuredAt : -Infinity),
        drainAt: report.isDraining ? report.measuredAt : previous?.drainAt ?? -Infinity
      })
      this.apply(report)
    }
  }

  /**
   * @param peerId the peer that a message is built for
   * @returns reports that are new to the peer, the most important first
   */
  listFor (peerId: string): WorkerReport[] {
    const now = this.clock.now()
    const drainReports = this.lentWorkerDrains.listFor((address) => this.listBorrowers(address, now).includes(peerId), now)
    const workers = this.workersByPeer.get(peerId)
    // The peer shares no worker with this node; it may still borrow slots.
    if (workers === undefined) return drainReports.slice(0, MAX_REPORTS_PER_MESSAGE)
    const sent = this.sentByPeer.get(peerId) ?? new Map<string, WorkerReport>()
    this.sentByPeer.set(peerId, sent)
    const dueReports = workers.flatMap((worker) => this.listReports(worker, now)).filter((report) => isDue(report, sent.get(getSourceKey(report))))
    const getSentAt = (report: WorkerReport): Instant => sent.get(getSourceKey(report))?.measuredAt ?? -Infinity
    dueReports.sort((left, right) => Number(isUrgent(right)) - Number(isUrgent(left)) || compareInstants(getSentAt(left), getSentAt(right)))
    // A peer that has a share of one worker may borrow slots of another; it gets reports on both.
    const chosen = dueReports.slice(0, Math.max(0, MAX_REPORTS_PER_MESSAGE - drainReports.length))
    for (const report of chosen) sent.set(getSourceKey(report), report)
    return [...drainReports.slice(0, MAX_REPORTS_PER_MESSAGE), ...chosen]
  }

  /**
   * A busy worker may answer requests while it is too slow to answer probes. It has
   * not failed, so a later answer overrides a failed probe.
   * @returns this node's last probe result for each worker, as healthy if an answer came after a failed probe
   */
  listOwnReports (): WorkerReport[] {
    return [...this.probeReports.values()].map((report) => {
      const answeredAt = report.isHealthy ? -Infinity : this.findLastAnswerAt(report.workerId)
      return answeredAt > report.measuredAt ? { ...report, isHealthy: true, measuredAt: answeredAt } : report
    })
  }

  close (): void {
    this.didChangeState.close()
  }

  private findLastAnswerAt (address: string): Instant {
    return Math.max(-Infinity, ...(this.workersByAddress.get(address) ?? []).map(({ workerId, pool }) => pool.table.get(workerId)?.lastResponseAt ?? -Infinity))
  }

  private listReports (worker: PlaceWorker, now: Instant): WorkerReport[] {
    const reports = [this.probeReports.get(worker.address), this.findAnswerReport(worker)]
    return reports.filter((report) => report !== undefined && now - report.measuredAt <= MAX_REPORT_AGE_MS) as WorkerReport[]
  }

  /** Reports what answers to this node have shown. Relayed reports are not sent on, or two nodes would keep them alive forever. */
  private findAnswerReport ({ workerId, address, pool }: PlaceWorker): WorkerReport | undefined {
    const state = pool.table.get(workerId)
    if (state === undefined) return undefined
    const isDraining = isFirstHandDrain(state, this.relayedTimes.get(address))
    const measuredAt = isDraining ? state.drainReportedAt : state.load?.takenAt
    if (measuredAt === undefined || (!isDraining && measuredAt <= (this.relayedTimes.get(address)?.loadAt ?? -Infinity))) return undefined
    // This load comes from this node's probe and is reported with it.
    if (measuredAt === this.probeReports.get(address)?.measuredAt) return undefined
    return { workerId: address, utilization: state.load?.utilization ?? 0, inFlight: state.inFlight, measuredAt, isDraining, isHealthy: true, isStarting: false, isProbed: false, hasLoad: state.load !== undefined }
  }

  private apply (report: WorkerReport): void {
    for (const worker of this.workersByAddress.get(report.workerId) ?? []) this.applyToWorker(worker, report)
    const now = this.clock.now()
    if (!this.lentWorkerDrains.observe(report, now)) return
    const borrowers = this.listBorrowers(report.workerId, now)
    if (borrowers.length > 0) this.didChangeState.fire(borrowers)
  }

  private applyToWorker ({ workerId, pool: { table } }: PlaceWorker, report: WorkerReport): void {
    const { measuredAt, isProbed, isDraining, isHealthy } = report
    if (isDraining) table.markDraining(workerId, true, measuredAt)
    if (report.hasLoad) table.observeLoad(workerId, { utilization: report.utilization, takenAt: measuredAt })
    if (!isProbed) return
    // Reports of two probers and of heartbeats arrive in any order; an outdated one
    // could count a failure twice or mark a worker as started that is not.
    if (measuredAt <= (this.probeAppliedAt.get(report.workerId) ?? -Infinity)) return
    this.probeAppliedAt.set(report.workerId, measuredAt)
    const now = this.clock.now()
    if (!isHealthy && !isDraining) {
      table.observeProbeFailure(workerId, now)
      return
    }
    table.observeProbe(workerId, report.isStarting, now)
    if (!isDraining) table.markDraining(workerId, false, measuredAt)
  }

  private listBorrowers (address: string, now: Instant): string[] {
    return (this.workersByAddress.get(address) ?? []).flatMap(({ pool, workerId }) => pool.ledger.listBorrowers(pool.getSlotKey(workerId), now))
  }

  private publishStateChange (address: string): void {
    const peers = (this.workersByAddress.get(address) ?? []).flatMap(({ shareHolders }) => shareHolders)
    const others = [...new Set(peers)].filter((peer) => peer !== this.selfId)
    if (others.length > 0) this.didChangeState.fire(others)
  }
}

function isFirstHandDrain (state: WorkerState, relayedTimes: RelayedTimes | undefined): boolean {
  return state.isDrainReported && state.drainReportedAt !== relayedTimes?.drainAt
}

/** Compares instants of which both may be -Infinity, whose difference would be NaN. */
function compareInstants (left: Instant, right: Instant): number {
  return left === right ? 0 : left < right ? -1 : 1
}

/** Probes and answers have separate keys, since each may show what the other can't. */
function getSourceKey (report: WorkerReport): string {
  return `${report.workerId}/${report.isProbed ? 'probe' : 'answer'}`
}

/** Whether a report keeps requests away from a worker; such reports are sent first and repeatedly. */
function isUrgent (report: WorkerReport): boolean {
  return report.isDraining || !report.isHealthy
}

function hasStateChanged (previous: WorkerReport, next: WorkerReport): boolean {
  return previous.isDraining !== next.isDraining || previous.isHealthy !== next.isHealthy || previous.isStarting !== next.isStarting
}

function isDue (report: WorkerReport, sent: WorkerReport | undefined): boolean {
  // Digests may be lost, so urgent reports are part of each.
  if (sent === undefined || isUrgent(report)) return true
  if (report.measuredAt <= sent.measuredAt) return false
  if (hasStateChanged(sent, report) || report.isProbed !== sent.isProbed) return true
  const hasLoadChanged = Math.abs(report.utilization - sent.utilization) >= MIN_UTILIZATION_CHANGE
  return report.measuredAt - sent.measuredAt >= (hasLoadChanged ? CHANGED_LOAD_INTERVAL_MS : UNCHANGED_LOAD_INTERVAL_MS)
}

function addToList<V> (map: Map<string, V[]>, key: string, value: V): void {
  const list = map.get(key)
  if (list === undefined) map.set(key, [value])
  else list.push(value)
}

function removeMissingKeys (map: Map<string, unknown>, kept: ReadonlyMap<string, unknown>): void {
  for (const key of map.keys()) {
    if (!kept.has(key)) map.delete(key)
  }
}
