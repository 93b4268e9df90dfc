/**
 * The nodes' measurements as the planner uses them: demand by client region and
 * service, the plan version that each node uses, and when they were taken.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Demand } from './servicePlan.js'

/** A node's latest measurement. */
export interface NodeMeasurement {
  readonly nodeId: string
  /** On the planner's clock, computed from the age that is sent on the wire. */
  readonly measuredAt: Instant
  /** The plan version in force at the node, by service. */
  readonly inForce: Readonly<Record<string, number>>
  /** Concurrent requests by service and client region. */
  readonly demand: Readonly<Record<string, Demand>>
}

/** An entry VM on the platform's VM list that isn't leaving. */
export interface PlanMember {
  readonly nodeId: string
  /** Whether it is live: its heartbeats arrive, and no peer suspects it. */
  readonly isLive: boolean
}

/** Measurements by node, and the members whose measurements are expected. */
export interface MeasurementState {
  readonly members: readonly PlanMember[]
  readonly byNode: ReadonlyMap<string, NodeMeasurement>
}

/** The state without members and measurements. */
export const NO_MEASUREMENTS: MeasurementState = { members: [], byNode: new Map() }

/**
 * @param state the measurements so far
 * @param measurement a node's measurement; ignored unless it is newer than the known one
 * @returns the state with the measurement
 */
export function addMeasurement (state: MeasurementState, measurement: NodeMeasurement): MeasurementState {
  const known = state.byNode.get(measurement.nodeId)
  if (known !== undefined && known.measuredAt >= measurement.measuredAt) return state
  return { ...state, byNode: new Map(state.byNode).set(measurement.nodeId, measurement) }
}

/**
 * @param state the measurements so far
 * @param members the current members; measurements of other nodes are removed
 * @returns the state with these members
 */
export function setMembers (state: MeasurementState, members: readonly PlanMember[]): MeasurementState {
  const memberIds = new Set(members.map(({ nodeId }) => nodeId))
  return { members, byNode: new Map([...state.byNode].filter(([nodeId]) => memberIds.has(nodeId))) }
}

/**
 * Sums the demand of all nodes. The last demand of a node that has stopped reporting
 * stays in the sum, so that an old measurement can only make the plan more conservative.
 * @param state the measurements
 * @param service the service
 * @returns concurrent requests by client region
 */
export function computeDemand (state: MeasurementState, service: string): Demand {
  const sum: Record<string, number> = {}
  for (const { demand } of state.byNode.values()) {
    for (const [clientRegion, concurrency] of Object.entries(demand[service] ?? {})) sum[clientRegion] = (sum[clientRegion] ?? 0) + concurrency
  }
  return sum
}

/** What a measurement must satisfy for a step to be based on it. */
export interface MeasurementRequirement {
  readonly service: string
  /** The lowest plan version that must be in force at the node. */
  readonly version: number
  /** The earliest time at which the measurement may have been taken. */
  readonly notBefore: Instant
}

/**
 * Whether every live member has a fresh measurement. The live members must be more
 * than half of all members: a planner that is cut off from its peers would otherwise
 * move traffic based on its own demand alone.
 * @param state the measurements
 * @param requirement what each measurement must satisfy
 * @returns whether a step may be based on them
 */
export function hasFreshMeasurements (state: MeasurementState, requirement: MeasurementRequirement): boolean {
  const liveMembers = state.members.filter((member) => member.isLive)
  if (liveMembers.length * 2 <= state.members.length) return false
  return liveMembers.every(({ nodeId }) => {
    const known = state.byNode.get(nodeId)
    return known !== undefined && known.measuredAt >= requirement.notBefore && (known.inForce[requirement.service] ?? 0) >= requirement.version
  })
}
