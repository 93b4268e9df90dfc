/**
 * The weights that one node uses. The node follows the agreed plan in steps of at
 * most the configured cap, so that it doesn't jump after missing versions or after
 * moving its traffic on its own. While the agreed plan is stalled, it moves its own
 * traffic away from failed places.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computeDemand, hasFreshMeasurements, type MeasurementState } from './measurements.js'
import { listFailedDomains, listFailingDomains } from './placeFailures.js'
import type { PlanDocument } from './planDocument.js'
import { stepRegionWithinBounds } from './regionStep.js'
import type { DomainWeights, Weights } from './servicePlan.js'
import { decideServiceStep, StepVerdict } from './serviceStep.js'
import { computeShift } from './stepPlan.js'

/**
 * A plan with weight on a failed place is stalled if no new version has arrived for
 * this long, which is longer than the lease takes to pass to another node.
 */
export const PLAN_STALL_TIMEOUT_MS = 8000
/** Shifts up to this count as none, to absorb rounding errors. */
const MAX_SETTLED_SHIFT_RATIO = 1e-9

/** The state of one service at this node. */
export interface NodeService {
  /** The latest agreed plan that this node has received. */
  readonly agreed: PlanDocument | undefined
  readonly agreedSeenAt: Instant
  /** The weights that this node uses. */
  readonly inForce: Weights
  /** The version of the agreed plan that this node has reached; 0 before the first. */
  readonly inForceVersion: number
  /** When this node took its last step; the next one waits for the settle time. */
  readonly steppedAt: Instant
  /** Whether this node has moved its traffic away from a failed place on its own. */
  readonly isAway: boolean
}

/** The input of a step of this node. */
export interface NodeStepInput {
  readonly service: string
  readonly configuration: SteeringConfiguration
  readonly failedUntil: ReadonlyMap<string, Deadline>
  readonly utilization: Readonly<Record<string, number>>
  readonly measurements: MeasurementState
}

/**
 * @param weights the initial weights at this node: from the agreed plan, from a peer, or by distance
 * @param agreed the agreed plan, if known
 * @param now the current time
 * @returns the service's initial state
 */
export function createNodeService (weights: Weights, agreed: PlanDocument | undefined, now: Instant): NodeService {
  return { agreed, agreedSeenAt: now, inForce: weights, inForceVersion: 0, steppedAt: -Infinity, isAway: false }
}

/**
 * @param state the state of the service at this node
 * @param document an agreed plan from the store or a peer
 * @param now the current time
 * @returns the state with the plan; unchanged unless the plan's version is higher
 */
export function acceptPlan (state: NodeService, document: PlanDocument, now: Instant): NodeService {
  if (state.agreed !== undefined && state.agreed.version >= document.version) return state
  return { ...state, agreed: document, agreedSeenAt: now }
}

/**
 * @param state the state of the service at this node
 * @param input configuration, failures and measurements
 * @param now the current time
 * @returns the state after at most one step
 */
export function stepNodeService (state: NodeService, input: NodeStepInput, now: Instant): NodeService {
  const { settleMs } = input.configuration.shiftCaps
  if (!hasPassed(createDeadline(state.steppedAt, settleMs), now)) return state
  const failed = listFailedDomains(input.failedUntil, input.service, now)
  const { agreed } = state
  const isAgreedPlanOnFailed = agreed === undefined || hasWeightOn(agreed.weights, failed)
  // The node leaves only places that are failing now. The recovery delay keeps it from
  // returning too early, but is no reason to leave: a place that failed briefly would
  // otherwise be left seconds after it became healthy again, and the next drain would
  // have to wait until this node has returned in capped steps.
  const failing = listFailingDomains(input.failedUntil, input.service)
  const isAgreedPlanOnFailing = failing.size > 0 && (agreed === undefined || hasWeightOn(agreed.weights, failing))
  if (isAgreedPlanOnFailing && isPlanStalled(state, now)) return stepAwayFromFailed(state, input, failed, now)
  if (agreed === undefined) return state
  // The agreed plan still has weight on the failed place, so following it would send
  // requests there again. The version counts as reached, because this node has already
  // moved further; otherwise the planner would wait for this node forever.
  if (isAgreedPlanOnFailed && state.isAway) return { ...state, inForceVersion: agreed.version }
  return stepTowardAgreedPlan(state, agreed, input, failed, now)
}

function hasWeightOn (weights: Weights, domains: ReadonlySet<string>): boolean {
  return Object.values(weights).some((region) => Object.entries(region).some(([domain, weight]) => weight > 0 && domains.has(domain)))
}

function isPlanStalled (state: NodeService, now: Instant): boolean {
  return hasPassed(createDeadline(state.agreedSeenAt, PLAN_STALL_TIMEOUT_MS), now)
}

function stepTowardAgreedPlan (state: NodeService, agreed: PlanDocument, input: NodeStepInput, failed: ReadonlySet<string>, now: Instant): NodeService {
  const { planned, emergency } = input.configuration.shiftCaps
  const maxShift = agreed.isEmergency || hasWeightOn(state.inForce, failed) ? emergency : planned
  const weights: Record<string, DomainWeights> = {}
  for (const [clientRegion, targetWeights] of Object.entries(agreed.weights)) {
    const currentWeights = state.inForce[clientRegion]
    const bounds = { maxShift, urgent: failed, getMaxGain: () => Infinity }
    weights[clientRegion] = currentWeights === undefined ? targetWeights : stepRegionWithinBounds(currentWeights, targetWeights, bounds)
  }
  const shift = computeShift(state.inForce, weights)
  const hasArrived = computeShift(weights, agreed.weights) <= MAX_SETTLED_SHIFT_RATIO
  return {
    ...state,
    inForce: weights,
    inForceVersion: hasArrived ? agreed.version : state.inForceVersion,
    steppedAt: shift > MAX_SETTLED_SHIFT_RATIO ? now : state.steppedAt,
    isAway: state.isAway && !hasArrived
  }
}

function stepAwayFromFailed (state: NodeService, input: NodeStepInput, failed: ReadonlySet<string>, now: Instant): NodeService {
  const { service, configuration, measurements, utilization } = input
  const notBefore = Math.max(state.steppedAt, now - configuration.shiftCaps.staleAfterMs)
  // Any plan version is accepted here, because each node leaves the failed place on its own.
  if (!hasFreshMeasurements(measurements, { service, version: 0, notBefore })) return state
  const step = decideServiceStep({
    configuration, service, current: state.inForce, demand: computeDemand(measurements, service), otherLinkLoads: {}, failed, warmingForMs: {}, utilization, isMoving: false
  })
  if (step.verdict !== StepVerdict.Moves || !step.isEmergency) return state
  return { ...state, inForce: step.weights, steppedAt: now, isAway: true }
}

/**
 * @param state the state of the service at this node
 * @returns whether the agreed plan is in force at this node; true without an agreed plan
 */
export function hasReachedAgreedPlan (state: NodeService): boolean {
  return state.agreed === undefined || state.inForceVersion === state.agreed.version
}
