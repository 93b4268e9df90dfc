/** Counts the requests that were sent within a sliding window. */
import type { Instant } from '@umberspar/base/common/clock'

/** The times at which this VM sent requests to one worker; kept as long as the longest window asked for. */
export class SlidingWindowCounter {
  private sentAt: Instant[] = []

  /** @param retentionMs how long times are kept at least, in milliseconds, also before a window is asked for */
  constructor (private retentionMs = 0) {}

  /** @param now when a request was sent */
  record (now: Instant): void {
    this.sentAt.push(now)
    const keptAfter = now - this.retentionMs
    if (this.sentAt[0]! <= keptAfter) this.sentAt = this.sentAt.filter((at) => at > keptAfter)
  }

  /**
   * @param spanMs length of a window that ends now, in milliseconds
   * @param now the current time
   * @returns how many requests were sent in the window
   */
  count (spanMs: number, now: Instant): number {
    this.retentionMs = Math.max(this.retentionMs, spanMs)
    return this.sentAt.filter((at) => at > now - spanMs).length
  }

  /**
   * @param maxRequests how many requests may be sent in any window
   * @param spanMs length of the window, in milliseconds
   * @param now the current time
   * @returns the earliest time for the next request: `now` if it may be sent at once, Infinity if `maxRequests` is 0
   */
  getNextAllowedAt (maxRequests: number, spanMs: number, now: Instant): Instant {
    this.retentionMs = Math.max(this.retentionMs, spanMs)
    if (maxRequests <= 0) return Infinity
    const oldestCounted = this.sentAt.at(-maxRequests)
    return oldestCounted === undefined ? now : Math.max(now, oldestCounted + spanMs)
  }
}
