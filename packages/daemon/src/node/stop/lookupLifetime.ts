/** Until when callers may hold look-ups that name this entry VM. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'

/** Follows the configured lifetime of look-ups. */
export class LookupLifetime {
  private cacheUntil: Deadline = -Infinity
  private configuredAt: ((now: Instant) => Deadline) | undefined

  /**
   * Takes over a configuration. Answers given under a longer lifetime live on
   * when operators shorten it: a stop soon after must still wait for them.
   * @param lookupCacheMs how long callers may keep an answer from now on
   * @param now the present
   */
  update (lookupCacheMs: number, now: Instant): void {
    if (this.configuredAt !== undefined) this.cacheUntil = Math.max(this.cacheUntil, this.configuredAt(now))
    this.configuredAt = (givenAt) => createDeadline(givenAt, lookupCacheMs)
  }

  /**
   * @param lastGivenAt when the last answer went out that names this entry VM
   * @returns when the last cached one has run out
   */
  getEnd (lastGivenAt: Instant): Deadline {
    return Math.max(this.cacheUntil, this.configuredAt?.(lastGivenAt) ?? lastGivenAt)
  }
}
