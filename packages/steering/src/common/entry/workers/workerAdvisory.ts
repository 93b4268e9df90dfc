/**
 * What one incarnation of a worker has announced in its responses to this entry VM. The store
 * may learn of it much later, or never, and other entry VMs need not know.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'

/** Workers refuse at once: without a refusal within this time, which covers a round trip between regions, the request was accepted. */
const TRIAL_MS = 250

/** The announcements of one incarnation. */
export class WorkerAdvisory {
  private hasAnnouncedDrain = false
  private coolDownUntil: Deadline = Number.NEGATIVE_INFINITY
  private needsTrial = false
  private trialUntil: Deadline = Number.NEGATIVE_INFINITY

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

  /**
   * @param now the current time
   * @returns whether the worker asked for no requests until a later instant
   */
  isCoolingDown (now: Instant): boolean {
    return now < this.coolDownUntil
  }

  /**
   * @param now the current time
   * @returns whether the worker must get no further request for now: it is cooling down, or has
   *   just got the first request after that
   */
  isPaused (now: Instant): boolean {
    return now < this.pausedUntil
  }

  /** @returns when the worker may get a request; in the past if it may now */
  get pausedUntil (): Deadline {
    return Math.max(this.coolDownUntil, this.trialUntil)
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
    this.needsTrial = true
    return isNew
  }

  /**
   * Records a request to the worker. The first one after a cool-down is a trial: others must
   * wait until it is clear that the worker does not refuse it, or they could all be refused.
   * @param now when it is sent
   */
  recordRequest (now: Instant): void {
    if (!this.needsTrial || this.isCoolingDown(now)) return
    this.needsTrial = false
    this.trialUntil = createDeadline(now, TRIAL_MS)
  }

  /**
   * Records a response; one to a request that was sent after the cool-down ends the trial.
   * @param sentAt when its request was sent
   */
  recordResponse (sentAt: Instant): void {
    if (sentAt >= this.coolDownUntil) this.trialUntil = Number.NEGATIVE_INFINITY
  }
}
