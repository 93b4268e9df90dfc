/**
 * How long a connection to a worker may have been idle and still carry a request.
 * Workers may forget idle connections sooner than they say; what is sent next on
 * one is reset, and a request that must not be repeated is then lost although
 * nothing was wrong with it. Each such break shortens the limit; it recovers while
 * none comes.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** After a break, connections are used up to this part of the idle time at which it came. */
const SHORTENED_PART = 0.5
/** Shorter limits would open a connection for almost every request, in milliseconds. */
const LEAST_MS = 100
/** Without breaks the limit doubles in this time, in milliseconds. */
const DOUBLING_MS = 3_000

/** The limit of one entry VM, for all its workers. */
export class IdleLimit {
  private limitMs = Number.POSITIVE_INFINITY
  private setAt: Instant = 0

  /**
   * @param now the present
   * @returns idle time up to which a connection may be used, in milliseconds
   */
  getMs (now: Instant): number {
    return this.limitMs * 2 ** ((now - this.setAt) / DOUBLING_MS)
  }

  /**
   * @param idleMs how long a connection had been idle that broke before any byte of an answer came
   * @param now the present
   */
  recordBreak (idleMs: number, now: Instant): void {
    const shortened = Math.max(LEAST_MS, idleMs * SHORTENED_PART)
    if (shortened >= this.getMs(now)) return
    this.limitMs = shortened
    this.setAt = now
  }
}
