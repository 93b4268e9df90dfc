/**
 * What daemons tell each other of workers: probes' findings and the load that
 * answers bring. A peer is told only of workers of which it has a part, so that
 * what a node sends does not grow with the fleet, and only what is fresh and new
 * to it.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'
import type { WorkerState } from '@umberspar/steering/common/workers/workerState'
import { DrainReports } from './drainReports.js'
import type { KnownWorker } from './placeDirectory.js'

/** What is older says nothing that the receiver should act on. */
const FRESH_SPAN_MS = 2_000
/** A load is told to the same peer at most once in this, and only if it moved. */
const REPEAT_SPAN_MS = 1_000
const LEAST_LOAD_CHANGE = 0.05
/** A load that did not move is told again after this, before it counts for nothing. */
const UNCHANGED_REPEAT_SPAN_MS = 2_000
/** About 50 bytes each; the most that one message carries. */
const MAX_REPORTS = 32

/** When peers last told of a worker; what is known from then is not first-hand. */
interface SecondHand {
  loadAt: Instant
  drainAt: Instant
}

/** Findings on workers, own and peers'. */
export class WorkerReports implements IClosable {
  private readonly found = new Map<string, WorkerReport>()
  private readonly secondHand = new Map<string, SecondHand>()
  private readonly toldByPeer = new Map<string, Map<string, WorkerReport>>()
  private readonly appliedAt = new Map<string, Instant>()
  private readonly didFind = new Emitter<readonly string[]>()
  private readonly lentDrains = new DrainReports()
  private byAddress = new Map<string, KnownWorker[]>()
  private byPeer = new Map<string, KnownWorker[]>()

  /** Fires with the ids of the peers that should hear at once of a changed health or drain. */
  readonly onDidFind = this.didFind.event

  constructor (
    private readonly selfId: string,
    private readonly clock: IClock
  ) {}

  /**
   * Takes over the workers of a configuration.
   * @param workers all workers
   */
  update (workers: readonly KnownWorker[]): void {
    this.byAddress = new Map()
    this.byPeer = new Map()
    for (const worker of workers) {
      addTo(this.byAddress, worker.address, worker)
      if (!worker.holders.includes(this.selfId)) continue
      for (const peer of worker.holders) {
        if (peer !== this.selfId) addTo(this.byPeer, peer, worker)
      }
    }
    for (const map of [this.found, this.secondHand, this.appliedAt]) removeOthers(map, this.byAddress)
    removeOthers(this.toldByPeer, this.byPeer)
  }

  /**
   * Takes in what the platform says of upstream VMs.
   * @param isLeaving whether the VM with a worker's id or address leaves
   */
  applyVmStates (isLeaving: (vm: string) => boolean): void {
    const now = this.clock.now()
    for (const [address, workers] of this.byAddress) {
      for (const { pool, workerId } of workers) pool.table.markVmLeaving(workerId, isLeaving(address) || isLeaving(workerId), now)
    }
  }

  /**
   * Takes in what an own probe found.
   * @param report the finding
   */
  record (report: WorkerReport): void {
    const before = this.found.get(report.workerId)
    this.found.set(report.workerId, report)
    this.apply(report)
    // Told at once, and until the drain is over with each probe again: in a large
    // fleet the other holders are no neighbours, and a message may be lost.
    if (isNotable(report) || (before !== undefined && hasStateChanged(before, report))) this.fireFound(report.workerId)
  }

  /**
   * Takes in what a peer told.
   * @param reports the peer's reports; worker ids in them are addresses
   */
  observe (reports: readonly WorkerReport[]): void {
    for (const report of reports) {
      if (!this.byAddress.has(report.workerId)) continue
      const known = this.secondHand.get(report.workerId)
      this.secondHand.set(report.workerId, {
        loadAt: Math.max(known?.loadAt ?? -Infinity, report.hasLoad ? report.measuredAt : -Infinity),
        drainAt: report.isDraining ? report.measuredAt : known?.drainAt ?? -Infinity
      })
      this.apply(report)
    }
  }

  /**
   * @param peerId a peer about to be spoken to
   * @returns what it has not been told, what matters most first
   */
  listFor (peerId: string): WorkerReport[] {
    const now = this.clock.now()
    const lentDrains = this.lentDrains.listFor((address) => this.listBorrowers(address, now).includes(peerId), now)
    const workers = this.byPeer.get(peerId)
    // No holder: it only borrows, or has nothing to do with any worker of ours.
    if (workers === undefined) return lentDrains.slice(0, MAX_REPORTS)
    const told = this.toldByPeer.get(peerId) ?? new Map<string, WorkerReport>()
    this.toldByPeer.set(peerId, told)
    const due = workers.flatMap((worker) => this.listReports(worker, now)).filter((report) => isDue(report, told.get(getSource(report))))
    const getToldAt = (report: WorkerReport): Instant => told.get(getSource(report))?.measuredAt ?? -Infinity
    due.sort((left, right) => Number(isNotable(right)) - Number(isNotable(left)) || compareInstants(getToldAt(left), getToldAt(right)))
    // A holder of one worker may borrow another's slots: it is told of both.
    const chosen = due.slice(0, Math.max(0, MAX_REPORTS - lentDrains.length))
    for (const report of chosen) told.set(getSource(report), report)
    return [...lentDrains.slice(0, MAX_REPORTS), ...chosen]
  }

  /**
   * A busy worker may answer requests while its probes come too late; it has not
   * failed, and the answers count.
   * @returns what this node's own probes found last, or an answer that came after a probe was lost
   */
  listFound (): WorkerReport[] {
    return [...this.found.values()].map((report) => {
      const answeredAt = report.isHealthy ? -Infinity : this.findAnsweredAt(report.workerId)
      return answeredAt > report.measuredAt ? { ...report, isHealthy: true, measuredAt: answeredAt } : report
    })
  }

  close (): void {
    this.didFind.close()
  }

  private findAnsweredAt (address: string): Instant {
    return Math.max(-Infinity, ...(this.byAddress.get(address) ?? []).map(({ workerId, pool }) => pool.table.get(workerId)?.answeredAt ?? -Infinity))
  }

  private listReports (worker: KnownWorker, now: Instant): WorkerReport[] {
    const reports = [this.found.get(worker.address), this.findAnswerReport(worker)]
    return reports.filter((report) => report !== undefined && now - report.measuredAt <= FRESH_SPAN_MS) as WorkerReport[]
  }

  /** What own answers told; nothing that only peers have told goes out again, or two nodes would keep it alive for ever. */
  private findAnswerReport ({ workerId, address, pool }: KnownWorker): WorkerReport | undefined {
    const state = pool.table.get(workerId)
    if (state === undefined) return undefined
    const isDraining = isFirstHandDrain(state, this.secondHand.get(address))
    const measuredAt = isDraining ? state.drainHeardAt : state.load?.takenAt
    if (measuredAt === undefined || (!isDraining && measuredAt <= (this.secondHand.get(address)?.loadAt ?? -Infinity))) return undefined
    // The own probe's load stands in the table as well and is told as the probe's.
    if (measuredAt === this.found.get(address)?.measuredAt) return undefined
    return { workerId: address, utilization: state.load?.utilization ?? 0, inFlight: state.inFlight, measuredAt, isDraining, isHealthy: true, isStarting: false, isProbed: false, hasLoad: state.load !== undefined }
  }

  private apply (report: WorkerReport): void {
    for (const worker of this.byAddress.get(report.workerId) ?? []) this.applyTo(worker, report)
    const now = this.clock.now()
    if (!this.lentDrains.observe(report, now)) return
    const borrowers = this.listBorrowers(report.workerId, now)
    if (borrowers.length > 0) this.didFind.fire(borrowers)
  }

  private applyTo ({ workerId, pool: { table } }: KnownWorker, report: WorkerReport): void {
    const { measuredAt, isProbed, isDraining, isHealthy } = report
    if (isDraining) table.markDraining(workerId, true, measuredAt)
    if (report.hasLoad) table.observeLoad(workerId, { utilization: report.utilization, takenAt: measuredAt })
    if (!isProbed) return
    // Two probers and their heartbeats may tell it in any order; an older word
    // would count a failure twice or call a worker started that is not.
    if (measuredAt <= (this.appliedAt.get(report.workerId) ?? -Infinity)) return
    this.appliedAt.set(report.workerId, measuredAt)
    const now = this.clock.now()
    if (!isHealthy && !isDraining) {
      table.observeProbeFailure(workerId, now)
      return
    }
    table.observeProbe(workerId, report.isStarting, now)
    if (!isDraining) table.markDraining(workerId, false, measuredAt)
  }

  private listBorrowers (address: string, now: Instant): string[] {
    return (this.byAddress.get(address) ?? []).flatMap(({ pool, workerId }) => pool.ledger.listBorrowers(pool.getSlotKey(workerId), now))
  }

  private fireFound (address: string): void {
    const peers = (this.byAddress.get(address) ?? []).flatMap(({ holders }) => holders)
    const others = [...new Set(peers)].filter((peer) => peer !== this.selfId)
    if (others.length > 0) this.didFind.fire(others)
  }
}

function isFirstHandDrain (state: WorkerState, secondHand: SecondHand | undefined): boolean {
  return state.isDrainAnnounced && state.drainHeardAt !== secondHand?.drainAt
}

/** A difference would be no number for two that were never told. */
function compareInstants (left: Instant, right: Instant): number {
  return left === right ? 0 : left < right ? -1 : 1
}

/** Probes and answers are told apart: one may tell what the other can't. */
function getSource (report: WorkerReport): string {
  return `${report.workerId}/${report.isProbed ? 'probe' : 'answer'}`
}

/** Whether a report keeps requests away, so that it goes first and again and again. */
function isNotable (report: WorkerReport): boolean {
  return report.isDraining || !report.isHealthy
}

function hasStateChanged (before: WorkerReport, after: WorkerReport): boolean {
  return before.isDraining !== after.isDraining || before.isHealthy !== after.isHealthy || before.isStarting !== after.isStarting
}

function isDue (report: WorkerReport, told: WorkerReport | undefined): boolean {
  // A digest may be lost; what keeps requests away is told in each.
  if (told === undefined || isNotable(report)) return true
  if (report.measuredAt <= told.measuredAt) return false
  if (hasStateChanged(told, report) || report.isProbed !== told.isProbed) return true
  const hasMoved = Math.abs(report.utilization - told.utilization) >= LEAST_LOAD_CHANGE
  return report.measuredAt - told.measuredAt >= (hasMoved ? REPEAT_SPAN_MS : UNCHANGED_REPEAT_SPAN_MS)
}

function addTo<V> (map: Map<string, V[]>, key: string, value: V): void {
  const list = map.get(key)
  if (list === undefined) map.set(key, [value])
  else list.push(value)
}

function removeOthers (map: Map<string, unknown>, kept: ReadonlyMap<string, unknown>): void {
  for (const key of map.keys()) {
    if (!kept.has(key)) map.delete(key)
  }
}
