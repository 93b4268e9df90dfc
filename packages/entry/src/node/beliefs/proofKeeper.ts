/** Keeps how new the records of this VM surely are, from its own questions to the store and from what others tell. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { RecordProof, type RevisionReading } from '@umberspar/steering/common/entry/recordProof'

/** The proof of one process. */
export class ProofKeeper {
  private readonly proof = new RecordProof()

  /**
   * @param elapsed the clock of all instants of proofs
   * @param readRevision gets the revision up to which changes are known
   */
  constructor (private readonly elapsed: ElapsedClock, private readonly readRevision: () => number) {}

  /** @returns how long ago the records were surely the newest, in milliseconds; Infinity if that is not known */
  getAgeMs (): number {
    return this.proof.getAgeMs(this.elapsed.now())
  }

  /** @returns the same for other VMs; undefined if there is nothing to tell */
  readToldAgeMs (): number | undefined {
    const ageMs = this.getAgeMs()
    return Number.isFinite(ageMs) ? ageMs : undefined
  }

  /** Takes over the store's revision. */
  recordReading (reading: RevisionReading): void {
    this.proof.recordReading(reading, this.readRevision())
  }

  /** Takes over that changes have become known. */
  handleRevision (): void {
    this.proof.handleRevision(this.readRevision())
  }

  /**
   * Takes over what another VM proves: that it knew everything up to a revision.
   * @param revision of the other VM
   * @param provenAt when that was the newest
   */
  recordTold (revision: number, provenAt: Instant): void {
    if (revision <= this.readRevision()) this.proof.recordTold(provenAt)
  }
}
