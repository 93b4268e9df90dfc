/** State, events and effects of the planner. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import type { MeasurementState, NodeMeasurement, PlanMember } from './measurements.js'
import { NO_MEASUREMENTS } from './measurements.js'
import type { PlanDocument } from './planDocument.js'
import type { StepVerdict } from './serviceStep.js'

/** Kinds of events that the planner handles. */
export enum PlannerEventKind {
  Configuration = 'configuration',
  Members = 'members',
  Measured = 'measured',
  Places = 'places',
  LeaseGained = 'lease-gained',
  LeaseRenewed = 'lease-renewed',
  LeaseLost = 'lease-lost',
  /** A plan was read from the store, or a write of one was confirmed. */
  PlanSeen = 'plan-seen',
  /** A write was rejected or its response lost. */
  WriteFailed = 'write-failed',
  StoreDown = 'store-down',
  StoreUp = 'store-up',
  Tick = 'tick'
}

/** The recently observed condition of one place. */
export interface PlaceObservation {
  readonly service: string
  readonly failureDomain: string
  /** Whether no worker can accept a request. */
  readonly isFailed: boolean
  /** Mean utilization of the workers; undefined without a recent measurement. */
  readonly utilization: number | undefined
}

/** An event of the planner. */
export type PlannerEvent =
  | { readonly kind: PlannerEventKind.Configuration, readonly version: number, readonly body: SteeringConfiguration }
  | { readonly kind: PlannerEventKind.Members, readonly members: readonly PlanMember[] }
  | { readonly kind: PlannerEventKind.Measured, readonly measurement: NodeMeasurement }
  | { readonly kind: PlannerEventKind.Places, readonly places: readonly PlaceObservation[] }
  | { readonly kind: PlannerEventKind.LeaseGained, readonly epoch: number, readonly deadline: Deadline, readonly documents: readonly PlanDocument[], readonly wallOffsetMs: number }
  | { readonly kind: PlannerEventKind.LeaseRenewed, readonly deadline: Deadline }
  | { readonly kind: PlannerEventKind.LeaseLost }
  | { readonly kind: PlannerEventKind.PlanSeen, readonly document: PlanDocument }
  | { readonly kind: PlannerEventKind.WriteFailed, readonly service: string }
  | { readonly kind: PlannerEventKind.StoreDown }
  | { readonly kind: PlannerEventKind.StoreUp }
  | { readonly kind: PlannerEventKind.Tick }

/** Kinds of effects that the planner asks its caller to carry out. */
export enum PlannerEffectKind {
  WritePlan = 'write-plan',
  ReadPlan = 'read-plan',
  /** Ask peers for measurements without waiting for their next heartbeats. */
  AskForMeasurements = 'measure'
}

/** An effect of the planner. */
export type PlannerEffect =
  | { readonly kind: PlannerEffectKind.WritePlan, readonly document: PlanDocument }
  | { readonly kind: PlannerEffectKind.ReadPlan, readonly service: string }
  | { readonly kind: PlannerEffectKind.AskForMeasurements }

/** The lease that permits this node to write plans. */
export interface PlannerLease {
  readonly epoch: number
  readonly deadline: Deadline
}

/** One service's latest known plan and the progress of its move. */
export interface KnownPlan {
  readonly document: PlanDocument
  /** When this node learned of the version, which is never before it was written. */
  readonly seenAt: Instant
  /** When places that are still warming up received their first traffic, by failure domain. */
  readonly warmingSince: Readonly<Record<string, Instant>>
  readonly isMoving: boolean
  readonly verdict: StepVerdict | undefined
  /** When a settled service is checked again; a change of the configuration triggers an earlier check. */
  readonly recheckAt: Deadline
  /** The version of the configuration at the last check; 0 before the first. */
  readonly checkedConfigurationVersion: number
}

/** A step whose write is in flight, or whose outcome is being read from the store. */
export interface PendingWrite {
  readonly document: PlanDocument
}

/** The planner's whole state. */
export interface PlannerState {
  readonly configuration: { readonly version: number, readonly body: SteeringConfiguration } | undefined
  readonly measurements: MeasurementState
  readonly lease: PlannerLease | undefined
  readonly isStoreUp: boolean
  readonly plans: ReadonlyMap<string, KnownPlan>
  readonly pending: ReadonlyMap<string, PendingWrite>
  /** When a failed place counts as recovered, by `service/failureDomain`; Infinity while it is failing. */
  readonly failedUntil: ReadonlyMap<string, Deadline>
  /** Mean utilization of a place's workers, by `service/failureDomain`. */
  readonly utilization: ReadonlyMap<string, number>
  /** Offset from {@link Instant} to wall-clock time. */
  readonly wallOffsetMs: number
}

/** The state after an event, and the effects to carry out. */
export interface PlannerStep {
  readonly state: PlannerState
  readonly effects: readonly PlannerEffect[]
}

/** The state of a planner that has received no events. */
export const INITIAL_PLANNER_STATE: PlannerState = {
  configuration: undefined,
  measurements: NO_MEASUREMENTS,
  lease: undefined,
  isStoreUp: true,
  plans: new Map(),
  pending: new Map(),
  failedUntil: new Map(),
  utilization: new Map(),
  wallOffsetMs: 0
}
