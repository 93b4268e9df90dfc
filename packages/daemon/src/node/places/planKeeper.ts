/**
 * The weights by which this entry VM spreads each client region's requests over
 * failure domains. It moves them towards the target in steps of at most the
 * operators' cap, with a pause between; since each entry VM moves at most that
 * part of its own traffic, the sum of all moves at most that part as well.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { Emitter } from '@umberspar/base/common/event'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { computeTargetPlan, type Weights } from '@umberspar/steering/common/plan/servicePlan'
import { computeShift, stepToward } from '@umberspar/steering/common/plan/stepPlan'

const NOTHING_UNAVAILABLE: ReadonlySet<string> = new Set()

/** Which service moved, and by how much. */
export interface PlanStep {
  readonly service: string
  /** The largest part of a client region's traffic that this step moved, 0 to 1. */
  readonly shift: number
}

/** Weights in force at this node, by service. */
export class PlanKeeper implements IClosable {
  private readonly weights = new Map<string, Weights>()
  private readonly didStep = new Emitter<PlanStep>()
  private configuration: SteeringConfiguration | undefined
  private timer: ITimer | undefined

  /** Fires after weights moved. */
  readonly onDidStep = this.didStep.event

  constructor (private readonly clock: IClock) {}

  /**
   * @param service a service's name
   * @param clientRegion where the caller is
   * @returns weights over failure domains; empty if nothing can serve it
   */
  get (service: string, clientRegion: string): Readonly<Record<string, number>> {
    return this.weights.get(service)?.[clientRegion] ?? {}
  }

  /**
   * @param service a service's name
   * @param failureDomain a failure domain's name
   * @returns the mean weight that client regions still have there
   */
  computeWeight (service: string, failureDomain: string): number {
    const regions = Object.values(this.weights.get(service) ?? {})
    if (regions.length === 0) return 0
    return regions.reduce((sum, weights) => sum + (weights[failureDomain] ?? 0), 0) / regions.length
  }

  /** @returns whether every service's weights are at their target */
  get isSettled (): boolean {
    return this.timer === undefined
  }

  /**
   * Takes over a configuration: its targets are reached step by step.
   * @param configuration the configuration in force
   */
  update (configuration: SteeringConfiguration): void {
    this.configuration = configuration
    for (const service of [...this.weights.keys()]) {
      if (configuration.services[service] === undefined) this.weights.delete(service)
    }
    this.step()
  }

  close (): void {
    this.timer?.close()
    this.didStep.close()
  }

  private step (): void {
    const configuration = this.configuration
    if (configuration === undefined) return
    if (this.timer !== undefined) return
    let hasMoved = false
    for (const service of Object.keys(configuration.services)) {
      if (this.stepService(configuration, service)) hasMoved = true
    }
    if (!hasMoved) return
    const at = createDeadline(this.clock.now(), configuration.shiftCaps.settleMs)
    this.timer = this.clock.schedule(at, () => {
      this.timer = undefined
      this.step()
    })
  }

  private stepService (configuration: SteeringConfiguration, service: string): boolean {
    const target = computeTargetPlan(configuration, service, NOTHING_UNAVAILABLE).weights
    const current = this.weights.get(service)
    if (current === undefined) {
      this.weights.set(service, target)
      return false
    }
    const next = stepToward(current, target, configuration.shiftCaps.planned)
    const shift = computeShift(current, next)
    this.weights.set(service, next)
    if (shift > 0) this.didStep.fire({ service, shift })
    return shift > 0
  }
}
