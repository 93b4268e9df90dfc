/** The rate limit of one worker, and what this VM has sent it. Kept while its registration is missing: the worker still counts what it got. */
import type { Instant } from '@umberspar/base/common/clock'
import { MIN_WINDOW_MS } from '../../rateLimits/rateAllowance.js'
import { SlidingWindowCounter } from '../../rateLimits/slidingWindowCounter.js'

/** Requests may arrive in a shorter time than that in which they were sent, such as when opening a connection delayed the first ones. */
const ARRIVAL_SPREAD_MS = 250
/** A limit ends when the worker has announced none for this long, in several responses: single responses may lack the announcement. */
const END_DELAY_MS = 1_000
const MIN_RESPONSES_WITHOUT_LIMIT = 2

/**
 * @param windowMs length of the window in which a worker counts what arrives, in milliseconds
 * @returns length of the window in which requests are counted when they are sent
 */
export function getSendWindowMs (windowMs: number): number {
  return windowMs + ARRIVAL_SPREAD_MS
}

/** The limit of one worker and the requests of this VM. */
export class WorkerRate {
  /** All requests sent to the worker; counted also before a limit is known, as they count against it. */
  readonly sends = new SlidingWindowCounter(getSendWindowMs(MIN_WINDOW_MS))
  /** Requests sent to the worker so far. */
  sentCount = 0
  /** Requests for which the worker was the first choice, sent or not, while it reported a limit. */
  readonly demand = new SlidingWindowCounter()
  /** Requests per second that the worker accepts from all entry VMs together; undefined if it reported no limit. */
  perSecond: number | undefined
  /** When the limit was last reported, or a request was last sent while it applied. */
  lastContactAt: Instant = 0
  /** Whether the limit, or its absence, is from a response to this VM. */
  isOwnObservation = false
  private announcedAt: Instant = Number.NEGATIVE_INFINITY
  private responsesWithoutLimit = 0

  /** @param now when a request was sent */
  recordSend (now: Instant): void {
    this.sends.record(now)
    this.sentCount++
    if (this.perSecond !== undefined) this.lastContactAt = now
  }

  /**
   * Records what a response says.
   * @param perSecond the announced limit, in requests per second; undefined if the response announces none
   * @param now when the response arrived
   * @returns whether the limit has changed
   */
  recordResponse (perSecond: number | undefined, now: Instant): boolean {
    this.lastContactAt = now
    if (perSecond === undefined && !this.hasEnded(now)) return false
    if (perSecond !== undefined) {
      this.announcedAt = now
      this.responsesWithoutLimit = 0
    }
    const hasChanged = perSecond !== this.perSecond
    this.perSecond = perSecond
    this.isOwnObservation ||= hasChanged
    return hasChanged
  }

  /**
   * Applies what another VM has observed.
   * @param perSecond the limit, in requests per second; undefined if there is none any more
   * @param now the current time
   */
  applyShared (perSecond: number | undefined, now: Instant): void {
    if (perSecond === this.perSecond) return
    this.perSecond = perSecond
    this.isOwnObservation = false
    this.lastContactAt = now
  }

  private hasEnded (now: Instant): boolean {
    if (this.perSecond === undefined) return false
    this.responsesWithoutLimit++
    return this.responsesWithoutLimit >= MIN_RESPONSES_WITHOUT_LIMIT && now >= this.announcedAt + END_DELAY_MS
  }
}
