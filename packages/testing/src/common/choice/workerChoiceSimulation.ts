/**
 * Simulates worker selection with the product's own worker tables and policy: two
 * entry VMs send Poisson arrivals to the workers of one place. Each answer reports
 * the worker's load. An entry VM sees the load reported to the other VM only every
 * half second, as it would through heartbeats.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { chooseWorker } from '@umberspar/steering/common/workers/chooseWorker'
import type { LoadReport } from '@umberspar/steering/common/workers/workerState'
import { DEFAULT_WORKER_POLICY, WorkerTable } from '@umberspar/steering/common/workers/workerTable'
import { EventQueue } from './eventQueue.js'

/** How the first worker misbehaves. */
export interface WorkerFault {
  /** Factor on its service times. */
  readonly slowFactor?: number
  /** Factor on its service times at a cold start; it decreases linearly to 1 within {@link WARM_UP_MS}. */
  readonly coldFactor?: number
  /** The utilization that it reports, whatever its load. */
  readonly reportedUtilization?: number
  /** Whether it immediately answers every request with an error. */
  readonly isFailing?: boolean
}

/** Chooses a worker for a request. */
export type WorkerChooser = typeof chooseWorker

/** The result of one simulation. */
export interface SimulationResult {
  /** Time from arrival to answer of each successful request, in milliseconds. */
  readonly latencies: readonly number[]
  /** Share of requests sent to the faulty worker, between 0 and 1. */
  readonly faultyWorkerShare: number
  /** Share of requests that failed, between 0 and 1. */
  readonly failedShare: number
}

const ENTRY_COUNT = 2
const WORKER_COUNT = 12
const SLOTS_PER_WORKER = 4
const MEAN_SERVICE_TIME_MS = 10
const SERVICE_TIME_SIGMA = 0.5
const TARGET_UTILIZATION_RATIO = 0.6
const WARM_UP_MS = 10_000
const LOAD_REPORT_INTERVAL_MS = 500
const FAILED_REQUEST_MS = 1
const FAULTY_WORKER_ID = 'w0'

interface WorkerSimulation {
  readonly fault: WorkerFault
  inFlight: number
}

interface RunningRequest {
  readonly entry: number
  readonly workerId: string
  readonly worker: WorkerSimulation
  readonly arrivedAt: Instant
  readonly startedAt: Instant
}

/** Simulates one way to choose workers with one worker fault. */
export class WorkerChoiceSimulation {
  private readonly events = new EventQueue()
  private readonly random: SeededRandom
  private readonly workersById = new Map<string, WorkerSimulation>()
  private readonly workerTableByEntry: WorkerTable[] = []
  private readonly waitingArrivalsByEntry: Instant[][] = []
  private readonly latestReportByWorker = new Map<string, LoadReport>()
  private readonly latencies: number[] = []
  private faultyWorkerRequestCount = 0
  private failedCount = 0

  /**
   * @param chooser chooses the worker of each request
   * @param fault how the first worker misbehaves
   * @param seed random seed of arrivals, service times and choices
   */
  constructor (private readonly chooser: WorkerChooser, fault: WorkerFault, seed: number) {
    this.random = new SeededRandom(seed)
    for (let index = 0; index < WORKER_COUNT; index++) this.workersById.set(`w${index}`, { fault: index === 0 ? fault : {}, inFlight: 0 })
    const knownWorkers = new Map([...this.workersById.keys()].map((id) => [id, { address: id, slots: SLOTS_PER_WORKER / ENTRY_COUNT }]))
    for (let entry = 0; entry < ENTRY_COUNT; entry++) {
      const table = new WorkerTable({ ...DEFAULT_WORKER_POLICY, warmUpMs: WARM_UP_MS })
      table.updateWorkers(knownWorkers, 0)
      if (fault.coldFactor !== undefined) table.markStarted(FAULTY_WORKER_ID, 0)
      this.workerTableByEntry.push(table)
      this.waitingArrivalsByEntry.push([])
    }
  }

  /**
   * @param durationMs simulated time to run
   * @returns latencies and failures as callers see them
   */
  run (durationMs: number): SimulationResult {
    for (let entry = 0; entry < ENTRY_COUNT; entry++) this.scheduleArrival(entry)
    this.scheduleLoadReports()
    this.events.runUntil(durationMs)
    const completedCount = this.latencies.length + this.failedCount
    return { latencies: this.latencies, faultyWorkerShare: this.faultyWorkerRequestCount / completedCount, failedShare: this.failedCount / completedCount }
  }

  private scheduleArrival (entry: number): void {
    const arrivalsPerMs = TARGET_UTILIZATION_RATIO * WORKER_COUNT * SLOTS_PER_WORKER / MEAN_SERVICE_TIME_MS / ENTRY_COUNT
    const at = this.events.now() - Math.log(1 - this.random.next()) / arrivalsPerMs
    this.events.schedule(at, () => {
      this.waitingArrivalsByEntry[entry]!.push(this.events.now())
      this.startWaiting(entry)
      this.scheduleArrival(entry)
    })
  }

  private startWaiting (entry: number): void {
    const queue = this.waitingArrivalsByEntry[entry]!
    const table = this.workerTableByEntry[entry]!
    while (queue.length > 0) {
      const workerId = this.chooser(table.list(), this.events.now(), this.random)
      if (workerId === undefined || !table.reserve(workerId)) return
      this.startRequest(entry, workerId, queue.shift()!)
    }
  }

  private startRequest (entry: number, workerId: string, arrivedAt: Instant): void {
    const startedAt = this.events.now()
    const worker = this.workersById.get(workerId)!
    worker.inFlight++
    if (workerId === FAULTY_WORKER_ID) this.faultyWorkerRequestCount++
    const endsAt = this.events.now() + this.computeServiceMs(worker.fault)
    this.events.schedule(endsAt, () => this.finishRequest({ entry, workerId, worker, arrivedAt, startedAt }))
  }

  private finishRequest ({ entry, workerId, worker, arrivedAt, startedAt }: RunningRequest): void {
    const now = this.events.now()
    const table = this.workerTableByEntry[entry]!
    const report = { utilization: worker.fault.reportedUtilization ?? worker.inFlight / SLOTS_PER_WORKER, takenAt: now }
    worker.inFlight--
    this.latestReportByWorker.set(workerId, report)
    table.observeLoad(workerId, report)
    if (worker.fault.isFailing === true) {
      table.observeFailure(workerId, now)
      this.failedCount++
    } else {
      table.observeResponse(workerId, now)
      table.observeResponseTime(workerId, now - startedAt, now)
      this.latencies.push(now - arrivedAt)
    }
    table.release(workerId)
    this.startWaiting(entry)
  }

  private scheduleLoadReports (): void {
    this.events.schedule(this.events.now() + LOAD_REPORT_INTERVAL_MS, () => {
      for (const [workerId, report] of this.latestReportByWorker) {
        for (const table of this.workerTableByEntry) table.observeLoad(workerId, report)
      }
      this.scheduleLoadReports()
    })
  }

  private computeServiceMs ({ slowFactor = 1, coldFactor = 1, isFailing: fails }: WorkerFault): number {
    if (fails === true) return FAILED_REQUEST_MS
    const standardNormal = Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(2 * Math.PI * this.random.next())
    const warmUpProgress = Math.min(1, this.events.now() / WARM_UP_MS)
    const factor = slowFactor * (coldFactor - (coldFactor - 1) * warmUpProgress)
    return MEAN_SERVICE_TIME_MS * factor * Math.exp(SERVICE_TIME_SIGMA * standardNormal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2)
  }
}
