/**
 * Controls which part of its keys a worker with a rate limit keeps, so that this VM sends it as many requests as it
 * aims at. Keys differ in how often they are requested, so that a part of the keys seldom brings the
 * same part of the requests.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** Corrections are based on at least this many aimed requests, or on this many windows. */
const MIN_AIMED_REQUESTS = 6
const MAX_WINDOWS = 8
/** Limits of one correction, and of all together. */
const MAX_CORRECTION = 2
const MAX_TOTAL_CORRECTION = 8

function keepWithin (ratio: number, max: number): number {
  return Math.min(max, Math.max(1 / max, ratio))
}

/** What one VM sends to a worker and aims at. */
export interface KeptKeysState {
  /** Requests sent to the worker so far. */
  readonly sentCount: number
  /** Requests per window that would be sent to the worker without its limit. */
  readonly demandRequests: number
  /** The requests per window that this VM aims at. */
  readonly aimedRequests: number
  /** Length of the window, in milliseconds. */
  readonly windowMs: number
}

/** The control for one worker. */
export class KeptKeysControl {
  private correction = 1
  private measuredFrom: Instant | undefined
  private sentBefore = 0
  private aimedRequests = 0
  private updatedAt: Instant = 0

  /**
   * @param state what this VM sends and aims at
   * @param now the current time
   * @returns the fraction of its keys that the worker keeps
   */
  update ({ sentCount, demandRequests, aimedRequests, windowMs }: KeptKeysState, now: Instant): number {
    if (this.measuredFrom === undefined) this.startMeasurement(sentCount, now)
    this.aimedRequests += aimedRequests * (now - this.updatedAt) / windowMs
    this.updatedAt = now
    if (this.aimedRequests >= MIN_AIMED_REQUESTS || now >= this.measuredFrom! + MAX_WINDOWS * windowMs) {
      const ratio = this.aimedRequests / Math.max(1, sentCount - this.sentBefore)
      this.correction = keepWithin(this.correction * keepWithin(ratio, MAX_CORRECTION), MAX_TOTAL_CORRECTION)
      this.startMeasurement(sentCount, now)
    }
    return aimedRequests / Math.max(1, demandRequests) * this.correction
  }

  private startMeasurement (sentCount: number, now: Instant): void {
    this.measuredFrom = now
    this.updatedAt = now
    this.sentBefore = sentCount
    this.aimedRequests = 0
  }
}
