/**
 * Tracks the last instant at which the records are proven to have been the newest: a lower
 * bound on the time of the store's state that they reflect.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** Limit on readings whose changes have not arrived yet; each usually waits for less than a second. */
const MAX_PENDING_READINGS = 16

/** The store's revision, as returned for a request. */
export interface RevisionReading {
  /** When the request was sent, or earlier. */
  readonly requestedAt: Instant
  /** The store's revision at some instant after that. */
  readonly revision: number
}

/** The freshness proof of one VM. All instants are of a clock that counts suspensions. */
export class FreshnessProof {
  private latestProvenAt: Instant = Number.NEGATIVE_INFINITY
  private pendingReadings: RevisionReading[] = []

  /** @returns an instant at which the records were the newest; negative infinity if none is known */
  get provenAt (): Instant {
    return this.latestProvenAt
  }

  /**
   * Records a reading of the store's revision. It proves something once all changes up to it
   * are known.
   * @param reading the reading
   * @param knownRevision revision up to which changes are known
   */
  recordReading (reading: RevisionReading, knownRevision: number): void {
    this.pendingReadings.push(reading)
    if (this.pendingReadings.length > MAX_PENDING_READINGS) this.pendingReadings.shift()
    this.handleRevision(knownRevision)
  }

  /**
   * Accounts for changes that arrived.
   * @param knownRevision revision up to which changes are now known
   */
  handleRevision (knownRevision: number): void {
    for (const { requestedAt, revision } of this.pendingReadings) {
      if (revision <= knownRevision) this.latestProvenAt = Math.max(this.latestProvenAt, requestedAt)
    }
    this.pendingReadings = this.pendingReadings.filter(({ revision }) => revision > knownRevision)
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
