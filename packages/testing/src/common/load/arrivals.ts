/**
 * Open-loop arrivals: start times do not depend on how fast earlier requests are
 * answered, so a slow server cannot hide its own delay (coordinated omission).
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'

const MS_PER_SECOND = 1000

/** A Poisson process: independent arrivals at a constant mean rate. */
export class PoissonArrivals {
  private nextArrivalAt: Instant

  /**
   * @param random the source of the intervals between arrivals
   * @param ratePerSecond the mean number of arrivals per second
   * @param start the instant at which the process starts
   */
  constructor (
    private readonly random: IRandomSource,
    private readonly ratePerSecond: number,
    start: Instant
  ) {
    this.nextArrivalAt = start
    this.takeNext()
  }

  /** @returns the scheduled start of the next arrival, without taking it */
  peekNext (): Instant {
    return this.nextArrivalAt
  }

  /** @returns the scheduled start of the next arrival, which is taken */
  takeNext (): Instant {
    const arrivalAt = this.nextArrivalAt
    // 1 - next() is above 0, so the logarithm is finite.
    const gapMs = -Math.log(1 - this.random.next()) * MS_PER_SECOND / this.ratePerSecond
    this.nextArrivalAt = arrivalAt + gapMs
    return arrivalAt
  }
}

/**
 * @param random the source of the choice
 * @param members the members to choose from, not empty
 * @param getWeight returns the weight of a member, 0 or more
 * @returns a member, with a probability proportional to its weight; the last one if all weights are 0
 */
export function chooseWeighted<T> (random: IRandomSource, members: readonly T[], getWeight: (member: T) => number): T {
  const totalWeight = members.reduce((sum, member) => sum + getWeight(member), 0)
  let remainingWeight = random.next() * totalWeight
  for (const member of members) {
    remainingWeight -= getWeight(member)
    if (remainingWeight < 0) return member
  }
  return members[members.length - 1] as T
}
