/** This node's part of the store calls that deduplication may make. */
import type { IClock, Instant } from '@umberspar/base/common/clock'

/**
 * Calls a second of all nodes together. The store takes several hundred writes a
 * second, and configuration, plan and leases need their room in it.
 */
export const FLEET_CALLS_PER_SECOND = 240
/** A node that was idle may make its calls of so many seconds at once. */
const BURST_SECONDS = 5
const LEAST_BURST = 4
const MS_PER_SECOND = 1000

/** A bucket of calls whose rate follows the number of nodes. */
export class StoreCallBudget {
  private calls: number
  private filledAt: Instant

  /**
   * @param clock for the rate
   * @param countNodes entry VMs that share the store
   * @param fleetRate calls a second of all nodes together
   */
  constructor (private readonly clock: IClock, private readonly countNodes: () => number, private readonly fleetRate = FLEET_CALLS_PER_SECOND) {
    this.calls = this.getBurst()
    this.filledAt = clock.now()
  }

  /**
   * @param count calls that are about to be made
   * @returns false if the rate allows fewer now; nothing is taken then
   */
  take (count: number): boolean {
    this.updateCalls()
    if (this.calls < count) return false
    this.calls -= count
    return true
  }

  /**
   * Gives back calls that were not needed.
   * @param count as taken before
   */
  release (count: number): void {
    this.calls = Math.min(this.getBurst(), this.calls + count)
  }

  private getRate (): number {
    return this.fleetRate / Math.max(1, this.countNodes())
  }

  private getBurst (): number {
    return Math.max(LEAST_BURST, this.getRate() * BURST_SECONDS)
  }

  private updateCalls (): void {
    const now = this.clock.now()
    const earned = this.getRate() * (now - this.filledAt) / MS_PER_SECOND
    this.calls = Math.min(this.getBurst(), this.calls + earned)
    this.filledAt = now
  }
}
