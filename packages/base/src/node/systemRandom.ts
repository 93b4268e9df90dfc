/** A random source that is seeded by the operating system. */
import { randomInt } from 'node:crypto'
import { SeededRandom } from '../common/random.js'

const SEED_LIMIT = 2 ** 31

/** @returns a source with a random seed, so that processes generate different numbers */
export function createSystemRandom (): SeededRandom {
  return new SeededRandom(randomInt(SEED_LIMIT))
}
