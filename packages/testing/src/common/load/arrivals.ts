/**
 * Open-loop arrivals: when a request is meant to start does not depend on how
 * fast earlier ones are answered, so a slow server cannot hide its own delay.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'

const MS_PER_SECOND = 1000

/** A Poisson process: independent arrivals at a constant mean rate. */
export class PoissonArrivals {
  private upcoming: Instant

  /**
   * @param random the source of the gaps
   * @param ratePerSecond the mean number of arrivals a second
   * @param start when the process begins
   */
  constructor (
    private readonly random: IRandomSource,
    private readonly ratePerSecond: number,
    start: Instant
  ) {
    this.upcoming = start
    this.takeNext()
  }

  /** @returns when the next arrival is meant to start, without taking it */
  peekNext (): Instant {
    return this.upcoming
  }

  /** @returns when the arrival just taken is meant to start */
  takeNext (): Instant {
    const taken = this.upcoming
    // 1 - next() is above 0, so the logarithm is finite.
    const gapMs = -Math.log(1 - this.random.next()) * MS_PER_SECOND / this.ratePerSecond
    this.upcoming = taken + gapMs
    return taken
  }
}

/**
 * @param random the source
 * @param members what to choose from, not empty
 * @param getWeight a member's weight, 0 or more
 * @returns a member, with a probability in proportion to its weight; the last if all weigh 0
 */
export function chooseWeighted<T> (random: IRandomSource, members: readonly T[], getWeight: (member: T) => number): T {
  const total = members.reduce((sum, member) => sum + getWeight(member), 0)
  let left = random.next() * total
  for (const member of members) {
    left -= getWeight(member)
    if (left < 0) return member
  }
  return members[members.length - 1] as T
}
