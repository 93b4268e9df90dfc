/** Picks the failure domain of an attempt by the plan's weights. */
import type { IRandomSource } from '@umberspar/base/common/random'

/**
 * @param weights the plan's weights of the caller's region
 * @param excluded domains that this request has tried
 * @param random the source of the draw
 * @returns a domain, drawn by weight among those left, or undefined
 */
export function chooseDomain (weights: Readonly<Record<string, number>>, excluded: ReadonlySet<string>, random: IRandomSource): string | undefined {
  const open = Object.entries(weights).filter(([domain, weight]) => weight > 0 && !excluded.has(domain))
  const total = open.reduce((sum, [, weight]) => sum + weight, 0)
  let left = random.next() * total
  for (const [domain, weight] of open) {
    left -= weight
    if (left < 0) return domain
  }
  return open.at(-1)?.[0]
}
