/** The rate limits of workers that entry VMs have observed and passed on. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ObservedRateLimit, UpstreamRegistration } from '../records.js'
import type { StoredRecord } from '../storedRecord.js'
import { isSameIncarnation } from '../workers/departedWorkers.js'
import type { UpstreamTracker } from '../workers/upstreamTracker.js'

/** The limits that one VM knows from others. */
export class ObservedRateLimits {
  private readonly records = new Map<string, StoredRecord<ObservedRateLimit>>()

  /** @param findUpstream finds a registered worker */
  constructor (private readonly findUpstream: (id: string) => UpstreamTracker | undefined) {}

  /** @returns the record of a worker's limit; undefined if none is known */
  find (workerId: string): StoredRecord<ObservedRateLimit> | undefined {
    return this.records.get(workerId)
  }

  /** @returns all records */
  list (): Iterable<StoredRecord<ObservedRateLimit>> {
    return this.records.values()
  }

  /**
   * @param limit what another VM has observed
   * @param now the current time
   */
  put (limit: StoredRecord<ObservedRateLimit>, now: Instant): void {
    this.records.set(limit.value.workerId, limit)
    this.findLimited(limit.value)?.rate.applyShared(limit.value.perSecond, now)
  }

  /**
   * @param limit a limit that does not apply any more
   * @param now the current time
   */
  remove ({ value }: StoredRecord<ObservedRateLimit>, now: Instant): void {
    this.records.delete(value.workerId)
    this.findLimited(value)?.rate.applyShared(undefined, now)
  }

  /**
   * Applies what is known to a worker that has just been registered.
   * @param tracker the worker
   * @param now the current time
   */
  applyTo ({ rate, registration }: UpstreamTracker, now: Instant): void {
    const limit = this.records.get(registration.id)?.value
    const isKnown = limit !== undefined && this.isOf(limit, registration)
    if (isKnown || !rate.isOwnObservation) rate.applyShared(isKnown ? limit.perSecond : undefined, now)
  }

  private findLimited (limit: ObservedRateLimit): UpstreamTracker | undefined {
    const tracker = this.findUpstream(limit.workerId)
    return tracker !== undefined && this.isOf(limit, tracker.registration) ? tracker : undefined
  }

  private isOf ({ startedAt }: ObservedRateLimit, registration: UpstreamRegistration): boolean {
    return isSameIncarnation(registration.startedAt, startedAt)
  }
}
