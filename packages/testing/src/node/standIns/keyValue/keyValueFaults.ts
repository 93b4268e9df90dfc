/** The faults that can be switched on in the key-value stand-in. */
import type { IRandomSource } from '@umberspar/base/common/random'

/** What goes wrong. */
export interface KeyValueFaults {
  /** Every call fails as UNAVAILABLE without effect, and open streams break. */
  readonly isDown: boolean
  /** Calls wait so long before they take effect, also if the client has given up meanwhile. */
  readonly slowSpanMs: number
  /** Answers wait so long after the call took effect. */
  readonly lateAnswerSpanMs: number
  /** Answers of watches wait so long. */
  readonly watchLagSpanMs: number
  /** So many of the next writes take effect and then fail as UNAVAILABLE. */
  readonly loseNextAnswers: number
  /** The part of writes that take effect and then fail as UNAVAILABLE. */
  readonly loseAnswerProbability: number
  /** So many of the next calls fail as UNAVAILABLE without effect. */
  readonly dropNextRequests: number
  /** The part of calls that fail as UNAVAILABLE without effect. */
  readonly dropRequestProbability: number
  /** Leases do not lapse. */
  readonly areLeasesPaused: boolean
}

/** No fault at all. */
export const NO_KEY_VALUE_FAULTS: KeyValueFaults = {
  isDown: false,
  slowSpanMs: 0,
  lateAnswerSpanMs: 0,
  watchLagSpanMs: 0,
  loseNextAnswers: 0,
  loseAnswerProbability: 0,
  dropNextRequests: 0,
  dropRequestProbability: 0,
  areLeasesPaused: false
}

/** Holds the faults in force and decides which call they hit. */
export class KeyValueFaultSwitch {
  private faults = NO_KEY_VALUE_FAULTS

  constructor (private readonly random: IRandomSource) {}

  /** @returns the faults in force */
  get (): KeyValueFaults {
    return this.faults
  }

  /** @param changes the faults to change; others stay as they are */
  set (changes: Partial<KeyValueFaults>): void {
    this.faults = { ...this.faults, ...changes }
  }

  /** @returns whether the answer of a write that took effect is lost */
  takeAnswerLoss (): boolean {
    if (this.faults.loseNextAnswers > 0) {
      this.set({ loseNextAnswers: this.faults.loseNextAnswers - 1 })
      return true
    }
    return this.decide(this.faults.loseAnswerProbability)
  }

  /** @returns whether a call is dropped before it takes effect */
  takeRequestDrop (): boolean {
    if (this.faults.dropNextRequests > 0) {
      this.set({ dropNextRequests: this.faults.dropNextRequests - 1 })
      return true
    }
    return this.decide(this.faults.dropRequestProbability)
  }

  private decide (probability: number): boolean {
    return probability > 0 && this.random.next() < probability
  }
}
