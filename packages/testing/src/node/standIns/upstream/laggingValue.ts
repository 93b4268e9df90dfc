/** A value with its recent past, for reports that lag. */
import type { IClock, Instant } from '@umberspar/base/common/clock'

interface Sample<T> {
  readonly at: Instant
  readonly value: T
}

const MAX_SAMPLES = 4096

/** Remembers what a value was. */
export class LaggingValue<T> {
  private samples: Sample<T>[]

  constructor (private readonly clock: IClock, initial: T) {
    this.samples = [{ at: clock.now(), value: initial }]
  }

  /** @param value what holds from now on */
  set (value: T): void {
    this.samples.push({ at: this.clock.now(), value })
    if (this.samples.length > MAX_SAMPLES) this.samples = this.samples.slice(MAX_SAMPLES / 2)
  }

  /**
   * @param lagSpanMs how long ago
   * @returns the value as it was then, or the oldest still known
   */
  get (lagSpanMs: number): T {
    const asOf = this.clock.now() - lagSpanMs
    const found = this.samples.findLast((sample) => sample.at <= asOf) ?? this.samples[0]
    return (found as Sample<T>).value
  }
}
