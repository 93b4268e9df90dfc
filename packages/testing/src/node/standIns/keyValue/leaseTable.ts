/** The leases of the key-value stand-in. */
import { status } from '@grpc/grpc-js'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { CallRefusal } from './callRefusal.js'
import { LEASE_NOT_FOUND } from './callRefusal.js'

const MS_PER_SECOND = 1000
const MIN_LEASE_SECONDS = 1n
const MAX_LEASE_SECONDS = 9_000_000_000n
const FIRST_LEASE_ID = 7001n
const LEASE_EXISTS: CallRefusal = { code: status.FAILED_PRECONDITION, message: 'lease already exists' }
const LEASE_TOO_LONG: CallRefusal = { code: status.OUT_OF_RANGE, message: 'too large lease' }

/** A lease as granted: the seconds are what a renewal begins anew with. */
export interface LeaseRecord {
  readonly leaseId: bigint
  readonly grantedSeconds: bigint
  readonly deadline: Deadline
}

/** Grants, renews and ends leases on a clock. */
export class LeaseTable implements IClosable {
  private readonly leases = new Map<bigint, LeaseRecord>()
  private readonly timers = new Map<bigint, ITimer>()
  private nextLeaseId = FIRST_LEASE_ID
  private isPaused = false

  /**
   * @param clock what deadlines are counted on
   * @param onEnd called when a lease has ended, by lapse or by revocation
   */
  constructor (private readonly clock: IClock, private readonly onEnd: (leaseId: bigint) => void) {}

  /** @returns whether the lease has been granted and has not ended */
  has (leaseId: bigint): boolean {
    return this.leases.has(leaseId)
  }

  /** @returns every lease that has not ended */
  list (): readonly LeaseRecord[] {
    return [...this.leases.values()]
  }

  /**
   * @param wantedId the id wanted, 0 for a new one
   * @param seconds how long it lasts without renewal
   * @returns the lease
   */
  open (wantedId: bigint, seconds: bigint): Result<LeaseRecord, CallRefusal> {
    if (seconds > MAX_LEASE_SECONDS) return Err(LEASE_TOO_LONG)
    if (this.leases.has(wantedId)) return Err(LEASE_EXISTS)
    const leaseId = wantedId === 0n ? this.nextLeaseId++ : wantedId
    const grantedSeconds = seconds < MIN_LEASE_SECONDS ? MIN_LEASE_SECONDS : seconds
    return Ok(this.startLease(leaseId, grantedSeconds))
  }

  /** @returns the renewed lease, undefined if it has ended */
  renew (leaseId: bigint): LeaseRecord | undefined {
    const lease = this.leases.get(leaseId)
    return lease === undefined ? undefined : this.startLease(leaseId, lease.grantedSeconds)
  }

  /** Ends a lease now. */
  delete (leaseId: bigint): Result<void, CallRefusal> {
    if (!this.leases.has(leaseId)) return Err(LEASE_NOT_FOUND)
    this.stopLease(leaseId)
    return Ok(undefined)
  }

  /** Ends every lease now, as if all holders had been paused beyond their deadlines. */
  deleteAll (): void {
    for (const leaseId of [...this.leases.keys()]) this.stopLease(leaseId)
  }

  /**
   * Holds lapses back, as the published server does while it has no leader.
   * @param isPaused false lets those that fell due meanwhile lapse at once
   */
  setPaused (isPaused: boolean): void {
    this.isPaused = isPaused
    if (isPaused) return
    for (const leaseId of [...this.leases.keys()]) this.checkLapse(leaseId)
  }

  /**
   * Goes back to saved leases; each begins its seconds anew, as after a restore by the published server.
   * @param saved what `list` returned
   */
  load (saved: readonly LeaseRecord[]): void {
    this.close()
    for (const lease of saved) this.startLease(lease.leaseId, lease.grantedSeconds)
  }

  /** Forgets all leases without ending them. */
  close (): void {
    for (const timer of this.timers.values()) timer.close()
    this.timers.clear()
    this.leases.clear()
  }

  private startLease (leaseId: bigint, grantedSeconds: bigint): LeaseRecord {
    const deadline = createDeadline(this.clock.now(), Number(grantedSeconds) * MS_PER_SECOND)
    const lease: LeaseRecord = { leaseId, grantedSeconds, deadline }
    this.leases.set(leaseId, lease)
    this.scheduleLapse(lease)
    return lease
  }

  private scheduleLapse (lease: LeaseRecord): void {
    this.timers.get(lease.leaseId)?.close()
    this.timers.set(lease.leaseId, this.clock.schedule(lease.deadline, () => this.checkLapse(lease.leaseId)))
  }

  private checkLapse (leaseId: bigint): void {
    const lease = this.leases.get(leaseId)
    if (lease === undefined || this.isPaused) return
    if (hasPassed(lease.deadline, this.clock.now())) this.stopLease(leaseId)
    else this.scheduleLapse(lease)
  }

  private stopLease (leaseId: bigint): void {
    this.timers.get(leaseId)?.close()
    this.timers.delete(leaseId)
    this.leases.delete(leaseId)
    this.onEnd(leaseId)
  }
}
