/**
 * Simulated time, the product's own tables and choice: two entry VMs send Poisson
 * arrivals to the workers of one place. Answers carry the load; each entry VM
 * hears of the other's answers only every half second, as by heartbeats.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { chooseWorker } from '@umberspar/steering/common/workers/chooseWorker'
import type { LoadReport } from '@umberspar/steering/common/workers/workerState'
import { DEFAULT_WORKER_POLICY, WorkerTable } from '@umberspar/steering/common/workers/workerTable'
import { EventQueue } from './eventQueue.js'

/** What is wrong with the first worker of the place. */
export interface WorkerFlaw {
  /** Multiplies its service times. */
  readonly slowFactor?: number
  /** It starts cold: this multiplies its service times at first, 1 after `COLD_SPAN_MS`. */
  readonly coldFactor?: number
  /** What it says of its load whatever it is. */
  readonly claims?: number
  /** It answers every request with an error, at once. */
  readonly fails?: boolean
}

/** How workers are chosen. */
export type Choice = typeof chooseWorker

/** What one run showed. */
export interface ChoiceResult {
  readonly latencies: readonly number[]
  /** The part of all requests that the flawed worker got. */
  readonly flawedPart: number
  /** The part of all requests that failed. */
  readonly failedPart: number
}

const ENTRIES = 2
const WORKERS = 12
const SLOTS = 4
const MEAN_SPAN_MS = 10
const SIGMA = 0.5
const UTILIZATION = 0.6
const COLD_SPAN_MS = 10_000
const SHARE_SPAN_MS = 500
const FAIL_SPAN_MS = 1
const FLAWED = 'w0'

interface SimulatedWorker {
  readonly flaw: WorkerFlaw
  inFlight: number
}

interface RunningRequest {
  readonly entry: number
  readonly workerId: string
  readonly worker: SimulatedWorker
  readonly arrivedAt: Instant
  readonly startedAt: Instant
}

/** One run of one choice against one flaw. */
export class ChoiceBench {
  private readonly events = new EventQueue()
  private readonly random: SeededRandom
  private readonly workers = new Map<string, SimulatedWorker>()
  private readonly tables: WorkerTable[] = []
  private readonly waiting: Instant[][] = []
  private readonly latest = new Map<string, LoadReport>()
  private readonly latencies: number[] = []
  private flawed = 0
  private failed = 0

  /**
   * @param choice how to choose
   * @param flaw what is wrong with the first worker
   * @param seed of arrivals, service times and choices
   */
  constructor (private readonly choice: Choice, flaw: WorkerFlaw, seed: number) {
    this.random = new SeededRandom(seed)
    for (let index = 0; index < WORKERS; index++) this.workers.set(`w${index}`, { flaw: index === 0 ? flaw : {}, inFlight: 0 })
    const known = new Map([...this.workers.keys()].map((id) => [id, { address: id, slots: SLOTS / ENTRIES }]))
    for (let entry = 0; entry < ENTRIES; entry++) {
      const table = new WorkerTable({ ...DEFAULT_WORKER_POLICY, warmUpSpanMs: COLD_SPAN_MS })
      table.updateWorkers(known, 0)
      if (flaw.coldFactor !== undefined) table.markStarted(FLAWED, 0)
      this.tables.push(table)
      this.waiting.push([])
    }
  }

  /**
   * @param spanMs simulated time
   * @returns what callers saw
   */
  run (spanMs: number): ChoiceResult {
    for (let entry = 0; entry < ENTRIES; entry++) this.scheduleArrival(entry)
    this.scheduleSharing()
    this.events.runUntil(spanMs)
    const total = this.latencies.length + this.failed
    return { latencies: this.latencies, flawedPart: this.flawed / total, failedPart: this.failed / total }
  }

  private scheduleArrival (entry: number): void {
    const perMs = UTILIZATION * WORKERS * SLOTS / MEAN_SPAN_MS / ENTRIES
    const at = this.events.now() - Math.log(1 - this.random.next()) / perMs
    this.events.schedule(at, () => {
      this.waiting[entry]!.push(this.events.now())
      this.startWaiting(entry)
      this.scheduleArrival(entry)
    })
  }

  private startWaiting (entry: number): void {
    const queue = this.waiting[entry]!
    const table = this.tables[entry]!
    while (queue.length > 0) {
      const workerId = this.choice(table.list(), this.events.now(), this.random)
      if (workerId === undefined || !table.reserve(workerId)) return
      this.startRequest(entry, workerId, queue.shift()!)
    }
  }

  private startRequest (entry: number, workerId: string, arrivedAt: Instant): void {
    const startedAt = this.events.now()
    const worker = this.workers.get(workerId)!
    worker.inFlight++
    if (workerId === FLAWED) this.flawed++
    const endsAt = this.events.now() + this.computeServiceSpan(worker.flaw)
    this.events.schedule(endsAt, () => this.finishRequest({ entry, workerId, worker, arrivedAt, startedAt }))
  }

  private finishRequest ({ entry, workerId, worker, arrivedAt, startedAt }: RunningRequest): void {
    const now = this.events.now()
    const table = this.tables[entry]!
    const report = { utilization: worker.flaw.claims ?? worker.inFlight / SLOTS, takenAt: now }
    worker.inFlight--
    this.latest.set(workerId, report)
    table.observeLoad(workerId, report)
    if (worker.flaw.fails === true) {
      table.observeFailure(workerId, now)
      this.failed++
    } else {
      table.observeAnswer(workerId, now)
      table.observeAnswerTime(workerId, now - startedAt, now)
      this.latencies.push(now - arrivedAt)
    }
    table.release(workerId)
    this.startWaiting(entry)
  }

  private scheduleSharing (): void {
    this.events.schedule(this.events.now() + SHARE_SPAN_MS, () => {
      for (const [workerId, report] of this.latest) {
        for (const table of this.tables) table.observeLoad(workerId, report)
      }
      this.scheduleSharing()
    })
  }

  private computeServiceSpan ({ slowFactor = 1, coldFactor = 1, fails }: WorkerFlaw): number {
    if (fails === true) return FAIL_SPAN_MS
    const normal = Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(2 * Math.PI * this.random.next())
    const warmth = Math.min(1, this.events.now() / COLD_SPAN_MS)
    const factor = slowFactor * (coldFactor - (coldFactor - 1) * warmth)
    return MEAN_SPAN_MS * factor * Math.exp(SIGMA * normal - SIGMA * SIGMA / 2)
  }
}
