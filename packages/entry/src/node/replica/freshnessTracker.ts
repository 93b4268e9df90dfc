/** Tracks how fresh this VM's records certainly are, from its own reads of the store's position and from other VMs. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { Emitter } from '@umberspar/base/common/event'
import { FreshnessProof, type PositionReading } from '@umberspar/steering/common/entry/freshnessProof'
import { hasReachedPosition, isEraStart, NO_POSITION, type StorePosition } from '@umberspar/steering/common/entry/storePosition'

/** Within this time after the store came back from an older copy, its writers write again what it has lost. */
const REWRITE_MS = 2_100

/** Tracks the freshness of one process's records. */
export class FreshnessTracker {
  private readonly freshness = new FreshnessProof()
  private position = NO_POSITION
  /** Whether this process has read nothing of an earlier era. */
  private hasJoinedEra = false
  private readonly proofs = new Emitter<undefined>()

  /** The records have been proven current at a later instant than before. */
  readonly onDidProve = this.proofs.event

  /**
   * @param elapsed the clock of all instants here, which counts suspensions
   * @param readPosition gets the position of this VM's records
   */
  constructor (private readonly elapsed: ElapsedClock, private readonly readPosition: () => StorePosition) {}

  /** @returns the time since the records were last certainly up to date, in milliseconds; Infinity if they never were */
  getAgeMs (): number {
    return this.freshness.getAgeMs(this.elapsed.now())
  }

  /** @returns the age to publish to other VMs, in milliseconds; undefined if the records were never certainly up to date */
  getPublishedAgeMs (): number | undefined {
    const ageMs = this.getAgeMs()
    return Number.isFinite(ageMs) ? ageMs : undefined
  }

  /** @returns whether the store's position proves something; not at once after the store came back from an older copy */
  get mayProve (): boolean {
    return this.freshness.trustedFrom <= this.elapsed.now()
  }

  /** @returns whether only other VMs can prove something: this one has started in an era that may have begun a moment ago */
  get needsPeerProof (): boolean {
    return this.hasJoinedEra && !this.mayProve
  }

  /** Records a read of the store's position. */
  recordReading (reading: PositionReading): void {
    this.updateProof(() => { this.freshness.recordReading(reading, this.updatePosition()) })
  }

  /** Handles a new position of this VM's records. */
  handlePosition (): void {
    this.updateProof(() => { this.freshness.handlePosition(this.updatePosition()) })
  }

  private updateProof (update: () => void): void {
    const { provenAt } = this.freshness
    update()
    if (this.freshness.provenAt > provenAt) this.proofs.fire(undefined)
  }

  private updatePosition (): StorePosition {
    const previous = this.position
    this.position = this.readPosition()
    if (previous.era === this.position.era) return this.position
    // A process that has just started can't tell how long ago the era began.
    this.hasJoinedEra = !isEraStart(previous, this.position)
    this.freshness.startEra(this.elapsed.now() + REWRITE_MS)
    return this.position
  }

  /**
   * Records the freshness of another VM's records. It holds for this VM's records too if they have reached the same position.
   * @param position of the other VM's records
   * @param freshAsOf when that position was certainly the newest
   */
  recordPeerFreshness (position: StorePosition, freshAsOf: Instant): void {
    if (hasReachedPosition(this.readPosition(), position)) this.updateProof(() => { this.freshness.recordPeerProof(freshAsOf) })
  }
}
