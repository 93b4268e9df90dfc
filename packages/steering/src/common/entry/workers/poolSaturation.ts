/** How many of a service's slots are taken. */
import type { Instant } from '@umberspar/base/common/clock'
import type { UpstreamTracker } from './upstreamTracker.js'

/** Slot utilization up to which the saturation is 0, and from which it is 1. */
const SPARE_UTILIZATION_RATIO = 0.4
const FULL_UTILIZATION_RATIO = 0.9
/**
 * Limits how much one worker with a long queue adds to the service's saturation. Where the queues of the workers are
 * known from other VMs, waiting requests add nothing: they don't take the free slots of other workers.
 */
const MAX_IN_FLIGHT_PER_SLOT = 2
/** The saturation is cached this long, since computing it visits all workers. */
const SATURATION_VALIDITY_MS = 100

/** The saturation of one service. */
export class PoolSaturation {
  private value = 0
  private validUntil: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param trackers the workers of the service
   * @param now the current time
   * @returns from 0 (free slots) to 1 (no free slots)
   */
  get (trackers: Iterable<UpstreamTracker>, now: Instant): number {
    if (now < this.validUntil) return this.value
    let inFlight = 0
    let slots = 0
    for (const tracker of trackers) {
      // Its slots are not free.
      if (tracker.advisory.isCoolingDown(now)) continue
      const maxPerSlot = tracker.load.isShared(now) ? 1 : MAX_IN_FLIGHT_PER_SLOT
      inFlight += Math.min(maxPerSlot * tracker.registration.slots, tracker.countInFlight(now))
      slots += tracker.registration.slots
    }
    const utilization = slots === 0 ? 0 : inFlight / slots
    this.value = Math.min(1, Math.max(0, (utilization - SPARE_UTILIZATION_RATIO) / (FULL_UTILIZATION_RATIO - SPARE_UTILIZATION_RATIO)))
    this.validUntil = now + SATURATION_VALIDITY_MS
    return this.value
  }
}
