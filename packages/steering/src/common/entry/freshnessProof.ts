/**
 * Tracks the last instant at which the records are proven to have been the newest: a lower
 * bound on the time of the store's state that they reflect.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { hasReachedPosition, isLaterPosition, type StorePosition } from './storePosition.js'

/** Limit on readings whose changes have not arrived yet; each usually waits for less than a second. */
const MAX_PENDING_READINGS = 16

/** The store's position, as returned for a request. */
export interface PositionReading {
  /** When the request was sent, or earlier. */
  readonly requestedAt: Instant
  /** The store's position at some instant after that. */
  readonly position: StorePosition
}

/** The freshness proof of one VM. All instants are of a clock that counts suspensions. */
export class FreshnessProof {
  private latestProvenAt: Instant = Number.NEGATIVE_INFINITY
  private pendingReadings: PositionReading[] = []
  /** Readings of requests that were sent before prove nothing. */
  private trustedSince: Instant = Number.NEGATIVE_INFINITY

  /** @returns an instant at which the records were the newest; negative infinity if none is known */
  get provenAt (): Instant {
    return this.latestProvenAt
  }

  /** @returns from when on readings prove something; negative infinity if all do */
  get trustedFrom (): Instant {
    return this.trustedSince
  }

  /**
   * Begins an era of the store. What it had accepted and lost is unknown to it until the writers
   * have written it again, so that its position proves nothing before.
   * @param trustedFrom by when the writers have written again what was lost
   */
  startEra (trustedFrom: Instant): void {
    this.trustedSince = trustedFrom
    this.pendingReadings = this.pendingReadings.filter(({ requestedAt }) => requestedAt >= trustedFrom)
  }

  /**
   * Records a reading of the store's position. It proves something once all changes up to it
   * are known. A reading of an earlier era proves nothing about the records of a later one.
   * @param reading the reading
   * @param knownPosition position up to which changes are known
   */
  recordReading (reading: PositionReading, knownPosition: StorePosition): void {
    if (reading.requestedAt >= this.trustedSince) this.pendingReadings.push(reading)
    if (this.pendingReadings.length > MAX_PENDING_READINGS) this.pendingReadings.shift()
    this.handlePosition(knownPosition)
  }

  /**
   * Accounts for changes that arrived.
   * @param knownPosition position up to which changes are now known
   */
  handlePosition (knownPosition: StorePosition): void {
    for (const { requestedAt, position } of this.pendingReadings) {
      if (hasReachedPosition(knownPosition, position)) this.latestProvenAt = Math.max(this.latestProvenAt, requestedAt)
    }
    this.pendingReadings = this.pendingReadings.filter(({ position }) => isLaterPosition(position, knownPosition))
  }

  /**
   * Records the proof of the peer that the records come from.
   * @param at an instant at which the peer's records, all of which are known here, were the
   *   newest
   */
  recordPeerProof (at: Instant): void {
    this.latestProvenAt = Math.max(this.latestProvenAt, at)
  }

  /**
   * @param now the current time
   * @returns the maximum age of the records, in milliseconds; Infinity if nothing is proven
   */
  getAgeMs (now: Instant): number {
    return Math.max(0, now - this.latestProvenAt)
  }
}
