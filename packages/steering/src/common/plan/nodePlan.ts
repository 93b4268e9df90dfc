/**
 * The weights one node uses. It follows the agreed plan, itself in steps of at
 * most the operators' cap: a node that missed versions, or comes back from
 * moves of its own, does not jump. While the plan stands still it moves its own
 * traffic away from places that failed.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { computeDemand, isFresh, type MeasurementState } from './measurements.js'
import { listFailed, listFailing } from './placeFailures.js'
import type { PlanDocument } from './planDocument.js'
import { stepRegionWithin } from './regionStep.js'
import type { DomainWeights, Weights } from './servicePlan.js'
import { decideServiceStep, StepVerdict } from './serviceStep.js'
import { computeShift } from './stepPlan.js'

/**
 * The plan counts as standing still when it leaves weight on a failed place and
 * no version has come for so long: longer than a lease takes to change hands.
 */
export const STANDSTILL_SPAN_MS = 8000
const SETTLED_SHIFT = 1e-9

/** One service at this node. */
export interface NodeService {
  readonly agreed: PlanDocument | undefined
  readonly agreedSeenAt: Instant
  readonly inForce: Weights
  /** The agreed version that has been reached; 0 before the first. */
  readonly inForceVersion: number
  /** The own last step; a further one waits for the settle time after it. */
  readonly steppedAt: Instant
  /** It has moved away from a failed place by itself. */
  readonly isAway: boolean
}

/** What a step of this node depends on. */
export interface NodeStepInput {
  readonly service: string
  readonly configuration: SteeringConfiguration
  readonly failedUntil: ReadonlyMap<string, Deadline>
  readonly utilization: Readonly<Record<string, number>>
  readonly measurements: MeasurementState
}

/**
 * @param weights what the service starts with here: from the plan, a peer, or by distance
 * @param agreed the agreed plan, if known
 * @param now the present
 * @returns the service's state
 */
export function createNodeService (weights: Weights, agreed: PlanDocument | undefined, now: Instant): NodeService {
  return { agreed, agreedSeenAt: now, inForce: weights, inForceVersion: 0, steppedAt: -Infinity, isAway: false }
}

/**
 * @param state the service at this node
 * @param document an agreed plan from the store or a peer
 * @param now the present
 * @returns the state with it; a version that is not higher changes nothing
 */
export function acceptPlan (state: NodeService, document: PlanDocument, now: Instant): NodeService {
  if (state.agreed !== undefined && state.agreed.version >= document.version) return state
  return { ...state, agreed: document, agreedSeenAt: now }
}

/**
 * @param state the service at this node
 * @param input configuration, failures and measurements
 * @param now the present
 * @returns the state after at most one step
 */
export function stepNodeService (state: NodeService, input: NodeStepInput, now: Instant): NodeService {
  const { settleMs } = input.configuration.shiftCaps
  if (!hasPassed(createDeadline(state.steppedAt, settleMs), now)) return state
  const failed = listFailed(input.failedUntil, input.service, now)
  const { agreed } = state
  const isBehind = agreed === undefined || hasWeightOn(agreed.weights, failed)
  // Only from a place that fails now: the wait before a recovered place is trusted
  // keeps this node from coming back too early, but is no reason to leave. A place
  // that failed for a moment would else be left seconds after it recovered, and the
  // next drain would wait for the way back.
  const failing = listFailing(input.failedUntil, input.service)
  const isLeftBehind = failing.size > 0 && (agreed === undefined || hasWeightOn(agreed.weights, failing))
  if (isLeftBehind && isStandstill(state, now)) return stepAway(state, input, failed, now)
  if (agreed === undefined) return state
  // The agreed plan still has weight on the failed place: going back to it
  // would send callers there again. The version counts as reached, since this
  // node is ahead of it; otherwise the planner would wait for it for ever.
  if (isBehind && state.isAway) return { ...state, inForceVersion: agreed.version }
  return stepToPlan(state, agreed, input, failed, now)
}

function hasWeightOn (weights: Weights, domains: ReadonlySet<string>): boolean {
  return Object.values(weights).some((region) => Object.entries(region).some(([domain, weight]) => weight > 0 && domains.has(domain)))
}

function isStandstill (state: NodeService, now: Instant): boolean {
  return hasPassed(createDeadline(state.agreedSeenAt, STANDSTILL_SPAN_MS), now)
}

function stepToPlan (state: NodeService, agreed: PlanDocument, input: NodeStepInput, failed: ReadonlySet<string>, now: Instant): NodeService {
  const { planned, emergency } = input.configuration.shiftCaps
  const cap = agreed.isEmergency || hasWeightOn(state.inForce, failed) ? emergency : planned
  const weights: Record<string, DomainWeights> = {}
  for (const [client, wanted] of Object.entries(agreed.weights)) {
    const from = state.inForce[client]
    const bounds = { cap, urgent: failed, getRoom: () => Infinity }
    weights[client] = from === undefined ? wanted : stepRegionWithin(from, wanted, bounds)
  }
  const shift = computeShift(state.inForce, weights)
  const hasArrived = computeShift(weights, agreed.weights) <= SETTLED_SHIFT
  return {
    ...state,
    inForce: weights,
    inForceVersion: hasArrived ? agreed.version : state.inForceVersion,
    steppedAt: shift > SETTLED_SHIFT ? now : state.steppedAt,
    isAway: state.isAway && !hasArrived
  }
}

function stepAway (state: NodeService, input: NodeStepInput, failed: ReadonlySet<string>, now: Instant): NodeService {
  const { service, configuration, measurements, utilization } = input
  const since = Math.max(state.steppedAt, now - configuration.shiftCaps.staleAfterMs)
  // Plan versions do not matter here: each node is away by itself.
  if (!isFresh(measurements, { service, version: 0, since })) return state
  const step = decideServiceStep({
    configuration, service, current: state.inForce, demand: computeDemand(measurements, service), linkUse: {}, failed, warmingForMs: {}, utilization, isMoving: false
  })
  if (step.verdict !== StepVerdict.Moves || !step.isEmergency) return state
  return { ...state, inForce: step.weights, steppedAt: now, isAway: true }
}

/**
 * @param state the service at this node
 * @returns whether the agreed plan is in force here
 */
export function isAtPlan (state: NodeService): boolean {
  return state.agreed === undefined || state.inForceVersion === state.agreed.version
}
