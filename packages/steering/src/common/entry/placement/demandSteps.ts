/**
 * Decides which demand the shares of a service's workers are computed from. It follows the measured
 * demand in steps, each of which moves a limited part of the requests to other regions, and ignores
 * small changes: objects that move to another worker are cache misses there.
 *
 * Each VM limits the steps of its own region's requests, so that a region with fast changes doesn't
 * slow down the others. The limit holds for the sum of all VMs, also when they know different rows.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { RecentMaximum } from '../recentMaximum.js'
import { countDomains, type RegionDemand, type RegionDivision } from './workerShares.js'

/** Minimum time between two steps; the limit on shifts applies to windows of this length. */
export const STEP_INTERVAL_MS = 2_000
/**
 * The part of the permitted shift that a step may use. When the shares of several regions change at
 * once, up to twice as many objects move between regions as the shares say.
 */
const STEP_RATIO = 0.4
/** The smallest step while demand changes, as a part of the longest one: each step has all objects ranked again. */
const MIN_STEP_RATIO = 0.4
/** Once the demand has not changed for this long, smaller steps are taken too, so that all VMs arrive at the same shares. */
const SETTLE_MS = 10_000
/** Regions' parts of the demand are rounded to multiples of this, relative to an even part, so that VMs follow the same values. */
const DEMAND_QUANTUM_RATIO = 0.03
/** Changes of a region's part of the demand below this, relative to an even part, are ignored. */
const MIN_DEMAND_CHANGE_RATIO = 0.09
/** The usable part of a region's slots is rounded to multiples of this, and never 0. */
const USABLE_QUANTUM = 0.125
/** The last known demand is used for this long; then it becomes equal in all domains, in steps. */
const LAST_KNOWN_VALIDITY_MS = 15_000
/**
 * For its own requests, a region counts with its highest part of the demand of this time. Steps are
 * too slow to keep a small region's workers from overload when its demand rises again, and objects
 * drawn back for a short time cost more cache misses than they save.
 */
const PEAK_WINDOW_MS = 40_000
/** Halvings of the interval in which the longest permitted step is searched. */
const SEARCH_ROUNDS = 8

/** Computes how the requests are divided among regions for one demand; one function for each group of requests. */
export type DivisionFunction = (demand: RegionDemand | undefined) => RegionDivision

/** A change of the demand in force. */
export interface PlacementStep {
  /** Undefined if it is equal in all domains. */
  readonly demand: RegionDemand | undefined
  /** The part of this region's requests that moves to other regions. */
  readonly movedRatio: number
}

/** The demand in force for one service at this VM. */
export class DemandSteps {
  private readonly evenDemand: RegionDemand
  private readonly maxMovedRatio: number
  /** What the steps lead to. */
  private goal: RegionDemand
  private current: RegionDemand
  private goalValidUntil: Deadline = Number.NEGATIVE_INFINITY
  private readonly ownPeak = new RecentMaximum(PEAK_WINDOW_MS, 0)
  private settledAt: Deadline = Number.NEGATIVE_INFINITY
  private nextStepAt: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param maxShift the part of a region's requests that may move to other regions within two seconds
   * @param region the region of this VM
   * @param regionByDomain all failure domains with their regions
   */
  constructor (maxShift: number, private readonly region: string, regionByDomain: ReadonlyMap<string, string>) {
    this.maxMovedRatio = STEP_RATIO * maxShift
    this.evenDemand = { demandByRegion: scaleToSum(countDomains(regionByDomain)), usableByRegion: new Map([...new Set(regionByDomain.values())].map((region) => [region, 1])) }
    this.goal = this.evenDemand
    this.current = this.evenDemand
  }

  /** @returns the demand in force; undefined if it is equal in all domains */
  get demand (): RegionDemand | undefined {
    return this.current === this.evenDemand ? undefined : this.current
  }

  /**
   * @param measured the measured demand; undefined if it is unknown
   * @param buildDivisions builds the divisions of the groups of requests for which the step is limited
   * @param now the current time
   * @returns the change; undefined if there is none
   */
  step (measured: RegionDemand | undefined, buildDivisions: () => readonly DivisionFunction[], now: Instant): PlacementStep | undefined {
    const rounded = measured === undefined ? undefined : this.mapToQuanta(measured, now)
    if (now < this.nextStepAt) return undefined
    this.updateGoal(rounded, now)
    if (this.current === this.goal) return undefined
    const divisions = buildDivisions()
    const before = divisions.map((compute) => compute(this.demand))
    const computeMoved = (demand: RegionDemand): number => Math.max(0, ...divisions.map((compute, index) => computeMovedRatio(before[index]!, compute(demand === this.evenDemand ? undefined : demand), this.region)))
    const next = this.findNext(computeMoved)
    if (next === undefined) return undefined
    const movedRatio = computeMoved(next)
    if (movedRatio < MIN_STEP_RATIO * this.maxMovedRatio && !hasPassed(this.settledAt, now)) return undefined
    this.current = next
    this.nextStepAt = now + STEP_INTERVAL_MS
    return { demand: this.demand, movedRatio }
  }

  private updateGoal (rounded: RegionDemand | undefined, now: Instant): void {
    if (rounded !== undefined) {
      this.goalValidUntil = createDeadline(now, LAST_KNOWN_VALIDITY_MS)
      if (isOtherDemand(this.goal, rounded)) this.setGoal(rounded, now)
    } else if (hasPassed(this.goalValidUntil, now) && this.goal !== this.evenDemand) this.setGoal(this.evenDemand, now)
  }

  private setGoal (goal: RegionDemand, now: Instant): void {
    this.goal = goal
    this.settledAt = createDeadline(now, SETTLE_MS)
  }

  /** @returns the longest step towards the goal that moves no more than permitted; undefined if there is none */
  private findNext (computeMoved: (demand: RegionDemand) => number): RegionDemand | undefined {
    if (computeMoved(this.goal) <= this.maxMovedRatio) return this.goal
    let next: RegionDemand | undefined
    let [low, high] = [0, 1]
    for (let round = 0; round < SEARCH_ROUNDS; round++) {
      const middle = (low + high) / 2
      const candidate = computeBetween(this.current, this.goal, middle)
      if (computeMoved(candidate) <= this.maxMovedRatio) [low, next] = [middle, candidate]
      else high = middle
    }
    return next
  }

  private mapToQuanta ({ demandByRegion, usableByRegion }: RegionDemand, now: Instant): RegionDemand | undefined {
    const regions = [...this.evenDemand.demandByRegion.keys()]
    const total = regions.reduce((sum, region) => sum + (demandByRegion.get(region) ?? 0), 0)
    if (!(total > 0 && total < Infinity)) return undefined
    // A region with hardly any demand keeps a part: without supply, nothing would limit its shares.
    const quantum = DEMAND_QUANTUM_RATIO / regions.length
    const parts = new Map(regions.map((region) => [region, quantum * Math.max(1, Math.round((demandByRegion.get(region) ?? 0) / total / quantum))]))
    this.ownPeak.update(parts.get(this.region) ?? 0, now)
    if (parts.has(this.region)) parts.set(this.region, this.ownPeak.get(now))
    return { demandByRegion: scaleToSum(parts), usableByRegion: new Map(regions.map((region) => [region, toUsable(usableByRegion.get(region) ?? 1)])) }
  }
}

/** @returns the usable part of a region's slots, rounded */
function toUsable (ratio: number): number {
  return Math.min(1, Math.max(USABLE_QUANTUM, USABLE_QUANTUM * Math.round(ratio / USABLE_QUANTUM)))
}

/**
 * @param before the part of each region's requests that each region serves
 * @param after the same after a change
 * @param region where the requests arrive
 * @returns the part of the region's requests that moves to other regions
 */
export function computeMovedRatio (before: RegionDivision, after: RegionDivision, region: string): number {
  let moved = 0
  for (const [servedBy, part] of after.get(region) ?? []) moved += Math.max(0, part - (before.get(region)?.get(servedBy) ?? 0))
  return moved
}

function isOtherDemand (known: RegionDemand, measured: RegionDemand): boolean {
  const minChange = MIN_DEMAND_CHANGE_RATIO / measured.demandByRegion.size
  return [...measured.demandByRegion].some(([region, part]) => Math.abs(part - known.demandByRegion.get(region)!) >= minChange) ||
    [...measured.usableByRegion].some(([region, part]) => part !== known.usableByRegion.get(region))
}

function computeBetween (from: RegionDemand, to: RegionDemand, ratio: number): RegionDemand {
  return { demandByRegion: computeValuesBetween(from.demandByRegion, to.demandByRegion, ratio), usableByRegion: computeValuesBetween(from.usableByRegion, to.usableByRegion, ratio) }
}

function computeValuesBetween (from: ReadonlyMap<string, number>, to: ReadonlyMap<string, number>, ratio: number): Map<string, number> {
  return new Map([...to].map(([region, value]) => [region, from.get(region)! * (1 - ratio) + value * ratio]))
}

function scaleToSum (values: ReadonlyMap<string, number>): Map<string, number> {
  const sum = [...values.values()].reduce((total, value) => total + value, 0)
  return new Map([...values].map(([key, value]) => [key, value / sum]))
}
