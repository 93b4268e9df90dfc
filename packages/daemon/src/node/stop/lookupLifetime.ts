/** How long callers may use cached look-ups that name this entry VM. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'

/** Tracks the configured lifetime of look-ups. */
export class LookupLifetime {
  private earlierExpiry: Deadline = -Infinity
  private computeExpiry: ((now: Instant) => Deadline) | undefined

  /**
   * Applies a configured lifetime. When operators shorten it, look-ups returned before
   * remain cached for the longer lifetime, and a shutdown must still wait for them.
   * @param lookupCacheMs how long callers may cache a look-up from now on
   * @param now the current time
   */
  update (lookupCacheMs: number, now: Instant): void {
    if (this.computeExpiry !== undefined) this.earlierExpiry = Math.max(this.earlierExpiry, this.computeExpiry(now))
    this.computeExpiry = (givenAt) => createDeadline(givenAt, lookupCacheMs)
  }

  /**
   * @param lastGivenAt when the last look-up that names this entry VM was returned
   * @returns when the last cached look-up expires
   */
  getExpiry (lastGivenAt: Instant): Deadline {
    return Math.max(this.earlierExpiry, this.computeExpiry?.(lastGivenAt) ?? lastGivenAt)
  }
}
