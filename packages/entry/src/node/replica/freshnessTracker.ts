/** Tracks how fresh this VM's records certainly are, from its own reads of the store's revision and from other VMs. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { FreshnessProof, type RevisionReading } from '@umberspar/steering/common/entry/freshnessProof'

/** Tracks the freshness of one process's records. */
export class FreshnessTracker {
  private readonly freshness = new FreshnessProof()

  /**
   * @param elapsed the clock of all instants here, which counts suspensions
   * @param readRevision gets the revision of this VM's records
   */
  constructor (private readonly elapsed: ElapsedClock, private readonly readRevision: () => number) {}

  /** @returns the time since the records were last certainly up to date, in milliseconds; Infinity if they never were */
  getAgeMs (): number {
    return this.freshness.getAgeMs(this.elapsed.now())
  }

  /** @returns the age to publish to other VMs, in milliseconds; undefined if the records were never certainly up to date */
  getPublishedAgeMs (): number | undefined {
    const ageMs = this.getAgeMs()
    return Number.isFinite(ageMs) ? ageMs : undefined
  }

  /** Records a read of the store's revision. */
  recordReading (reading: RevisionReading): void {
    this.freshness.recordReading(reading, this.readRevision())
  }

  /** Handles a new revision of this VM's records. */
  handleRevision (): void {
    this.freshness.handleRevision(this.readRevision())
  }

  /**
   * Records the freshness of another VM's records. It holds for this VM's records too if they have reached the same revision.
   * @param revision of the other VM's records
   * @param freshAsOf when that revision was certainly the newest
   */
  recordPeerFreshness (revision: number, freshAsOf: Instant): void {
    if (revision <= this.readRevision()) this.freshness.recordPeerProof(freshAsOf)
  }
}
