/**
 * Leases that remove claims from the store after their retention. All claims that
 * a node makes within one interval share a lease, which is never renewed. This takes
 * one store call for each interval, instead of one or more for each claim.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import { Ok, type Result } from '@umberspar/base/common/result'
import type { IKeyValueStore } from '../ports/keyValueStore.js'

/** Minimum time for which a claim is kept; a caller must not repeat a request later than that. */
export const CLAIM_RETENTION_SECONDS = 21_600
/** Claims made within this interval share a lease. */
export const LEASE_INTERVAL_SECONDS = 600
const MS_PER_SECOND = 1000

interface SharedLease {
  readonly leaseId: string
  /** Until then, new claims with this lease are kept for the full retention. */
  readonly usableUntil: Instant
}

/** Provides the lease of the current interval, and opens a new one when needed. */
export class ClaimLeases {
  private current: SharedLease | undefined
  private pendingLease: Promise<Result<SharedLease, StepError>> | undefined

  constructor (private readonly store: IKeyValueStore, private readonly clock: IClock) {}

  /** @returns whether {@link ClaimLeases.getLease} can return a lease without a store call */
  get hasUsableLease (): boolean {
    return this.current !== undefined && !hasPassed(this.current.usableUntil, this.clock.now())
  }

  /**
   * @param deadline when the store must have answered
   * @returns id of a lease that lasts for the full retention; the store's error, `Unavailable` or `EffectUnknown`, if it granted none
   */
  async getLease (deadline: Deadline): Promise<Result<string, StepError>> {
    if (this.current !== undefined && this.hasUsableLease) return new Ok(this.current.leaseId)
    // Concurrent requests at the start of an interval share one store call.
    this.pendingLease ??= this.openLease(deadline).finally(() => { this.pendingLease = undefined })
    const opened = await this.pendingLease
    return opened.map(({ leaseId }) => leaseId)
  }

  /**
   * Discards a lease that has expired or was revoked according to the store.
   * @param leaseId id of the lease
   */
  removeLease (leaseId: string): void {
    if (this.current?.leaseId === leaseId) this.current = undefined
  }

  private async openLease (deadline: Deadline): Promise<Result<SharedLease, StepError>> {
    const granted = await this.store.acquireLease(CLAIM_RETENTION_SECONDS + LEASE_INTERVAL_SECONDS, deadline)
    return granted.map(({ leaseId, deadline: endsAt }) => {
      // The store may grant a shorter lease than requested.
      const usableUntil = createDeadline(endsAt, -CLAIM_RETENTION_SECONDS * MS_PER_SECOND)
      this.current = { leaseId, usableUntil }
      return this.current
    })
  }
}
