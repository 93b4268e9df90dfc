/**
 * The placement of one service's requests by measured demand, as one entry VM follows it: the demand
 * in force, and the demand and capacity by region that operators see.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { DemandSteps, type DivisionFunction, type PlacementStep } from './demandSteps.js'
import { buildDivision, type RegionDemand, type WorkerCapacity } from './workerShares.js'

/** Limit on the sets of home regions for which steps are limited; each set is of a route or account. */
const MAX_HOME_SETS = 32

/** A worker that may get requests, and what it can serve now. */
export interface PlacedWorker extends WorkerCapacity {
  /** Whether it asked this VM for no requests for a while. */
  readonly isPaused: boolean
  /** Whether it is in its cold start, and so limited to a few requests per second. */
  readonly isCold: boolean
}

/** What the placement is decided from. */
export interface PlacementInput {
  /** Requests per second by region; undefined if unknown. */
  readonly perSecondByRegion: ReadonlyMap<string, number> | undefined
  /** Limit on the requests per second of a worker in its cold start. */
  readonly coldPerSecond: number
  /** The number of objects in use at this VM. */
  readonly objectCount: number
  /**
   * @param homeRegions the only regions that may serve requests; empty if all may
   * @returns the workers that may get the requests
   */
  listWorkers(homeRegions: readonly string[]): readonly PlacedWorker[]
}

/** The demand and capacity that the placement was last decided from. */
export interface PlacementState {
  /** Requests per second by region; undefined if unknown. */
  readonly perSecondByRegion: ReadonlyMap<string, number> | undefined
  /** Slots by region that can be used now. */
  readonly usableSlotsByRegion: ReadonlyMap<string, number>
  /** The change of the placement; undefined if there was none. */
  readonly step: PlacementStep | undefined
  /** Estimated number of objects in use at this VM that the change moved to workers of another region. */
  readonly movedObjects: number
}

/** The placement of one service. */
export class DemandPlacement {
  private readonly steps: DemandSteps
  private readonly homeSets = new Map<string, readonly string[]>([['', []]])
  /** Undefined before the first update. */
  state: PlacementState | undefined

  /**
   * @param maxShift the part of a region's requests that may move to other regions within two seconds
   * @param domain this VM's failure domain
   * @param regionByDomain all failure domains with their regions
   */
  constructor (maxShift: number, domain: string, private readonly regionByDomain: ReadonlyMap<string, string>) {
    this.steps = new DemandSteps(maxShift, regionByDomain.get(domain) ?? '', regionByDomain)
  }

  /** @returns the demand in force; undefined if it is equal in all domains */
  get demand (): RegionDemand | undefined {
    return this.steps.demand
  }

  /** @param homeRegions a set of home regions for which shares were computed */
  addHomeRegions (homeRegions: readonly string[]): void {
    if (this.homeSets.size < MAX_HOME_SETS) this.homeSets.set(homeRegions.join(' '), homeRegions)
  }

  /**
   * @param input what the placement is decided from
   * @param now the current time
   * @returns whether the demand in force has changed
   */
  update (input: PlacementInput, now: Instant): boolean {
    const { perSecondByRegion } = input
    const workers = input.listWorkers([])
    const slotsByRegion = this.addByRegion(workers, ({ slots }) => slots)
    const usableSlotsByRegion = this.addUsableSlots(workers, input)
    const usableByRegion = new Map([...slotsByRegion].map(([region, slots]) => [region, slots === 0 ? 1 : usableSlotsByRegion.get(region)! / slots]))
    const measured = perSecondByRegion === undefined ? undefined : { demandByRegion: perSecondByRegion, usableByRegion }
    const buildDivisions = (): DivisionFunction[] => [...this.homeSets.values()].map((homeRegions) => buildDivision(input.listWorkers(homeRegions), this.regionByDomain))
    const step = this.steps.step(measured, buildDivisions, now)
    this.state = { perSecondByRegion, usableSlotsByRegion, step, movedObjects: Math.round((step?.movedRatio ?? 0) * input.objectCount) }
    return step !== undefined
  }

  private addUsableSlots (workers: readonly PlacedWorker[], { perSecondByRegion, coldPerSecond }: PlacementInput): Map<string, number> {
    const totalPerSecond = [...perSecondByRegion?.values() ?? []].reduce((sum, perSecond) => sum + perSecond, 0)
    const totalSlots = workers.reduce((sum, { slots }) => sum + slots, 0)
    const perSecondPerSlot = totalSlots === 0 ? 0 : totalPerSecond / totalSlots
    return this.addByRegion(workers, ({ slots, isPaused, isCold }) => {
      if (isPaused) return 0
      // A cold worker serves its limit at most, of the requests that would be its even share.
      return isCold && perSecondPerSlot > 0 ? Math.min(slots, coldPerSecond / perSecondPerSlot) : slots
    })
  }

  private addByRegion (workers: readonly PlacedWorker[], getSlots: (worker: PlacedWorker) => number): Map<string, number> {
    const sums = new Map([...this.regionByDomain.values()].map((region) => [region, 0]))
    for (const worker of workers) {
      const region = this.regionByDomain.get(worker.domain)
      if (region !== undefined) sums.set(region, sums.get(region)! + getSlots(worker))
    }
    return sums
  }
}
