/**
 * Simulates planners, nodes and a store with a lease holder's key, driven by random
 * operations: messages are delayed, lease holders are paused, responses are lost and
 * measurements are old. Every operation asserts the invariants of the plan.
 */
import assert from 'node:assert/strict'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import type { NodeMeasurement } from '../../../src/common/plan/measurements.js'
import { addMeasurement, NO_MEASUREMENTS, setMembers } from '../../../src/common/plan/measurements.js'
import { acceptPlan, createNodeService, type NodeService, stepNodeService } from '../../../src/common/plan/nodePlan.js'
import { updateFailures } from '../../../src/common/plan/placeFailures.js'
import type { PlanDocument } from '../../../src/common/plan/planDocument.js'
import { stepPlanner } from '../../../src/common/plan/planner.js'
import { INITIAL_PLANNER_STATE, type PlannerEffect, PlannerEffectKind, type PlannerEvent, PlannerEventKind, type PlannerState } from '../../../src/common/plan/plannerState.js'
import { computeTargetPlan } from '../../../src/common/plan/servicePlan.js'
import { computeShift } from '../../../src/common/plan/stepPlan.js'
import { buildDrained, DOMAINS, EPSILON, REGIONS, SERVICE } from './planArbitraries.js'

/** A write that has not reached the store. */
interface WriteInFlight {
  readonly planner: number
  readonly holderToken: number
  readonly document: PlanDocument
  readonly sentAt: number
}

/** One node and its state of the service. */
interface ClusterNode {
  service: NodeService
  readonly nodeId: string
}

export const PLANNER_COUNT = 2
export const NODE_COUNT = 3
const LEASE_DURATION_MS = 5000

/** The simulated cluster. All members share one clock, because only relative ages are sent on the wire. */
export class PlanCluster {
  now = 0
  /** Set in tests of steps that are not based on measurements; the check that measurements are fresh is then left out. */
  areMeasurementsIgnored = false
  configuration: SteeringConfiguration
  demand: Record<string, number>
  readonly storedPlans: PlanDocument[] = []
  readonly storedAt: number[] = []
  readonly refused: PlanDocument[] = []
  readonly planners: PlannerState[]
  readonly nodes: ClusterNode[]
  readonly writes: WriteInFlight[] = []
  readonly delayedMeasurements: NodeMeasurement[] = []
  private configurationVersion = 1
  private epoch = 0
  private holderToken = 0
  private readonly tokenByPlanner: number[] = []
  private failed: string | undefined

  constructor (configuration: SteeringConfiguration, demand: Record<string, number>) {
    this.configuration = configuration
    this.demand = demand
    const members = Array.from({ length: NODE_COUNT }, (_, index) => ({ nodeId: `n${index}`, isLive: true }))
    this.planners = Array.from({ length: PLANNER_COUNT }, () => INITIAL_PLANNER_STATE)
    const weights = computeTargetPlan(configuration, SERVICE, new Set()).weights
    this.nodes = members.map(({ nodeId }) => ({ nodeId, service: createNodeService(weights, undefined, 0) }))
    this.planners.forEach((_, index) => {
      this.apply(index, { kind: PlannerEventKind.Members, members })
      this.applyConfiguration(index)
    })
  }

  get newest (): PlanDocument | undefined {
    return this.storedPlans.at(-1)
  }

  addTime (spanMs: number): void {
    this.now += spanMs
  }

  runTick (planner: number): void {
    this.apply(planner, { kind: PlannerEventKind.Tick })
  }

  /** The store grants the lease to a planner; the previous lease holder is not notified. */
  acquireLease (planner: number): void {
    this.epoch += 1
    this.holderToken += 1
    this.tokenByPlanner[planner] = this.holderToken
    this.writes.splice(0, this.writes.length, ...this.writes.filter((write) => write.planner !== planner))
    const documents = this.newest === undefined ? [] : [this.newest]
    this.apply(planner, { kind: PlannerEventKind.LeaseGained, epoch: this.epoch, deadline: this.now + LEASE_DURATION_MS, documents, wallOffsetMs: planner * 1000 })
  }

  /** The lease holder renews its lease; a planner that lost its key learns that it did. */
  renewLease (planner: number): void {
    if (this.tokenByPlanner[planner] === undefined) return
    if (this.tokenByPlanner[planner] === this.holderToken) this.apply(planner, { kind: PlannerEventKind.LeaseRenewed, deadline: this.now + LEASE_DURATION_MS })
    else this.apply(planner, { kind: PlannerEventKind.LeaseLost })
  }

  /** A write reaches the store, in any order and after any delay. */
  deliverWrite (index: number, isAnswerLost: boolean): void {
    const [write] = this.writes.splice(index % Math.max(1, this.writes.length), 1)
    if (write === undefined) return
    const isHolder = write.holderToken === this.holderToken
    const isNext = write.document.version === (this.newest?.version ?? 0) + 1
    const isApplied = isHolder && isNext
    if (isApplied) this.savePlan(write)
    else this.refused.push(write.document)
    const { service } = write.document
    if (isApplied && !isAnswerLost) this.apply(write.planner, { kind: PlannerEventKind.PlanSeen, document: write.document })
    else this.apply(write.planner, { kind: PlannerEventKind.WriteFailed, service })
  }

  /** A plan reaches a node: the latest one, or a repeated older one. */
  deliverPlan (node: number, versionsBack: number): void {
    const document = this.storedPlans.at(-1 - versionsBack)
    const target = this.nodes[node]
    if (document === undefined || target === undefined) return
    const before = target.service.agreed?.version ?? 0
    target.service = acceptPlan(target.service, document, this.now)
    assert.ok((target.service.agreed?.version ?? 0) >= before, 'a node accepted an older plan')
  }

  stepNode (node: number): void {
    const target = this.nodes[node]
    if (target === undefined) return
    const before = target.service
    const members = this.nodes.map(({ nodeId }) => ({ nodeId, isLive: true }))
    const measurements = this.nodes.reduce((state, _, index) => addMeasurement(state, this.measure(index)), setMembers(NO_MEASUREMENTS, members))
    const failedUntil = updateFailures(new Map(), this.listPlaces(), this.now)
    target.service = stepNodeService(before, { service: SERVICE, configuration: this.configuration, failedUntil, utilization: {}, measurements }, this.now)
    const shift = computeShift(before.inForce, target.service.inForce)
    if (shift <= EPSILON) return
    const { planned, emergency, settleMs } = this.configuration.shiftCaps
    assert.ok(shift <= Math.max(planned, emergency) + EPSILON, `a node moved ${shift}, which is above both caps`)
    if (this.failed === undefined && target.service.agreed?.isEmergency === false) assert.ok(shift <= planned + EPSILON, `a node moved ${shift}, which is above the planned cap`)
    assert.ok(this.now - before.steppedAt >= settleMs, 'a node took two steps within the settle time')
  }

  /** A node takes a measurement; it arrives when {@link PlanCluster.deliverMeasurement} selects it. */
  sendMeasurement (node: number): void {
    this.delayedMeasurements.push(this.measure(node))
  }

  deliverMeasurement (index: number, planner: number): void {
    const measurement = this.delayedMeasurements[index % Math.max(1, this.delayedMeasurements.length)]
    if (measurement !== undefined) this.apply(planner, { kind: PlannerEventKind.Measured, measurement })
  }

  setDrains (domains: readonly string[]): void {
    this.configuration = buildDrained(this.configuration, domains)
    this.configurationVersion += 1
    this.planners.forEach((_, index) => this.applyConfiguration(index))
  }

  setFailed (domain: string | undefined): void {
    this.failed = domain
    this.planners.forEach((_, index) => this.apply(index, { kind: PlannerEventKind.Places, places: this.listPlaces() }))
  }

  setStoreAvailable (planner: number, isUp: boolean): void {
    this.apply(planner, { kind: isUp ? PlannerEventKind.StoreUp : PlannerEventKind.StoreDown })
  }

  /** Runs the cluster without faults: all messages arrive, and planner 0 renews its lease. */
  runWithoutFaults (spanMs: number, stepMs = 100): void {
    const until = this.now + spanMs
    while (this.now < until) {
      this.now += stepMs
      this.renewLease(0)
      this.runTick(0)
      while (this.writes.length > 0) this.deliverWrite(0, false)
      this.nodes.forEach((_, index) => {
        this.deliverPlan(index, 0)
        this.stepNode(index)
        this.apply(0, { kind: PlannerEventKind.Measured, measurement: this.measure(index) })
      })
    }
  }

  private measure (node: number): NodeMeasurement {
    const target = this.nodes[node]
    const demand = Object.fromEntries(REGIONS.map((region) => [region, (this.demand[region] ?? 0) / NODE_COUNT]))
    return { nodeId: `n${node}`, measuredAt: this.now, inForce: { [SERVICE]: target?.service.inForceVersion ?? 0 }, demand: { [SERVICE]: demand } }
  }

  private listPlaces (): Array<{ service: string, failureDomain: string, isFailed: boolean, utilization: number | undefined }> {
    return DOMAINS.map((failureDomain) => ({ service: SERVICE, failureDomain, isFailed: failureDomain === this.failed, utilization: undefined }))
  }

  private applyConfiguration (planner: number): void {
    this.apply(planner, { kind: PlannerEventKind.Configuration, version: this.configurationVersion, body: this.configuration })
  }

  private apply (planner: number, event: PlannerEvent): void {
    const before = this.planners[planner] ?? INITIAL_PLANNER_STATE
    const { state, effects } = stepPlanner(before, event, this.now)
    this.planners[planner] = state
    for (const effect of effects) this.handleEffect(planner, before, effect)
  }

  private handleEffect (planner: number, before: PlannerState, effect: PlannerEffect): void {
    if (effect.kind === PlannerEffectKind.WritePlan) {
      this.assertFreshMeasurements(before, effect.document)
      this.writes.push({ planner, holderToken: this.tokenByPlanner[planner] ?? 0, document: effect.document, sentAt: this.now })
    }
    if (effect.kind === PlannerEffectKind.ReadPlan && this.newest !== undefined) {
      this.apply(planner, { kind: PlannerEventKind.PlanSeen, document: this.newest })
    }
  }

  /** Asserts that a step is based on measurements that every node took after the previous step, with that step in force. */
  private assertFreshMeasurements (before: PlannerState, document: PlanDocument): void {
    if (document.version === 1) return
    const previousAt = this.storedAt[document.version - 2]
    assert.ok(previousAt !== undefined, 'a step that follows a version which is not in the store')
    assert.ok(before.lease !== undefined && before.lease.deadline > this.now, 'a step without a lease')
    assert.ok(before.isStoreUp, 'a step while the store is unavailable')
    if (this.areMeasurementsIgnored) return
    for (const { nodeId } of this.nodes) {
      const known = before.measurements.byNode.get(nodeId)
      assert.ok(known !== undefined && known.measuredAt > previousAt, `a step based on old measurements of ${nodeId}`)
      assert.ok((known.inForce[SERVICE] ?? 0) >= document.version - 1, `a step before the previous one was in force at ${nodeId}`)
    }
  }

  private savePlan ({ document }: WriteInFlight): void {
    const previous = this.newest
    if (previous !== undefined) {
      const { planned, emergency } = this.configuration.shiftCaps
      const cap = document.isEmergency ? emergency : planned
      assert.ok(computeShift(previous.weights, document.weights) <= cap + EPSILON, 'a stored step exceeds the cap')
      assert.ok(document.epoch >= previous.epoch, 'a version with an older epoch than the previous one')
    }
    this.storedPlans.push(document)
    this.storedAt.push(this.now)
  }
}
