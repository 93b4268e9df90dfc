/**
 * Holds back requests that may be decided only by records that are proven to be current, while a
 * newer proof is expected within moments: after a pause of the process, requests are read before
 * the proof that has arrived as well.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'

/** Longest time for which a request waits for a newer proof. */
const PROOF_WAIT_MS = 250
/** Shortest time between two reads of the store's position that waiting requests cause. */
const MIN_READ_INTERVAL_MS = 200

/** Where proofs come from. */
export interface ProofSource {
  /** Whether a newer proof is expected: the store, or a VM with current records, reports changes to this one. */
  isProofExpected(): boolean
  /** Asks for a newer proof, where this VM can. */
  askForProof(): void
}

/** How a wait ended. */
export enum ProofWaitEnd {
  Proven = 'proven',
  Expired = 'expired'
}

interface Waiting {
  readonly callback: () => void
  readonly timer: ITimer
}

/** The requests of one process that wait for a newer proof. */
export class ProofWaiter implements IClosable {
  private waiting: Waiting[] = []
  private nextReadAt: Deadline = Number.NEGATIVE_INFINITY

  /**
   * @param clock limits the waits
   * @param source where proofs come from
   * @param onWaitEnd called for each wait that is over
   */
  constructor (private readonly clock: IClock, private readonly source: ProofSource, private readonly onWaitEnd: (end: ProofWaitEnd) => void) {}

  /** @returns when a request that waits from now on gives up */
  createDeadline (): Deadline {
    return createDeadline(this.clock.now(), PROOF_WAIT_MS)
  }

  /**
   * Waits for the next proof if one is expected.
   * @param until from {@link ProofWaiter.createDeadline}
   * @param callback called with the next proof, or at the deadline
   * @returns whether the callback will be called; false if there is no use in waiting
   */
  wait (until: Deadline, callback: () => void): boolean {
    const now = this.clock.now()
    if (hasPassed(until, now) || !this.source.isProofExpected()) return false
    const waiting = { callback, timer: this.clock.schedule(until, () => { this.release(waiting) }) }
    this.waiting.push(waiting)
    if (hasPassed(this.nextReadAt, now)) {
      this.nextReadAt = now + MIN_READ_INTERVAL_MS
      this.source.askForProof()
    }
    return true
  }

  /** Decides the waiting requests again, by a newer proof. */
  handleProof (): void {
    const waiting = this.waiting
    this.waiting = []
    for (const { callback, timer } of waiting) {
      timer.close()
      this.onWaitEnd(ProofWaitEnd.Proven)
      callback()
    }
  }

  close (): void {
    for (const { timer } of this.waiting) timer.close()
    this.waiting = []
  }

  private release (waiting: Waiting): void {
    this.waiting = this.waiting.filter((other) => other !== waiting)
    this.onWaitEnd(ProofWaitEnd.Expired)
    waiting.callback()
  }
}
