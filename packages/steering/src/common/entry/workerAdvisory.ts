/**
 * What one incarnation of a worker has announced in its responses to this entry VM. The store
 * may learn of it much later, or never, and other entry VMs need not know.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'

/** The announcements of one incarnation. */
export class WorkerAdvisory {
  private hasAnnouncedDrain = false
  private coolDownUntil: Deadline = Number.NEGATIVE_INFINITY

  /** @returns whether the worker announced that it drains; an incarnation never stops draining */
  get isDraining (): boolean {
    return this.hasAnnouncedDrain
  }

  /** @returns whether this is the first announcement */
  recordDrain (): boolean {
    const isFirst = !this.hasAnnouncedDrain
    this.hasAnnouncedDrain = true
    return isFirst
  }

  /** @returns the end of the last cool-down; in the past if the worker is not cooling down */
  get coolDownEndsAt (): Deadline {
    return this.coolDownUntil
  }

  /**
   * @param now the current time
   * @returns whether the worker asked for no requests until a later instant
   */
  isCoolingDown (now: Instant): boolean {
    return now < this.coolDownUntil
  }

  /**
   * Records a requested cool-down. A shorter one does not end a longer one.
   * @param until when it ends
   * @param now the current time
   * @returns whether the worker was not cooling down before
   */
  recordCoolDown (until: Deadline, now: Instant): boolean {
    const isNew = !this.isCoolingDown(now)
    this.coolDownUntil = Math.max(this.coolDownUntil, until)
    return isNew
  }
}
