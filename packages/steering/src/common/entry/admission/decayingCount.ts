/** A count of recent events that halves in a fixed time, so that it needs no list of events. */
import type { Instant } from '@umberspar/base/common/clock'

/** Time in which counts of recent requests halve, in milliseconds. */
export const USAGE_HALF_LIFE_MS = 2_000

/**
 * @param from an instant
 * @param to a later instant
 * @returns the fraction of a count at `from` that is left at `to`
 */
export function computeDecay (from: Instant, to: Instant): number {
  return to <= from ? 1 : 2 ** ((from - to) / USAGE_HALF_LIFE_MS)
}

/** The weighted number of recent events. */
export class DecayingCount {
  private value = 0
  private at: Instant = 0

  /**
   * @param amount the number of events
   * @param now the current time
   */
  add (amount: number, now: Instant): void {
    this.value = this.get(now) + amount
    this.at = now
  }

  /**
   * @param now the current time
   * @returns the weighted number of events
   */
  get (now: Instant): number {
    return this.value * computeDecay(this.at, now)
  }
}
