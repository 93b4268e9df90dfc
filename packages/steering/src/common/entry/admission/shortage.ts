/**
 * How much of what is asked of a service has to be refused: an integral controller on the expected lateness. It rises while
 * the service has no free slots and requests are expected late, and falls as soon as one of both is over.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** What a request finds at its service. */
export interface ServiceLoad {
  /** Saturation of the service, from 0 (free slots) to 1 (no free slots). */
  readonly saturation: number
  /** Probability of an answer on time from the best candidate if the object is cached there; undefined while too few answers were observed. */
  readonly onTimeProbability: number | undefined
}

/** Saturation from which a service counts as without free slots. */
export const FULL_SATURATION = 0.9
/** The least urgent yield while the others are still likely to be served on time, well before these are refused. */
const TARGET_ON_TIME_PROBABILITY = 0.6
/** Change of the refused part in a second, for a probability that is off its target by 1. */
const GAIN_PER_SECOND = 4
/** Fall of the refused part in a second while there are free slots. */
const RELEASE_PER_SECOND = 1
/** Longest time that one observation stands for, in milliseconds. */
const MAX_STEP_MS = 300
/** Something is always admitted, so that the state of the service stays known. */
const MAX_REFUSED_RATIO = 0.9
const MS_PER_SECOND = 1_000

/** The part of the requests for one service that has to be refused. */
export class Shortage {
  private value = 0
  private at: Instant = Number.NEGATIVE_INFINITY

  /** @returns the part of what is asked that has to be refused, 0 to 0.9 */
  get ratio (): number {
    return this.value
  }

  /**
   * @param load what a request finds
   * @param now the current time
   */
  observe ({ saturation, onTimeProbability }: ServiceLoad, now: Instant): void {
    const seconds = Math.max(0, Math.min(MAX_STEP_MS, now - this.at)) / MS_PER_SECOND
    this.at = Math.max(this.at, now)
    const isFull = saturation >= FULL_SATURATION
    if (isFull && onTimeProbability === undefined) return
    const change = isFull && onTimeProbability !== undefined ? GAIN_PER_SECOND * (TARGET_ON_TIME_PROBABILITY - onTimeProbability) : -RELEASE_PER_SECOND
    this.value = Math.min(MAX_REFUSED_RATIO, Math.max(0, this.value + change * seconds))
  }
}
