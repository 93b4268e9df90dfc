/**
 * One bounded step of a client region's weights. Traffic leaves drained and failed
 * places first, and no failure domain gains more than its free capacity allows.
 */
import type { DomainWeights } from './servicePlan.js'

/** The bounds of one step of one client region; fractions are of that region's traffic. */
export interface RegionStepBounds {
  /** The fraction that may move to other failure domains, above 0 to 1. */
  readonly maxShift: number
  /** The fraction by which a failure domain's weight may grow; Infinity for no bound. */
  readonly getMaxGain: (failureDomain: string) => number
  /** Failure domains that lose traffic before any other does, such as drained and failed ones. */
  readonly urgent: ReadonlySet<string>
}

/** Key of the weight that is assigned to no failure domain. That traffic is refused, so the key's weight may grow and shrink without a capacity limit. */
const UNPLANNED = ''
/** Differences up to this count as zero, to absorb rounding errors. */
const EPSILON = 1e-9

function addUnplannedWeight (weights: DomainWeights): Map<string, number> {
  const allWeights = new Map(Object.entries(weights))
  const sum = [...allWeights.values()].reduce((total, weight) => total + weight, 0)
  if (1 - sum > EPSILON) allWeights.set(UNPLANNED, 1 - sum)
  return allWeights
}

/** Grants gains in proportion to those wanted, then gives the rest to failure domains that still have free capacity. */
function divideGains (wantedGains: ReadonlyMap<string, number>, bounds: RegionStepBounds): Map<string, number> {
  const wantedTotal = [...wantedGains.values()].reduce((sum, gain) => sum + gain, 0)
  const budget = Math.min(bounds.maxShift, wantedTotal)
  const gains = new Map<string, number>()
  let remaining = budget
  for (const [domain, gain] of wantedGains) {
    const maxGain = domain === UNPLANNED ? Infinity : Math.max(0, bounds.getMaxGain(domain))
    const granted = Math.min(gain * (budget / wantedTotal), maxGain)
    gains.set(domain, granted)
    remaining -= granted
  }
  for (const [domain, gain] of wantedGains) {
    const granted = gains.get(domain) ?? 0
    const maxGain = domain === UNPLANNED ? Infinity : Math.max(0, bounds.getMaxGain(domain))
    const extra = Math.max(0, Math.min(remaining, gain - granted, maxGain - granted))
    gains.set(domain, granted + extra)
    remaining -= extra
  }
  return gains
}

function divideLosses (wantedLosses: ReadonlyMap<string, number>, totalLoss: number, urgent: ReadonlySet<string>): Map<string, number> {
  const losses = new Map<string, number>()
  let remaining = totalLoss
  for (const isUrgent of [true, false]) {
    const group = [...wantedLosses].filter(([domain]) => urgent.has(domain) === isUrgent)
    const total = group.reduce((sum, [, loss]) => sum + loss, 0)
    if (total <= 0 || remaining <= 0) continue
    const ratio = Math.min(1, remaining / total)
    for (const [domain, loss] of group) losses.set(domain, loss * ratio)
    remaining -= total * ratio
  }
  return losses
}

/**
 * @param from the current weights
 * @param to the target weights
 * @param bounds the largest shift, the largest gain of each failure domain, and the failure domains to vacate first
 * @returns the weights after the step, each between its current and its target value
 */
export function stepRegionWithinBounds (from: DomainWeights, to: DomainWeights, bounds: RegionStepBounds): DomainWeights {
  const start = addUnplannedWeight(from)
  const end = addUnplannedWeight(to)
  const wantedGains = new Map<string, number>()
  const wantedLosses = new Map<string, number>()
  for (const domain of new Set([...start.keys(), ...end.keys()])) {
    const change = (end.get(domain) ?? 0) - (start.get(domain) ?? 0)
    if (change > 0) wantedGains.set(domain, change)
    else if (change < 0) wantedLosses.set(domain, -change)
  }
  const wantedTotal = [...wantedGains.values()].reduce((sum, gain) => sum + gain, 0)
  if (wantedTotal <= EPSILON) return { ...to }
  const gains = divideGains(wantedGains, bounds)
  const grantedTotal = [...gains.values()].reduce((sum, gain) => sum + gain, 0)
  if (grantedTotal >= wantedTotal - EPSILON) return { ...to }
  const losses = divideLosses(wantedLosses, grantedTotal, bounds.urgent)
  const weights: Record<string, number> = {}
  for (const domain of new Set([...start.keys(), ...end.keys()])) {
    if (domain === UNPLANNED) continue
    const weight = (start.get(domain) ?? 0) + (gains.get(domain) ?? 0) - (losses.get(domain) ?? 0)
    if (weight > EPSILON) weights[domain] = Math.min(1, weight)
  }
  return weights
}
