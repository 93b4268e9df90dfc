/** Capped steps from the weights in force toward those that are wanted. */
import type { DomainWeights, Weights } from './servicePlan.js'

/**
 * The part of one client region's traffic that goes elsewhere: the total
 * variation distance. Traffic planned nowhere counts as a place of its own, so
 * that planning what was refused before is a shift as well.
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

function stepRegion (from: DomainWeights, to: DomainWeights, cap: number): DomainWeights {
  const shift = computeRegionShift(from, to)
  if (shift <= cap) return { ...to }
  const part = cap / shift
  const weights: Record<string, number> = {}
  for (const domain of new Set([...Object.keys(from), ...Object.keys(to)])) {
    const start = from[domain] ?? 0
    const weight = start + ((to[domain] ?? 0) - start) * part
    if (weight > 0) weights[domain] = weight
  }
  return weights
}

/**
 * Computes the largest shift of any client region. A client region that only one
 * side has is new or removed and carries nothing that could shift.
 * @param from the weights before
 * @param to the weights after
 * @returns the part of a client region's traffic that moves, 0 to 1
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
 * Moves every client region toward its target by at most the cap.
 * @param current the weights in force
 * @param target the weights wanted
 * @param cap the part of each client region's traffic that may move, above 0 and at most 1
 * @returns the weights after the step; exactly the target where the cap allows it
 */
export function stepToward (current: Weights, target: Weights, cap: number): Weights {
  const weights: Record<string, DomainWeights> = {}
  for (const [clientRegion, wanted] of Object.entries(target)) {
    const start = current[clientRegion]
    weights[clientRegion] = start === undefined ? { ...wanted } : stepRegion(start, wanted, cap)
  }
  return weights
}
