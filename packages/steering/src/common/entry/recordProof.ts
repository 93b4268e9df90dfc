/**
 * Since when the records are surely the newest that the store held: a lower bound
 * on the instant at which the store itself spoke.
 *
 * Guards against records that look current and are not: a watch that waits, an
 * answer that was held up on its way, and a process that was paused all look alike.
 * What counts is when a question was sent; its answer may have been held up for any
 * time, but speaks for the store after the question.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** Questions whose changes have not come yet; each waits for less than a second as a rule. */
const MAX_PENDING_READINGS = 16

/** The store's revision, as told on a question. */
export interface RevisionReading {
  /** When the question was sent, or earlier. */
  readonly askedAt: Instant
  /** The store's revision at some instant after that. */
  readonly revision: number
}

/** The proof of one VM; all instants are of a clock that counts suspensions. */
export class RecordProof {
  private latestProvenAt: Instant = Number.NEGATIVE_INFINITY
  private pendingReadings: RevisionReading[] = []

  /** @returns an instant at which the records were the newest; negative infinity if none is known */
  get provenAt (): Instant {
    return this.latestProvenAt
  }

  /**
   * Takes over the store's revision; it proves something once all changes up to it are known.
   * @param reading what the store told
   * @param knownRevision up to which changes are known
   */
  recordReading (reading: RevisionReading, knownRevision: number): void {
    this.pendingReadings.push(reading)
    if (this.pendingReadings.length > MAX_PENDING_READINGS) this.pendingReadings.shift()
    this.handleRevision(knownRevision)
  }

  /** @param knownRevision up to which changes are known from now on */
  handleRevision (knownRevision: number): void {
    for (const { askedAt, revision } of this.pendingReadings) {
      if (revision <= knownRevision) this.latestProvenAt = Math.max(this.latestProvenAt, askedAt)
    }
    this.pendingReadings = this.pendingReadings.filter(({ revision }) => revision > knownRevision)
  }

  /** @param at an instant at which the VM that tells the records had the newest, all of which are known here */
  recordTold (at: Instant): void {
    this.latestProvenAt = Math.max(this.latestProvenAt, at)
  }

  /**
   * @param now the present
   * @returns how old the records may be, in milliseconds; Infinity if nothing is proven
   */
  getAgeMs (now: Instant): number {
    return Math.max(0, now - this.latestProvenAt)
  }
}
