/** Chooses the failure domain of an attempt at random, by the plan's weights. */
import type { IRandomSource } from '@umberspar/base/common/random'

/**
 * @param weights the plan's weights for the caller's region, by failure domain
 * @param excluded domains that must not be chosen
 * @param random the random source
 * @returns a domain chosen by weight among the others, or undefined if none is left
 */
export function chooseFailureDomain (weights: Readonly<Record<string, number>>, excluded: ReadonlySet<string>, random: IRandomSource): string | undefined {
  const candidates = Object.entries(weights).filter(([domain, weight]) => weight > 0 && !excluded.has(domain))
  const total = candidates.reduce((sum, [, weight]) => sum + weight, 0)
  let remaining = random.next() * total
  for (const [domain, weight] of candidates) {
    remaining -= weight
    if (remaining < 0) return domain
  }
  return candidates.at(-1)?.[0]
}
