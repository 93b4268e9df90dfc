/** Tracks the maximum of a value over a sliding window. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed, type Deadline } from '@umberspar/base/common/deadline'

interface HigherValue {
  readonly value: number
  readonly until: Deadline
}

/** The maximum of a value that changes at known instants. */
export class RecentMaximum {
  /** Earlier values that were higher than all later ones; the highest first. */
  private higherValues: HigherValue[] = []

  /**
   * @param windowMs length of the window, in milliseconds
   * @param value the initial value
   */
  constructor (private readonly windowMs: number, private value: number) {}

  /**
   * @param value the value from now on
   * @param now the current time
   */
  update (value: number, now: Instant): void {
    if (value < this.value) this.higherValues.push({ value: this.value, until: createDeadline(now, this.windowMs) })
    else this.higherValues = this.higherValues.filter((higher) => higher.value > value)
    this.value = value
  }

  /**
   * @param now the current time
   * @returns the maximum since the beginning of the window
   */
  get (now: Instant): number {
    this.higherValues = this.higherValues.filter(({ until }) => !hasPassed(until, now))
    return this.higherValues[0]?.value ?? this.value
  }
}
