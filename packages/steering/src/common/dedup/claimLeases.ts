/**
 * Leases that end claims after their retention. All claims of one node in one
 * slice of time share a lease, which is never renewed: one store call for each
 * slice, instead of one or more for each claim.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import { Ok, type Result } from '@umberspar/base/common/result'
import type { IKeyValueStore } from '../ports/keyValueStore.js'

/** A claim is kept at least so long after it was made, in seconds: a caller must not repeat later than that. */
export const RETENTION_SECONDS = 21_600
/** Claims of so many seconds share a lease. */
export const LEASE_SLICE_SECONDS = 600
const MS_PER_SECOND = 1000

interface SharedLease {
  readonly leaseId: string
  /** Claims made before this are kept for the whole retention. */
  readonly usableUntil: Instant
}

/** Finds or opens the lease of the present slice. */
export class ClaimLeases {
  private current: SharedLease | undefined
  private opening: Promise<Result<SharedLease, StepError>> | undefined

  constructor (private readonly store: IKeyValueStore, private readonly clock: IClock) {}

  /** @returns whether the next call of `getLease` needs no store call */
  get isOpen (): boolean {
    return this.current !== undefined && !hasPassed(this.current.usableUntil, this.clock.now())
  }

  /**
   * @param deadline by when the store must have answered
   * @returns the id of a lease that lives for the whole retention; `Unavailable` or unknown if the store did not grant one
   */
  async getLease (deadline: Deadline): Promise<Result<string, StepError>> {
    if (this.current !== undefined && this.isOpen) return new Ok(this.current.leaseId)
    // Requests that arrive together at the start of a slice wait for the same call.
    this.opening ??= this.openLease(deadline).finally(() => { this.opening = undefined })
    const opened = await this.opening
    return opened.map(({ leaseId }) => leaseId)
  }

  /**
   * Forgets a lease that the store says has lapsed or was revoked.
   * @param leaseId the lease
   */
  removeLease (leaseId: string): void {
    if (this.current?.leaseId === leaseId) this.current = undefined
  }

  private async openLease (deadline: Deadline): Promise<Result<SharedLease, StepError>> {
    const granted = await this.store.openLease(RETENTION_SECONDS + LEASE_SLICE_SECONDS, deadline)
    return granted.map(({ leaseId, deadline: endsAt }) => {
      // The store may grant less than was asked for; what it granted counts.
      const usableUntil = createDeadline(endsAt, -RETENTION_SECONDS * MS_PER_SECOND)
      this.current = { leaseId, usableUntil }
      return this.current
    })
  }
}
