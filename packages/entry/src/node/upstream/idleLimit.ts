/**
 * Limits how long a connection to a worker may be idle before it is no longer reused.
 * An open connection may have fallen silent, so that nothing sent on it arrives; only what
 * was received on it lately shows that it works. Workers may also drop idle connections
 * sooner than they announce. The next request on such a connection is reset, and fails
 * without a fault of its own if it must not be retried. Each reset shortens the limit;
 * without further resets the limit recovers.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** After a reset, the limit is this fraction of the idle time at which the reset occurred. */
const SHORTENING_RATIO = 0.5
/** A shorter limit would require a new connection for almost every request. */
const MIN_LIMIT_MS = 100
/** Without resets, the limit doubles in this time. */
const DOUBLING_TIME_MS = 3_000
/** What is read from a connection may have arrived this long before. */
const READ_DELAY_MS = 250

/** The limit of one entry VM, shared by all workers. */
export class IdleLimit {
  private readonly maxMs: number
  private limitMs = Number.POSITIVE_INFINITY
  private setAt: Instant = 0

  /** @param maxSilenceMs how long after a connection fell silent requests may still be sent on it, in milliseconds */
  constructor (maxSilenceMs: number) {
    this.maxMs = Math.max(MIN_LIMIT_MS, maxSilenceMs - READ_DELAY_MS)
  }

  /**
   * @param now the present
   * @returns the idle time up to which a connection may be reused, in milliseconds
   */
  getMs (now: Instant): number {
    return Math.min(this.maxMs, this.limitMs * 2 ** ((now - this.setAt) / DOUBLING_TIME_MS))
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
