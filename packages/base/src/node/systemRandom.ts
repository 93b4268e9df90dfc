/** Randomness seeded from the operating system. */
import { randomInt } from 'node:crypto'
import { SeededRandom } from '../common/random.js'

const SEED_LIMIT = 2 ** 31

/** @returns a source that no other process repeats */
export function createSystemRandom (): SeededRandom {
  return new SeededRandom(randomInt(SEED_LIMIT))
}
