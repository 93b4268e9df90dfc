/**
 * The weights by which this entry VM spreads each client region's requests over
 * failure domains. It follows the agreed plan in steps of at most the operators'
 * cap, with a pause between; since each entry VM moves at most that part of its
 * own traffic, the sum of all moves at most that part as well.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { Emitter } from '@umberspar/base/common/event'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { acceptPlan, createNodeService, isAtPlan, type NodeService, type NodeStepInput, stepNodeService } from '@umberspar/steering/common/plan/nodePlan'
import type { PlanDocument } from '@umberspar/steering/common/plan/planDocument'
import { computeTargetPlan, type Weights } from '@umberspar/steering/common/plan/servicePlan'
import { computeShift } from '@umberspar/steering/common/plan/stepPlan'

const NOTHING_UNAVAILABLE: ReadonlySet<string> = new Set()

/** Which service moved, and by how much. */
export interface PlanStep {
  readonly service: string
  /** The largest part of a client region's traffic that this step moved, 0 to 1. */
  readonly shift: number
}

/** What this node knows of failures and demand when it steps. */
export type PlanConditions = (service: string) => Pick<NodeStepInput, 'failedUntil' | 'utilization' | 'measurements'>

/** Weights in force at this node, by service. */
export class PlanKeeper implements IClosable {
  private readonly services = new Map<string, NodeService>()
  /** Plans that came before the configuration did. */
  private readonly agreed = new Map<string, PlanDocument>()
  /** Weights that a peer uses, for the start of this node. */
  private readonly handedOver = new Map<string, Weights>()
  private readonly didStep = new Emitter<PlanStep>()
  private readonly didAccept = new Emitter<PlanDocument>()
  private configuration: SteeringConfiguration | undefined
  private conditions: PlanConditions | undefined
  private timer: ITimer | undefined

  /** Fires after weights moved. */
  readonly onDidStep = this.didStep.event
  /** Fires after a higher version of an agreed plan was taken in. */
  readonly onDidAccept = this.didAccept.event

  constructor (private readonly clock: IClock) {}

  /**
   * @param service a service's name
   * @param clientRegion where the caller is
   * @returns weights over failure domains; empty if nothing can serve it
   */
  get (service: string, clientRegion: string): Readonly<Record<string, number>> {
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
   * @returns the newest agreed plan known here
   */
  findAgreed (service: string): PlanDocument | undefined {
    return this.agreed.get(service)
  }

  /** @returns services with weights in force */
  listServices (): string[] {
    return [...this.services.keys()]
  }

  /** @returns the newest agreed plans */
  listAgreed (): PlanDocument[] {
    return [...this.agreed.values()]
  }

  /**
   * @param service a service's name
   * @param failureDomain a failure domain's name
   * @returns the mean weight that client regions still have there
   */
  computeWeight (service: string, failureDomain: string): number {
    const regions = Object.values(this.services.get(service)?.inForce ?? {})
    if (regions.length === 0) return 0
    return regions.reduce((sum, weights) => sum + (weights[failureDomain] ?? 0), 0) / regions.length
  }

  /** @returns whether every service's weights are those of the agreed plan */
  get isSettled (): boolean {
    return [...this.services.values()].every(isAtPlan)
  }

  /** @param conditions where failures and demand are read */
  setConditions (conditions: PlanConditions): void {
    this.conditions = conditions
  }

  /**
   * Takes over a configuration. A service that is new here starts with a peer's
   * weights, else the agreed plan, else by distance: a node that restarts then
   * uses the same weights as the others, and its start is no uncapped shift.
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
   * Takes in an agreed plan from the store or a peer.
   * @param document the plan; one that is not newer changes nothing
   * @returns whether it was newer
   */
  accept (document: PlanDocument): boolean {
    const known = this.agreed.get(document.service)
    if (known !== undefined && known.version >= document.version) return false
    this.agreed.set(document.service, document)
    const state = this.services.get(document.service)
    if (state !== undefined) this.services.set(document.service, acceptPlan(state, document, this.clock.now()))
    this.step()
    this.didAccept.fire(document)
    return true
  }

  /**
   * Takes over a peer's weights in force; nothing once this node has its own.
   * @param service a service's name
   * @param weights what the peer uses
   */
  putHandedOver (service: string, weights: Weights): void {
    if (!this.services.has(service)) this.handedOver.set(service, weights)
  }

  /** Takes the steps that are due now. */
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
    this.didAccept.close()
  }

  private createService (configuration: SteeringConfiguration, service: string): NodeService {
    const agreed = this.agreed.get(service)
    const handedOver = this.handedOver.get(service)
    this.handedOver.delete(service)
    const byDistance = computeTargetPlan(configuration, service, NOTHING_UNAVAILABLE).weights
    return createNodeService(handedOver ?? agreed?.weights ?? byDistance, agreed, this.clock.now())
  }

  private stepService (configuration: SteeringConfiguration, service: string): void {
    const state = this.services.get(service)
    const conditions = this.conditions?.(service)
    if (state === undefined || conditions === undefined) return
    const next = stepNodeService(state, { service, configuration, ...conditions }, this.clock.now())
    this.services.set(service, next)
    const shift = computeShift(state.inForce, next.inForce)
    if (shift > 0) this.didStep.fire({ service, shift })
  }

  private scheduleNext (configuration: SteeringConfiguration): void {
    const waiting = [...this.services.values()].filter((state) => !isAtPlan(state))
    if (waiting.length === 0) return
    const { settleMs } = configuration.shiftCaps
    const now = this.clock.now()
    const dues = waiting.map((state) => createDeadline(Math.max(state.steppedAt, now - settleMs), settleMs))
    // A service that waits for something else than time is looked at again after the settle time.
    const at = Math.min(...dues.map((due) => due > now ? due : createDeadline(now, settleMs)))
    this.timer = this.clock.schedule(at, () => this.step())
  }
}
