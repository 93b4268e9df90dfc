/** Why no worker of a service may get a request now, though some may get one later. */
import type { Instant } from '@umberspar/base/common/clock'

/** What keeps the first worker that becomes available from getting requests. */
export enum UnavailabilityReason {
  RateLimited = 'rate-limited',
  /** The worker asked for a pause. */
  CoolingDown = 'cooling-down'
}

/** When the first worker may get requests again. */
export interface Unavailability {
  readonly reason: UnavailabilityReason
  readonly until: Instant
}
