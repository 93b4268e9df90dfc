/** What one entry VM has seen of one worker: its load, how it answers, how cold it is. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { SendMeter } from '../rateLimits/sendMeter.js'
import type { UpstreamEntry } from './records.js'

/** The load that a worker reported in an answer. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** How much the newest request counts in the mean of failures; five in a row give two thirds. */
const FAILURE_SMOOTHING_FACTOR = 0.2
/** Without requests a worker's failures count half after so many milliseconds, so that it is tried again. */
const FAILURE_HALF_LIFE_MS = 1_500
/** How much the newest answer counts in the mean of how slow a worker is. */
const SLOWDOWN_SMOOTHING_FACTOR = 0.3
/** Without answers a worker's slowness counts half after so many milliseconds. */
const SLOWDOWN_HALF_LIFE_MS = 3_000
/** A worker is rated slower than its service by no more than this factor. */
const MAX_SLOWDOWN_RATIO = 10
/** A load report is taken as it stands for so many milliseconds: a request or two later the queue is another. */
const REPORT_VALIDITY_MS = 1_000
/** How much the newest report counts in the mean load, which stands in for older reports. */
const LOAD_SMOOTHING_FACTOR = 0.3
/**
 * The mean load counts half after so many milliseconds without a report. In a large
 * fleet a VM hears of a worker every few seconds only; taking it for idle meanwhile
 * would send to full workers again and again.
 */
const LOAD_HALF_LIFE_MS = 4_000
/** A request that takes this many times as long as expected, and the span below, speaks against its worker. */
const OVERDUE_RATIO = 2.5
/** Short requests are late by chance; none is called overdue before so many milliseconds. */
const MIN_OVERDUE_MS = 250
/** How failed a worker counts while a request of its is overdue. */
const OVERDUE_FAILURE_RATE = 0.8

/** One request that a worker has not answered yet. */
export interface OpenRequest {
  readonly overdueAt: Instant
}

/** One worker as this entry VM sees it. */
export class UpstreamTracker {
  /** Requests that were sent while the worker was cold. */
  readonly coldMeter = new SendMeter()
  /** Requests that were sent while the worker named a rate limit. */
  readonly rateMeter = new SendMeter()
  /** Requests that would have gone there first, sent or not, while it named one. */
  readonly demandMeter = new SendMeter()
  private coldUntil: Deadline
  private readonly inFlight = new Set<OpenRequest>()
  private lastReport: LoadReport | undefined
  private reportedAt: Instant = Number.NEGATIVE_INFINITY
  private meanLoad = 0
  private sentSinceReport = 0
  private failureRate = 0
  private failureRateAt: Instant = 0
  private slowdown = 1
  private slowdownAt: Instant = 0
  /** Requests a second that the worker takes from all entry VMs together; undefined if it names no limit. */
  rateLimit: number | undefined
  /** When it was named last, or a request was sent to find out whether it still holds. */
  rateLimitAt: Instant = 0
  /** Requests sent to it; 0 for a worker that never got one. */
  sentCount = 0

  /**
   * @param entry the worker's registration
   * @param now the present, from which its coldness counts
   * @param earlierStartTimes start times of earlier lives under the same id
   */
  constructor (public entry: UpstreamEntry, now: Instant, private readonly earlierStartTimes: readonly number[] = []) {
    this.coldUntil = createDeadline(now, entry.coldMs)
  }

  /** @returns the start times of all lives known under this id, the present one included */
  listStartTimes (): number[] {
    const { startedAt } = this.entry
    return startedAt === undefined ? [...this.earlierStartTimes] : [...this.earlierStartTimes, startedAt]
  }

  /**
   * A registration that was long on its way must not take the place of the one
   * after it: the worker would count as started once more, with nothing at hand.
   * @returns whether a registration is of a life that ended before the present one
   */
  isEarlierStart ({ startedAt }: UpstreamEntry): boolean {
    return startedAt !== undefined && this.earlierStartTimes.includes(startedAt)
  }

  /**
   * A worker that started again under its id holds nothing, and knows nothing of
   * requests that were under way there.
   * @returns whether a registration is of another life than the present one
   */
  isOtherStart ({ startedAt }: UpstreamEntry): boolean {
    return startedAt !== undefined && this.entry.startedAt !== undefined && startedAt !== this.entry.startedAt
  }

  /**
   * @param registration what the worker now says of itself
   * @param now the present
   */
  update (registration: UpstreamEntry, now: Instant): void {
    this.entry = { ...registration, startedAt: registration.startedAt ?? this.entry.startedAt }
    if (registration.coldMs > 0) this.markCold(createDeadline(now, registration.coldMs))
  }

  /** @param until when the worker is warm again; an earlier instant than the one known changes nothing */
  markCold (until: Deadline): void {
    this.coldUntil = Math.max(this.coldUntil, until)
  }

  /**
   * @param now the present
   * @returns whether the worker is slow after its start and bears few requests
   */
  isCold (now: Instant): boolean {
    return !hasPassed(this.coldUntil, now)
  }

  /**
   * Notes a request that is being sent.
   * @param now the present
   * @param expectedMs how long its answer should take, in milliseconds
   * @returns the request, for `finish`
   */
  start (now: Instant, expectedMs: number): OpenRequest {
    const request = { overdueAt: now + Math.max(MIN_OVERDUE_MS, expectedMs * OVERDUE_RATIO) }
    this.inFlight.add(request)
    this.sentSinceReport++
    this.sentCount++
    if (this.isCold(now)) this.coldMeter.record(now)
    if (this.rateLimit !== undefined) {
      this.rateMeter.record(now)
      this.rateLimitAt = now
    }
    return request
  }

  /** @param request what `start` returned, when it has ended in any way */
  finish (request: OpenRequest): void {
    this.inFlight.delete(request)
  }

  /**
   * @param report what the worker said with an answer
   * @param now when the answer came
   */
  recordReport (report: LoadReport, now: Instant): void {
    this.meanLoad += LOAD_SMOOTHING_FACTOR * (report.running + report.waiting - this.meanLoad)
    this.lastReport = report
    this.reportedAt = now
    this.sentSinceReport = 0
  }

  /**
   * @param isFailure whether the worker failed the request, or refused it
   * @param now the present
   */
  recordResult (isFailure: boolean, now: Instant): void {
    const failureRate = this.getFailure(now)
    this.failureRate = failureRate + FAILURE_SMOOTHING_FACTOR * (Number(isFailure) - failureRate)
    this.failureRateAt = now
  }

  /** Notes that no connection to the worker could be made. @param now the present */
  recordUnreachable (now: Instant): void {
    this.failureRate = 1
    this.failureRateAt = now
  }

  /**
   * @param latencyRatio how long an answer took, over how long was expected
   * @param now the present
   */
  recordLatencyRatio (latencyRatio: number, now: Instant): void {
    const slowdown = this.getSlowness(now)
    this.slowdown = slowdown + SLOWDOWN_SMOOTHING_FACTOR * (Math.min(MAX_SLOWDOWN_RATIO, latencyRatio) - slowdown)
    this.slowdownAt = now
  }

  /**
   * @param now the present
   * @returns the part of requests that the worker is believed to fail, 0 to 1
   */
  getFailure (now: Instant): number {
    const decayed = this.failureRate * 2 ** (-(now - this.failureRateAt) / FAILURE_HALF_LIFE_MS)
    return this.hasOverdueRequest(now) ? Math.max(OVERDUE_FAILURE_RATE, decayed) : decayed
  }

  /**
   * @param now the present
   * @returns how many times slower than its service the worker is, 1 if it is not
   */
  getSlowness (now: Instant): number {
    const excess = Math.max(0, this.slowdown - 1)
    return 1 + excess * 2 ** (-(now - this.slowdownAt) / SLOWDOWN_HALF_LIFE_MS)
  }

  /**
   * @param now the present
   * @returns the requests that the worker is believed to hold, of all entry VMs
   */
  countHeld (now: Instant): number {
    if (this.lastReport === undefined) return this.inFlight.size
    const ageMs = now - this.reportedAt
    if (ageMs > REPORT_VALIDITY_MS) return Math.max(this.inFlight.size, this.meanLoad * 2 ** (-(ageMs - REPORT_VALIDITY_MS) / LOAD_HALF_LIFE_MS))
    return Math.max(this.inFlight.size, this.lastReport.running + this.lastReport.waiting + this.sentSinceReport)
  }

  private hasOverdueRequest (now: Instant): boolean {
    // Requests stand in the order in which they were sent; later ones are rarely due earlier.
    const oldest = this.inFlight.values().next().value
    return oldest !== undefined && oldest.overdueAt <= now
  }
}
