/** How long removals of registrations are held back, as workers that are alive register again after an outage of the store. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import { RecordKind, type SteeringRecord, UpstreamState } from './records.js'

/**
 * How long after the end of an outage a missing registration is kept. Workers renew about
 * every 1.5 s and are specified to be back within about 2 s.
 */
export const REREGISTRATION_GRACE_MS = 2_100
/**
 * A lease expires after three missed renewals. After shorter outages, keeping removed records
 * would only delay true removals.
 */
const MIN_OUTAGE_MS = 2_000

/** The hold of one VM. */
export class RemovalHold {
  private until: Deadline = Number.NEGATIVE_INFINITY
  private storeLostAt: Instant | undefined

  /** @returns whether the store is lost */
  get isStoreLost (): boolean {
    return this.storeLostAt !== undefined
  }

  /** @returns when a removal that is held now takes effect; Infinity until the store is back */
  get deadline (): Deadline {
    return this.isStoreLost ? Infinity : this.until
  }

  /** @param since when the store answered last */
  recordStoreLost (since: Instant): void {
    this.storeLostAt ??= since
  }

  /**
   * @param now the current time
   * @param holdMs how much longer a peer whose records are current holds back removals, in milliseconds;
   *   undefined for the store, which holds back nothing
   * @returns whether the store had been lost
   */
  recordStoreRecovered (now: Instant, holdMs?: number): boolean {
    if (this.storeLostAt === undefined) return false
    const outageMs = now - this.storeLostAt
    this.storeLostAt = undefined
    // A short outage just after a long one does not shorten the grace period of the long one.
    this.holdFor(now, holdMs ?? (outageMs < MIN_OUTAGE_MS ? 0 : REREGISTRATION_GRACE_MS))
    return true
  }

  /**
   * @param now the current time
   * @param holdMs how much longer removals are held back at least, in milliseconds
   */
  holdFor (now: Instant, holdMs: number): void {
    this.until = Math.max(this.until, createDeadline(now, holdMs))
  }

  /**
   * @param now the current time
   * @returns how much longer removals are held back, in milliseconds
   */
  getRemainingMs (now: Instant): number {
    return getRemainingMs(this.until, now)
  }

  /**
   * @param now the current time
   * @returns whether a removal is held back
   */
  isActive (now: Instant): boolean {
    return this.isStoreLost || !hasPassed(this.until, now)
  }
}

/**
 * Whether the owner may write a removed record again. Only registrations have a lease that can
 * expire while the owner is alive; the operators' records have none, and draining workers
 * leave on purpose.
 * @param record a record that was removed
 */
export function mayReregister (record: SteeringRecord): boolean {
  if (record.kind === RecordKind.Upstream) return record.value.state === UpstreamState.Ready
  return record.kind === RecordKind.Node
}
