/**
 * One bounded step of a client region's weights. Traffic leaves drained and
 * failed places first, and no failure domain gains more than it has room for.
 */
import type { DomainWeights } from './servicePlan.js'

/** The bounds of one step of one client region. */
export interface RegionStepBounds {
  /** The part of the region's traffic that may move, above 0 to 1. */
  readonly cap: number
  /** The part of the region's traffic by which a failure domain may grow; Infinity for no bound. */
  readonly getRoom: (failureDomain: string) => number
  /** Failure domains that are left before all others. */
  readonly urgent: ReadonlySet<string>
}

/** Traffic that is planned nowhere and therefore refused; it can be drawn on and has no room limit. */
const NOWHERE = ''
const EPSILON = 1e-9

function addNowhere (weights: DomainWeights): Map<string, number> {
  const all = new Map(Object.entries(weights))
  const sum = [...all.values()].reduce((total, weight) => total + weight, 0)
  if (1 - sum > EPSILON) all.set(NOWHERE, 1 - sum)
  return all
}

/** Gains in proportion to what is wanted, then what is left over to whoever still has room. */
function divideGains (wanted: ReadonlyMap<string, number>, bounds: RegionStepBounds): Map<string, number> {
  const total = [...wanted.values()].reduce((sum, gain) => sum + gain, 0)
  const budget = Math.min(bounds.cap, total)
  const gains = new Map<string, number>()
  let left = budget
  for (const [domain, gain] of wanted) {
    const room = domain === NOWHERE ? Infinity : Math.max(0, bounds.getRoom(domain))
    const given = Math.min(gain * (budget / total), room)
    gains.set(domain, given)
    left -= given
  }
  for (const [domain, gain] of wanted) {
    const given = gains.get(domain) ?? 0
    const room = domain === NOWHERE ? Infinity : Math.max(0, bounds.getRoom(domain))
    const more = Math.max(0, Math.min(left, gain - given, room - given))
    gains.set(domain, given + more)
    left -= more
  }
  return gains
}

function takeLosses (wanted: ReadonlyMap<string, number>, amount: number, urgent: ReadonlySet<string>): Map<string, number> {
  const losses = new Map<string, number>()
  let left = amount
  for (const isUrgent of [true, false]) {
    const group = [...wanted].filter(([domain]) => urgent.has(domain) === isUrgent)
    const total = group.reduce((sum, [, loss]) => sum + loss, 0)
    if (total <= 0 || left <= 0) continue
    const part = Math.min(1, left / total)
    for (const [domain, loss] of group) losses.set(domain, loss * part)
    left -= total * part
  }
  return losses
}

/**
 * @param from the weights in force
 * @param to the weights wanted
 * @param bounds cap, room and what to leave first
 * @returns the weights after the step, each between its value before and the one wanted
 */
export function stepRegionWithin (from: DomainWeights, to: DomainWeights, bounds: RegionStepBounds): DomainWeights {
  const start = addNowhere(from)
  const end = addNowhere(to)
  const gainsWanted = new Map<string, number>()
  const lossesWanted = new Map<string, number>()
  for (const domain of new Set([...start.keys(), ...end.keys()])) {
    const change = (end.get(domain) ?? 0) - (start.get(domain) ?? 0)
    if (change > 0) gainsWanted.set(domain, change)
    else if (change < 0) lossesWanted.set(domain, -change)
  }
  const total = [...gainsWanted.values()].reduce((sum, gain) => sum + gain, 0)
  if (total <= EPSILON) return { ...to }
  const gains = divideGains(gainsWanted, bounds)
  const amount = [...gains.values()].reduce((sum, gain) => sum + gain, 0)
  if (amount >= total - EPSILON) return { ...to }
  const losses = takeLosses(lossesWanted, amount, bounds.urgent)
  const weights: Record<string, number> = {}
  for (const domain of new Set([...start.keys(), ...end.keys()])) {
    if (domain === NOWHERE) continue
    const weight = (start.get(domain) ?? 0) + (gains.get(domain) ?? 0) - (losses.get(domain) ?? 0)
    if (weight > EPSILON) weights[domain] = Math.min(1, weight)
  }
  return weights
}
