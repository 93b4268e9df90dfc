/** Tracks when the last unplanned disruption ended: some guarantees hold only after a while without disruptions. */
import type { IClock, Instant } from '@umberspar/base/common/clock'

/** How long after a disruption an affected process may still act on stale data. */
const STABILITY_MS = 4_000

/** Tracks the unplanned disruptions of a run. */
export class DisruptionTracker {
  private active = 0
  private endedAt: Instant = Number.NEGATIVE_INFINITY

  /** @param clock source of the time at which disruptions end */
  constructor (private readonly clock: IClock) {}

  /** Records the start of a disruption. */
  start (): void {
    this.active++
  }

  /** Records the end of a disruption. */
  end (): void {
    this.active--
    this.endedAt = this.clock.now()
  }

  /** @returns the end of the stability period after the last disruption; Infinity during a disruption */
  getStableFrom (): Instant {
    return this.active > 0 ? Infinity : this.endedAt + STABILITY_MS
  }
}
