/**
 * Records that stay in force although the older copy that the store came back from lacks them or
 * holds them in an older state, until their writers write them again or have had the time to.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import { REWRITE_GRACE_MS } from './eraStart.js'
import type { UnconfirmedRecord } from './recordUpdate.js'

/** The unconfirmed records of one VM. */
export class UnconfirmedRecords {
  /** By key, when the record is given up; Infinity if the copy holds it in an older state, as the store then removes it. */
  private readonly deadlines = new Map<string, Deadline>()

  private rewrittenBy: Deadline = Number.NEGATIVE_INFINITY

  /** @param now when the store's older copy was read */
  startEra (now: Instant): void {
    this.rewrittenBy = createDeadline(now, REWRITE_GRACE_MS)
  }

  /** @returns whether there are unconfirmed records that their writers may still write again */
  hasAwaited (now: Instant): boolean {
    return this.deadlines.size > 0 && !hasPassed(this.rewrittenBy, now)
  }

  /** @returns whether some records are given up unless they are written again */
  get hasDeadlines (): boolean {
    return [...this.deadlines.values()].some(Number.isFinite)
  }

  /** @param deadline when the record is given up */
  put (key: string, deadline: Deadline): void {
    this.deadlines.set(key, deadline)
  }

  /**
   * @param key the key of a record that was written again or removed
   * @returns whether it was unconfirmed
   */
  delete (key: string): boolean {
    return this.deadlines.delete(key)
  }

  /** @returns whether the store lacks the record or holds it in an older state */
  has (key: string): boolean {
    return this.deadlines.has(key)
  }

  /** @returns whether the store may lack the record only because it was not written again yet */
  mayReturn (key: string): boolean {
    return Number.isFinite(this.deadlines.get(key))
  }

  /** @returns the keys of the records that are given up by now */
  listDue (now: Instant): string[] {
    return [...this.deadlines].filter(([, deadline]) => hasPassed(deadline, now)).map(([key]) => key)
  }

  /** @returns the records that are given up unless they are written again */
  list (now: Instant): UnconfirmedRecord[] {
    return [...this.deadlines].filter(([, deadline]) => Number.isFinite(deadline)).map(([key, deadline]) => ({ key, remainingMs: getRemainingMs(deadline, now) }))
  }
}
