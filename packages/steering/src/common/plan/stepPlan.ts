/** Capped steps from the current weights toward target weights. */
import type { DomainWeights, Weights } from './servicePlan.js'

/**
 * The fraction of one client region's traffic that changes its failure domain: the
 * total variation distance. Traffic without weights counts as a failure domain of
 * its own, so that serving traffic that was refused before is a shift as well.
 */
function computeRegionShift (from: DomainWeights, to: DomainWeights): number {
  let gained = 0
  let lost = 0
  for (const domain of new Set([...Object.keys(from), ...Object.keys(to)])) {
    const change = (to[domain] ?? 0) - (from[domain] ?? 0)
    if (change > 0) gained += change
    else lost -= change
  }
  return Math.max(gained, lost)
}

function stepRegion (from: DomainWeights, to: DomainWeights, maxShift: number): DomainWeights {
  const shift = computeRegionShift(from, to)
  if (shift <= maxShift) return { ...to }
  const ratio = maxShift / shift
  const weights: Record<string, number> = {}
  for (const domain of new Set([...Object.keys(from), ...Object.keys(to)])) {
    const start = from[domain] ?? 0
    const weight = start + ((to[domain] ?? 0) - start) * ratio
    if (weight > 0) weights[domain] = weight
  }
  return weights
}

/**
 * Computes the largest shift of any client region. A client region that exists on
 * one side only is new or removed and doesn't count as a shift.
 * @param from the weights before
 * @param to the weights after
 * @returns the largest fraction of any client region's traffic that moves, 0 to 1
 */
export function computeShift (from: Weights, to: Weights): number {
  let largest = 0
  for (const [clientRegion, weights] of Object.entries(from)) {
    const target = to[clientRegion]
    if (target !== undefined) largest = Math.max(largest, computeRegionShift(weights, target))
  }
  return largest
}

/**
 * Moves every client region toward its target by at most `maxShift`.
 * @param current the current weights
 * @param target the target weights
 * @param maxShift the fraction of each client region's traffic that may move, above 0 and at most 1
 * @returns the weights after the step; exactly the target where `maxShift` allows it
 */
export function stepToward (current: Weights, target: Weights, maxShift: number): Weights {
  const weights: Record<string, DomainWeights> = {}
  for (const [clientRegion, wanted] of Object.entries(target)) {
    const start = current[clientRegion]
    weights[clientRegion] = start === undefined ? { ...wanted } : stepRegion(start, wanted, maxShift)
  }
  return weights
}
