/** Divides a whole number by weight into whole numbers that add up to it (largest remainder method). */
import { computePairHash } from '../lookup/rendezvous.js'

export interface WeightedRecipient {
  readonly name: string
  /** Must not be negative. */
  readonly weight: number
}

interface Portion {
  readonly name: string
  readonly whole: number
  readonly remainder: number
  readonly hash: number
}

/** Remainders are compared in these steps, so that those that differ only by a rounding error tie. */
const REMAINDER_STEPS_PER_UNIT = 1e6

/**
 * @param total the whole number to divide
 * @param recipients in any order; if all weights are 0, they are treated as equal
 * @param key breaks ties; must be the same for all callers that divide the same total
 * @returns each recipient's part by name
 */
export function divideByWeight (total: number, recipients: readonly WeightedRecipient[], key: string): Map<string, number> {
  const totalWeight = recipients.reduce((all, { weight }) => all + weight, 0)
  const portions = recipients.map(({ name, weight }): Portion => {
    const exact = total * (totalWeight === 0 ? 1 / recipients.length : weight / totalWeight)
    // A portion that is whole except for a rounding error must not lose its last unit.
    const whole = Math.floor(exact + 1 / REMAINDER_STEPS_PER_UNIT)
    return { name, whole, remainder: Math.round((exact - whole) * REMAINDER_STEPS_PER_UNIT), hash: computePairHash(key, name) }
  })
  const undistributed = total - portions.reduce((all, { whole }) => all + whole, 0)
  const ranked = [...portions].sort((first, second) => second.remainder - first.remainder || second.hash - first.hash || (first.name < second.name ? -1 : 1))
  const roundedUp = new Set(ranked.slice(0, Math.max(0, undistributed)).map(({ name }) => name))
  return new Map(portions.map(({ name, whole }) => [name, whole + Number(roundedUp.has(name))]))
}
