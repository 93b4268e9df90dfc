/** Divides a whole number among claimants by weight, in whole numbers that add up to it (largest remainders). */
import { computePairHash } from '../lookup/rendezvous.js'

/** One claimant. */
export interface Claimant {
  readonly name: string
  /** Not negative. */
  readonly weight: number
}

interface Quota {
  readonly name: string
  readonly whole: number
  readonly remainder: number
  readonly hash: number
}

/** Remainders that differ by rounding only must tie. */
const REMAINDER_STEPS = 1e6

/**
 * @param total what is divided, a whole number
 * @param claimants in any order; if all weights are 0 they count alike
 * @param key spreads ties: the same for all who divide the same total
 * @returns each claimant's part by name
 */
export function divideByWeight (total: number, claimants: readonly Claimant[], key: string): Map<string, number> {
  const sum = claimants.reduce((all, { weight }) => all + weight, 0)
  const quotas = claimants.map(({ name, weight }): Quota => {
    const exact = total * (sum === 0 ? 1 / claimants.length : weight / sum)
    // A quota that is whole but for rounding must not lose its last unit.
    const whole = Math.floor(exact + 1 / REMAINDER_STEPS)
    return { name, whole, remainder: Math.round((exact - whole) * REMAINDER_STEPS), hash: computePairHash(key, name) }
  })
  const left = total - quotas.reduce((all, { whole }) => all + whole, 0)
  const ranked = [...quotas].sort((one, other) => other.remainder - one.remainder || other.hash - one.hash || (one.name < other.name ? -1 : 1))
  const rounded = new Set(ranked.slice(0, Math.max(0, left)).map(({ name }) => name))
  return new Map(quotas.map(({ name, whole }) => [name, whole + Number(rounded.has(name))]))
}
