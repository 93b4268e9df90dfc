/** Limits the rate of this node's store calls for deduplication. */
import type { IClock, Instant } from '@umberspar/base/common/clock'

/**
 * Limit for all nodes together. The store handles several hundred writes a second, and
 * must have capacity left for configuration, plan and leases.
 */
export const FLEET_CALLS_PER_SECOND = 240
/** Capacity of the token bucket in seconds of the node's rate. */
const BURST_SECONDS = 5
const MIN_BURST_CALLS = 4
const MS_PER_SECOND = 1000

/** A token bucket of store calls whose rate depends on the number of nodes. */
export class StoreCallBudget {
  private availableCalls: number
  private refilledAt: Instant

  /**
   * @param clock clock by which the bucket is refilled
   * @param countNodes returns the number of entry VMs that share the store
   * @param fleetCallsPerSecond limit for all nodes together
   */
  constructor (private readonly clock: IClock, private readonly countNodes: () => number, private readonly fleetCallsPerSecond = FLEET_CALLS_PER_SECOND) {
    this.availableCalls = this.getBurst()
    this.refilledAt = clock.now()
  }

  /**
   * Takes calls from the budget before they are made.
   * @param count number of calls
   * @returns whether they were taken; if fewer are available, none are
   */
  take (count: number): boolean {
    this.updateAvailableCalls()
    if (this.availableCalls < count) return false
    this.availableCalls -= count
    return true
  }

  /**
   * Returns calls that were taken but not made.
   * @param count number of calls
   */
  release (count: number): void {
    this.availableCalls = Math.min(this.getBurst(), this.availableCalls + count)
  }

  private getRate (): number {
    return this.fleetCallsPerSecond / Math.max(1, this.countNodes())
  }

  private getBurst (): number {
    return Math.max(MIN_BURST_CALLS, this.getRate() * BURST_SECONDS)
  }

  private updateAvailableCalls (): void {
    const now = this.clock.now()
    const refill = this.getRate() * (now - this.refilledAt) / MS_PER_SECOND
    this.availableCalls = Math.min(this.getBurst(), this.availableCalls + refill)
    this.refilledAt = now
  }
}
