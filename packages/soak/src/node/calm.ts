/** When the last unplanned disruption was: some promises bind only what was undisturbed for a while. */
import type { IClock, Instant } from '@umberspar/base/common/clock'

/** After a disruption nothing is judged that a disturbed process may still get wrong, in milliseconds. */
const STABILITY_MS = 4_000

/** Counts disruptions. */
export class Calm {
  private active = 0
  private endedAt: Instant = Number.NEGATIVE_INFINITY

  /** @param clock for the time since */
  constructor (private readonly clock: IClock) {}

  /** Notes that a disruption begins. */
  start (): void {
    this.active++
  }

  /** Notes that a disruption has ended. */
  end (): void {
    this.active--
    this.endedAt = this.clock.now()
  }

  /** @returns since when nothing has been disturbed, the stability span included; Infinity while something is */
  getCalmFrom (): Instant {
    return this.active > 0 ? Infinity : this.endedAt + STABILITY_MS
  }
}
