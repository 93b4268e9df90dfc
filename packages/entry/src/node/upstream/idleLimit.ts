/**
 * Limits how long a connection to a worker may be idle before it is no longer reused.
 * Workers may drop idle connections sooner than they announce. The next request on such
 * a connection is reset, and fails without a fault of its own if it must not be retried.
 * Each reset shortens the limit; without further resets the limit recovers.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** After a reset, the limit is this fraction of the idle time at which the reset occurred. */
const SHORTENING_RATIO = 0.5
/** A shorter limit would require a new connection for almost every request. */
const MIN_LIMIT_MS = 100
/** Without resets, the limit doubles in this time. */
const DOUBLING_TIME_MS = 3_000

/** The limit of one entry VM, shared by all workers. */
export class IdleLimit {
  private limitMs = Number.POSITIVE_INFINITY
  private setAt: Instant = 0

  /**
   * @param now the present
   * @returns the idle time up to which a connection may be reused, in milliseconds
   */
  getMs (now: Instant): number {
    return this.limitMs * 2 ** ((now - this.setAt) / DOUBLING_TIME_MS)
  }

  /**
   * Records that a reused connection broke before the first byte of a response.
   * @param idleMs how long it had been idle, in milliseconds
   * @param now the present
   */
  recordReset (idleMs: number, now: Instant): void {
    const shortened = Math.max(MIN_LIMIT_MS, idleMs * SHORTENING_RATIO)
    if (shortened >= this.getMs(now)) return
    this.limitMs = shortened
    this.setAt = now
  }
}
