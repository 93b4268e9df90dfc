/**
 * What nodes measured, as the planner sees it: demand by client region and
 * service, the plan versions each node uses, and when all that was so.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Demand } from './servicePlan.js'

/** One node's newest measurement. */
export interface NodeMeasurement {
  readonly nodeId: string
  /** By the planner's clock; the age travels over the wire. */
  readonly measuredAt: Instant
  /** The plan version in force there, by service. */
  readonly inForce: Readonly<Record<string, number>>
  /** Requests at a time by service and client region. */
  readonly demand: Readonly<Record<string, Demand>>
}

/** An entry VM of the platform's list that is not leaving. */
export interface PlanMember {
  readonly nodeId: string
  /** Heard lately. */
  readonly isHeard: boolean
}

/** Measurements by node, and who should measure. */
export interface MeasurementState {
  readonly members: readonly PlanMember[]
  readonly byNode: ReadonlyMap<string, NodeMeasurement>
}

/** Before anything was heard. */
export const NO_MEASUREMENTS: MeasurementState = { members: [], byNode: new Map() }

/**
 * @param state what is known
 * @param measurement a node's measurement; an older one than known changes nothing
 * @returns the state with it
 */
export function addMeasurement (state: MeasurementState, measurement: NodeMeasurement): MeasurementState {
  const known = state.byNode.get(measurement.nodeId)
  if (known !== undefined && known.measuredAt >= measurement.measuredAt) return state
  return { ...state, byNode: new Map(state.byNode).set(measurement.nodeId, measurement) }
}

/**
 * @param state what is known
 * @param members who is listed now; measurements of others are forgotten
 * @returns the state with them
 */
export function setMembers (state: MeasurementState, members: readonly PlanMember[]): MeasurementState {
  const listed = new Set(members.map(({ nodeId }) => nodeId))
  return { members, byNode: new Map([...state.byNode].filter(([nodeId]) => listed.has(nodeId))) }
}

/**
 * Sums the demand. A node that is silent keeps its last demand in the sum: an
 * old measurement may make the plan more careful, never bolder.
 * @param state what is known
 * @param service the service
 * @returns requests at a time by client region
 */
export function computeDemand (state: MeasurementState, service: string): Demand {
  const sum: Record<string, number> = {}
  for (const { demand } of state.byNode.values()) {
    for (const [client, concurrency] of Object.entries(demand[service] ?? {})) sum[client] = (sum[client] ?? 0) + concurrency
  }
  return sum
}

/** What a measurement must satisfy to allow a step. */
export interface Freshness {
  readonly service: string
  /** The plan version that must be in force where it was measured. */
  readonly version: number
  /** It must not have been taken before this. */
  readonly since: Instant
}

/**
 * Whether the nodes that matter have measured. These are all that were heard
 * lately, and they must be more than half of those listed: a planner cut off
 * from its peers would otherwise move traffic by what it alone carries.
 * @param state what is known
 * @param wanted what each measurement must satisfy
 * @returns whether a step may be based on them
 */
export function isFresh (state: MeasurementState, wanted: Freshness): boolean {
  const heard = state.members.filter((member) => member.isHeard)
  if (heard.length * 2 <= state.members.length) return false
  return heard.every(({ nodeId }) => {
    const known = state.byNode.get(nodeId)
    return known !== undefined && known.measuredAt >= wanted.since && (known.inForce[wanted.service] ?? 0) >= wanted.version
  })
}
