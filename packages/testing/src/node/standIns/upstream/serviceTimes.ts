/** How long a worker's requests take: a log-normal distribution, slower after a cold start. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'

/** The distribution of service times. */
export interface ServiceTimeOptions {
  /** Mean of a warm worker, in milliseconds. */
  readonly meanSpanMs: number
  /** Standard deviation of the logarithm; 0 for equal times. */
  readonly sigma: number
  /** How many times slower a wholly cold worker is; at least 1. */
  readonly coldFactor: number
  /** How long the extra time takes to vanish, in equal steps, in milliseconds. */
  readonly warmUpSpanMs: number
}

/** Draws service times. */
export class ServiceTimes {
  private coldSince: Instant | undefined

  constructor (
    private readonly options: ServiceTimeOptions,
    private readonly clock: IClock,
    private readonly random: IRandomSource
  ) {}

  /** The caches are empty from now on. */
  startCold (): void {
    this.coldSince = this.clock.now()
  }

  /** @returns how many times slower than warm the worker is now */
  getColdFactor (): number {
    if (this.coldSince === undefined) return 1
    const progress = (this.clock.now() - this.coldSince) / this.options.warmUpSpanMs
    return 1 + (this.options.coldFactor - 1) * Math.max(0, 1 - progress)
  }

  /** @returns how long the next request takes, in milliseconds */
  next (): number {
    const { meanSpanMs, sigma } = this.options
    // Box-Muller; the logarithm's argument lies above 0 since next() stays below 1.
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()))
    const normal = radius * Math.cos(2 * Math.PI * this.random.next())
    return meanSpanMs * Math.exp(sigma * normal - sigma * sigma / 2) * this.getColdFactor()
  }
}
