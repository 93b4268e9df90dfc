/** Randomness as a port, so that every decision can be repeated from a seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of random numbers. */
export interface IRandomSource {
  /** @returns a number from 0 (included) to 1 (excluded) */
  next(): number
}

/** A repeatable source: the same seed gives the same numbers. */
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
 * Spreads a span so that many nodes do not act in the same instant.
 * @param random the source
 * @param span the middle, in any unit
 * @param fraction how far to spread to either side, 0 to 1
 * @returns a value from span × (1 − fraction) to span × (1 + fraction)
 */
export function addJitter (random: IRandomSource, span: number, fraction: number): number {
  return span * (1 + fraction * (2 * random.next() - 1))
}
