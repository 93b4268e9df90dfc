/** The interface of random sources, so that decisions can be reproduced from a seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of random numbers. */
export interface IRandomSource {
  /** @returns a number from 0 (included) to 1 (excluded) */
  next(): number
}

/** A deterministic source: the same seed gives the same numbers. */
export class SeededRandom implements IRandomSource {
  private readonly generator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** @returns a number from 0 (included) to 1 (excluded) */
  next (): number {
    return (this.generator.next() >>> 0) / 0x1_0000_0000
  }
}

/**
 * Varies a duration at random, so that many nodes do not act at the same instant.
 * @param random the random source
 * @param duration the mean duration, in any unit
 * @param fraction the largest deviation in either direction, as a fraction of the duration, 0 to 1
 * @returns a value from duration × (1 − fraction) to duration × (1 + fraction)
 */
export function addJitter (random: IRandomSource, duration: number, fraction: number): number {
  return duration * (1 + fraction * (2 * random.next() - 1))
}
