/**
 * The weights by which this entry VM distributes each client region's requests
 * over failure domains. They follow the agreed plan in steps of at most the
 * configured cap, with a settle time in between. Each entry VM moves at most that
 * share of its own traffic, so the total moves by at most that share as well.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { Emitter } from '@umberspar/base/common/event'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { acceptPlan, createNodeService, hasReachedAgreedPlan, type NodeService, type NodeStepInput, stepNodeService } from '@umberspar/steering/common/plan/nodePlan'
import type { PlanDocument } from '@umberspar/steering/common/plan/planDocument'
import { computeTargetPlan, type Weights } from '@umberspar/steering/common/plan/servicePlan'
import { computeShift } from '@umberspar/steering/common/plan/stepPlan'

const NO_UNAVAILABLE_DOMAINS: ReadonlySet<string> = new Set()

/** A step of one service's weights. */
export interface PlanStep {
  readonly service: string
  /** The largest share of a client region's traffic that this step moved, 0 to 1. */
  readonly shift: number
}

/** A plan version that has come into force at this node. */
export interface ReachedPlan {
  readonly service: string
  readonly version: number
}

/** Returns the known failures and measurements that a step of a service is based on. */
export type PlanConditions = (service: string) => Pick<NodeStepInput, 'failedUntil' | 'utilization' | 'measurements'>

/** Follows the agreed plans and holds the weights in force at this node. */
export class PlanFollower implements IClosable {
  private readonly services = new Map<string, NodeService>()
  /** The newest known plan of each service, also of services that aren't configured yet. */
  private readonly agreedPlans = new Map<string, PlanDocument>()
  /** Weights in force at a peer, which services start with at this node. */
  private readonly initialWeights = new Map<string, Weights>()
  private readonly didStep = new Emitter<PlanStep>()
  private readonly didReach = new Emitter<ReachedPlan>()
  private readonly didAccept = new Emitter<PlanDocument>()
  private configuration: SteeringConfiguration | undefined
  private conditions: PlanConditions | undefined
  private timer: ITimer | undefined

  /** Fires after weights have changed. */
  readonly onDidStep = this.didStep.event
  /** Fires after a plan version has come into force. */
  readonly onDidReach = this.didReach.event
  /** Fires after a higher version of an agreed plan was accepted. */
  readonly onDidAccept = this.didAccept.event

  constructor (private readonly clock: IClock) {}

  /**
   * @param service a service's name
   * @param clientRegion the caller's region
   * @returns weights by failure domain; empty if no domain can serve the region
   */
  getWeights (service: string, clientRegion: string): Readonly<Record<string, number>> {
    return this.services.get(service)?.inForce[clientRegion] ?? {}
  }

  /**
   * @param service a service's name
   * @returns the weights in force, their agreed version and the agreed plan
   */
  find (service: string): NodeService | undefined {
    return this.services.get(service)
  }

  /**
   * @param service a service's name
   * @returns the newest agreed plan known to this node
   */
  findAgreedPlan (service: string): PlanDocument | undefined {
    return this.agreedPlans.get(service)
  }

  /** @returns services with weights in force */
  listServices (): string[] {
    return [...this.services.keys()]
  }

  /** @returns the newest agreed plans */
  listAgreedPlans (): PlanDocument[] {
    return [...this.agreedPlans.values()]
  }

  /**
   * @param service a service's name
   * @param failureDomain a failure domain's name
   * @returns the mean weight of the failure domain over all client regions
   */
  computeMeanWeight (service: string, failureDomain: string): number {
    const regions = Object.values(this.services.get(service)?.inForce ?? {})
    if (regions.length === 0) return 0
    return regions.reduce((sum, weights) => sum + (weights[failureDomain] ?? 0), 0) / regions.length
  }

  /** @returns whether every service's weights are those of the agreed plan */
  get isSettled (): boolean {
    return [...this.services.values()].every(hasReachedAgreedPlan)
  }

  /** @param conditions returns the failures and measurements for steps */
  setConditions (conditions: PlanConditions): void {
    this.conditions = conditions
  }

  /**
   * Applies a configuration. A service that is new to this node starts with a
   * peer's weights, else those of the agreed plan, else by distance. A restarted
   * node thus uses the same weights as the others and causes no uncapped shift.
   * @param configuration the configuration in force
   */
  update (configuration: SteeringConfiguration): void {
    this.configuration = configuration
    for (const service of [...this.services.keys()]) {
      if (configuration.services[service] === undefined) this.services.delete(service)
    }
    for (const service of Object.keys(configuration.services)) {
      if (!this.services.has(service)) this.services.set(service, this.createService(configuration, service))
    }
    this.step()
  }

  /**
   * Accepts an agreed plan from the store or a peer.
   * @param document the plan; ignored unless it is newer than the known one
   * @returns whether it was newer
   */
  accept (document: PlanDocument): boolean {
    const current = this.agreedPlans.get(document.service)
    if (current !== undefined && current.version >= document.version) return false
    this.agreedPlans.set(document.service, document)
    const state = this.services.get(document.service)
    if (state !== undefined) this.services.set(document.service, acceptPlan(state, document, this.clock.now()))
    this.step()
    this.didAccept.fire(document)
    return true
  }

  /**
   * Sets the weights that a service starts with; ignored once this node has its own.
   * @param service a service's name
   * @param weights the weights in force at a peer
   */
  setInitialWeights (service: string, weights: Weights): void {
    if (!this.services.has(service)) this.initialWeights.set(service, weights)
  }

  /** Makes the steps that are due now. */
  step (): void {
    this.timer?.close()
    this.timer = undefined
    const configuration = this.configuration
    if (configuration === undefined) return
    for (const service of this.services.keys()) this.stepService(configuration, service)
    this.scheduleNext(configuration)
  }

  close (): void {
    this.timer?.close()
    this.didStep.close()
    this.didReach.close()
    this.didAccept.close()
  }

  private createService (configuration: SteeringConfiguration, service: string): NodeService {
    const agreedPlan = this.agreedPlans.get(service)
    const initialWeights = this.initialWeights.get(service)
    this.initialWeights.delete(service)
    const weightsByDistance = computeTargetPlan(configuration, service, NO_UNAVAILABLE_DOMAINS).weights
    return createNodeService(initialWeights ?? agreedPlan?.weights ?? weightsByDistance, agreedPlan, this.clock.now())
  }

  private stepService (configuration: SteeringConfiguration, service: string): void {
    const state = this.services.get(service)
    const conditions = this.conditions?.(service)
    if (state === undefined || conditions === undefined) return
    const next = stepNodeService(state, { service, configuration, ...conditions }, this.clock.now())
    this.services.set(service, next)
    const shift = computeShift(state.inForce, next.inForce)
    if (shift > 0) this.didStep.fire({ service, shift })
    if (next.inForceVersion !== state.inForceVersion) this.didReach.fire({ service, version: next.inForceVersion })
  }

  private scheduleNext (configuration: SteeringConfiguration): void {
    const unsettled = [...this.services.values()].filter((state) => !hasReachedAgreedPlan(state))
    if (unsettled.length === 0) return
    const { settleMs } = configuration.shiftCaps
    const now = this.clock.now()
    const stepTimes = unsettled.map((state) => createDeadline(Math.max(state.steppedAt, now - settleMs), settleMs))
    // A service whose step is overdue waits for another condition than time; it is checked again after the settle time.
    const at = Math.min(...stepTimes.map((stepAt) => stepAt > now ? stepAt : createDeadline(now, settleMs)))
    this.timer = this.clock.schedule(at, () => this.step())
  }
}
