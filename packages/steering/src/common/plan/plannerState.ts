/** State, events and effects of the planner. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import type { MeasurementState, NodeMeasurement, PlanMember } from './measurements.js'
import { NO_MEASUREMENTS } from './measurements.js'
import type { PlanDocument } from './planDocument.js'
import type { StepVerdict } from './serviceStep.js'

/** What happened. */
export enum PlannerEventKind {
  Configuration = 'configuration',
  Members = 'members',
  Measured = 'measured',
  Places = 'places',
  LeaseGained = 'lease-gained',
  LeaseRenewed = 'lease-renewed',
  LeaseLost = 'lease-lost',
  /** A plan was read or written. */
  PlanSeen = 'plan-seen',
  /** A write was refused or its answer lost. */
  WriteFailed = 'write-failed',
  StoreDown = 'store-down',
  StoreUp = 'store-up',
  Tick = 'tick'
}

/** How one place is, measured lately. */
export interface PlaceObservation {
  readonly service: string
  readonly failureDomain: string
  /** No worker can take a request. */
  readonly isFailed: boolean
  /** Mean of the workers; undefined if nothing new enough is known. */
  readonly utilization: number | undefined
}

/** One event. */
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

/** What the planner wants done. */
export enum PlannerEffectKind {
  WritePlan = 'write-plan',
  ReadPlan = 'read-plan',
  /** Peers' measurements are wanted sooner than their next heartbeats. */
  Measure = 'measure'
}

/** One effect. */
export type PlannerEffect =
  | { readonly kind: PlannerEffectKind.WritePlan, readonly document: PlanDocument }
  | { readonly kind: PlannerEffectKind.ReadPlan, readonly service: string }
  | { readonly kind: PlannerEffectKind.Measure }

/** The lease that allows to write. */
export interface PlannerLease {
  readonly epoch: number
  readonly deadline: Deadline
}

/** One service's plan as the planner knows it. */
export interface KnownPlan {
  readonly document: PlanDocument
  /** When this node learned of the version; never before it was written. */
  readonly seenAt: Instant
  /** Places with traffic only since then, by failure domain. */
  readonly warmingFrom: Readonly<Record<string, Instant>>
  readonly isMoving: boolean
  readonly verdict: StepVerdict | undefined
  /** A settled service is looked at again then, or once the configuration has changed. */
  readonly lookAgainAt: Deadline
  readonly lookedVersion: number
}

/** A step that is being written, or whose fate is being read. */
export interface PendingWrite {
  readonly document: PlanDocument
}

/** Everything that the planner knows. */
export interface PlannerState {
  readonly configuration: { readonly version: number, readonly body: SteeringConfiguration } | undefined
  readonly measurements: MeasurementState
  readonly lease: PlannerLease | undefined
  readonly isStoreUp: boolean
  readonly plans: ReadonlyMap<string, KnownPlan>
  readonly pending: ReadonlyMap<string, PendingWrite>
  /** When a failed place counts as recovered, by `service/failureDomain`; Infinity while it fails. */
  readonly failedUntil: ReadonlyMap<string, Deadline>
  /** By `service/failureDomain`. */
  readonly utilization: ReadonlyMap<string, number>
  /** Added to an Instant it gives wall time. */
  readonly wallOffsetMs: number
}

/** The next state and what to do. */
export interface PlannerStep {
  readonly state: PlannerState
  readonly effects: readonly PlannerEffect[]
}

/** A planner that knows nothing. */
export const INITIAL_PLANNER: PlannerState = {
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
