/** What one entry VM has observed of one worker: its load, failures, speed and cold start. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { isSameIncarnation } from './departedWorkers.js'
import { type UpstreamRegistration, UpstreamState } from '../records.js'
import { WorkerAdvisory } from './workerAdvisory.js'
import { type LoadReport, WorkerLoad } from './workerLoad.js'
import { WorkerRate } from './workerRate.js'

/** Weight of the newest request in the mean failure rate; five failures in a row give two thirds. */
const FAILURE_SMOOTHING_FACTOR = 0.2
/** The failure rate of a worker without requests halves in this time, so that it is tried again. */
const FAILURE_HALF_LIFE_MS = 1_500
/** Weight of the newest answer in the mean slowdown. */
const SLOWDOWN_SMOOTHING_FACTOR = 0.3
/** The slowdown of a worker without answers halves in this time. */
const SLOWDOWN_HALF_LIFE_MS = 3_000
/** Upper limit of a worker's slowdown relative to its service. */
const MAX_SLOWDOWN_RATIO = 10
/** A request that takes this many times as long as expected, and at least the time below, counts against its worker. */
const OVERDUE_RATIO = 2.5
/** Short requests are often late by chance; none is overdue before this time. */
const MIN_OVERDUE_MS = 250
/** Minimum failure rate of a worker while one of its requests is overdue. */
const OVERDUE_FAILURE_RATE = 0.8

/** A request that a worker has not answered yet. */
export interface InFlightRequest {
  readonly overdueAt: Instant
}

/** One worker as observed by this entry VM. */
export class UpstreamTracker {
  /** What is running and waiting there. */
  readonly load = new WorkerLoad()
  private coldUntil: Deadline
  private readonly inFlight = new Set<InFlightRequest>()
  private failureRate = 0
  private failureRateAt: Instant = 0
  private slowdown = 1
  private slowdownAt: Instant = 0
  /** Requests sent to the worker by this VM. */
  sentCount = 0

  /**
   * @param registration the worker's registration
   * @param now the current time, from which its cold start counts
   * @param earlierStartTimes start times of earlier processes under the same id
   * @param advisory what the worker announced in its responses
   * @param rate its rate limit and what this VM has sent it
   */
  constructor (public registration: UpstreamRegistration, now: Instant, private readonly earlierStartTimes: readonly number[] = [], readonly advisory = new WorkerAdvisory(), readonly rate = new WorkerRate()) {
    this.coldUntil = createDeadline(now, registration.coldMs)
  }

  /** @returns whether the worker must get no new requests, by its registration or by its responses */
  get isDraining (): boolean {
    return this.registration.state === UpstreamState.Draining || this.advisory.isDraining
  }

  /** @returns the start times of all processes known under this id, the present one included */
  listStartTimes (): number[] {
    const { startedAt } = this.registration
    return startedAt === undefined ? [...this.earlierStartTimes] : [...this.earlierStartTimes, startedAt]
  }

  /**
   * A delayed registration must not replace the one after it: the worker would count as
   * restarted once more, with an empty cache.
   * @returns whether a registration is from a process that ended before the present one
   */
  isEarlierStart ({ startedAt }: UpstreamRegistration): boolean {
    return startedAt !== undefined && this.earlierStartTimes.includes(startedAt)
  }

  /**
   * A worker that restarted under its id has an empty cache, and does not know the requests
   * that were in flight there.
   * @returns whether a registration is from another process than the present one
   */
  isOtherStart ({ startedAt }: UpstreamRegistration): boolean {
    return !isSameIncarnation(startedAt, this.registration.startedAt)
  }

  /**
   * @param registration the worker's latest registration
   * @param now the current time
   */
  update (registration: UpstreamRegistration, now: Instant): void {
    this.registration = { ...registration, startedAt: registration.startedAt ?? this.registration.startedAt }
    if (registration.coldMs > 0) this.markCold(createDeadline(now, registration.coldMs))
  }

  /** @param until end of the worker's cold start; an instant before the known end is ignored */
  markCold (until: Deadline): void {
    this.coldUntil = Math.max(this.coldUntil, until)
  }

  /**
   * @param now the current time
   * @returns whether the worker is in its cold start, and so slower and limited to few
   *   requests
   */
  isCold (now: Instant): boolean {
    return !hasPassed(this.coldUntil, now)
  }

  /**
   * Records a request that is being sent.
   * @param now the current time
   * @param expectedMs expected time until the answer, in milliseconds
   * @returns the request, for {@link UpstreamTracker.finishRequest}
   */
  startRequest (now: Instant, expectedMs: number): InFlightRequest {
    const request = { overdueAt: now + Math.max(MIN_OVERDUE_MS, expectedMs * OVERDUE_RATIO) }
    this.inFlight.add(request)
    this.advisory.recordRequest(now)
    this.load.recordSend(now)
    this.sentCount++
    this.rate.recordSend(now)
    return request
  }

  /** @param request the request as returned by {@link UpstreamTracker.startRequest}, when it has ended in any way */
  finishRequest (request: InFlightRequest): void {
    this.inFlight.delete(request)
  }

  /**
   * @param report the load reported with an answer
   * @param now when the answer arrived
   */
  recordReport (report: LoadReport, now: Instant): void {
    this.load.recordOwn(report, now)
  }

  /**
   * @param isFailure whether the worker failed or rejected the request
   * @param now the current time
   */
  recordResult (isFailure: boolean, now: Instant): void {
    const failureRate = this.getFailureRate(now)
    this.failureRate = failureRate + FAILURE_SMOOTHING_FACTOR * (Number(isFailure) - failureRate)
    this.failureRateAt = now
  }

  /**
   * Records that no connection to the worker could be opened.
   * @param now the current time
   */
  recordUnreachable (now: Instant): void {
    this.failureRate = 1
    this.failureRateAt = now
  }

  /**
   * @param latencyRatio actual latency of an answer, relative to the expected latency
   * @param now the current time
   */
  recordLatencyRatio (latencyRatio: number, now: Instant): void {
    const slowdown = this.getSlowdown(now)
    this.slowdown = slowdown + SLOWDOWN_SMOOTHING_FACTOR * (Math.min(MAX_SLOWDOWN_RATIO, latencyRatio) - slowdown)
    this.slowdownAt = now
  }

  /**
   * @param now the current time
   * @returns the worker's estimated failure rate, 0 to 1
   */
  getFailureRate (now: Instant): number {
    const decayed = this.failureRate * 2 ** (-(now - this.failureRateAt) / FAILURE_HALF_LIFE_MS)
    return this.hasOverdueRequest(now) ? Math.max(OVERDUE_FAILURE_RATE, decayed) : decayed
  }

  /**
   * @param now the current time
   * @returns how many times slower than its service the worker is; 1 if it is not slower
   */
  getSlowdown (now: Instant): number {
    const excess = Math.max(0, this.slowdown - 1)
    return 1 + excess * 2 ** (-(now - this.slowdownAt) / SLOWDOWN_HALF_LIFE_MS)
  }

  /**
   * @param now the current time
   * @returns the estimated number of requests of all entry VMs that the worker is running or
   *   has queued
   */
  countInFlight (now: Instant): number {
    return this.load.count(this.inFlight.size, now)
  }

  /**
   * @param now the current time
   * @returns whether a request has been awaiting its answer much longer than expected
   */
  hasOverdueRequest (now: Instant): boolean {
    // Requests are in the order in which they were sent; later ones are rarely due earlier.
    const oldest = this.inFlight.values().next().value
    return oldest !== undefined && oldest.overdueAt <= now
  }
}
