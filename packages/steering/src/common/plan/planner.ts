/**
 * The planner: pure decisions of the node that holds the plan lease. It advances
 * each service's plan by one bounded step at a time, and bases no step on
 * measurements that were taken before the previous one took effect.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { type SteeringConfiguration, StaleRule } from '../configuration/configurationSchema.js'
import { addMeasurement, hasFreshMeasurements, setMembers, computeDemand } from './measurements.js'
import { getPlaceKey, listFailedDomains, updateFailures } from './placeFailures.js'
import { computeLinkLoads, type ServiceLoad } from './placeLoad.js'
import type { LinkLoads } from './placement.js'
import type { PlanDocument } from './planDocument.js'
import type { KnownPlan, PlannerEffect, PlannerEvent, PlannerState, PlannerStep } from './plannerState.js'
import { PlannerEffectKind, PlannerEventKind } from './plannerState.js'
import { computeTargetPlan, type Weights } from './servicePlan.js'
import { decideServiceStep, type ServiceStep, type ServiceStepInput, StepVerdict } from './serviceStep.js'
import { computeShift, stepToward } from './stepPlan.js'
import { computeMeasurementRequestTime, MIN_MEASUREMENT_DELAY_RATIO } from './stepTiming.js'

/** Interval between checks of a settled service; a check is the planner's most expensive operation. */
const RECHECK_INTERVAL_MS = 500

type EventOf<Kind extends PlannerEventKind> = Extract<PlannerEvent, { kind: Kind }>
type Handlers = { readonly [Kind in PlannerEventKind]: (state: PlannerState, event: EventOf<Kind>, now: Instant) => PlannerStep }

/** @returns a planner step without effects */
function createStep (state: PlannerState): PlannerStep {
  return { state, effects: [] }
}

function createKnownPlan (state: PlannerState, document: PlanDocument, now: Instant, wallOffsetMs: number): KnownPlan {
  const known = state.plans.get(document.service)
  const warmingSince = Object.fromEntries(Object.entries(document.warmingFromWallMs)
    // The wall clock of a previous lease holder may be ahead of this node's. The warm-up then starts now, which only makes it slower.
    .map(([domain, wallMs]) => [domain, Math.min(now, wallMs - wallOffsetMs)]))
  return { document, seenAt: now, warmingSince, isMoving: known?.isMoving ?? false, verdict: known?.verdict, recheckAt: now, checkedConfigurationVersion: 0 }
}

function addPlan (state: PlannerState, document: PlanDocument, now: Instant): PlannerState {
  const known = state.plans.get(document.service)
  const pending = new Map(state.pending)
  pending.delete(document.service)
  if (known !== undefined && known.document.version >= document.version) return { ...state, pending }
  const plans = new Map(state.plans).set(document.service, createKnownPlan(state, document, now, state.wallOffsetMs))
  return { ...state, plans, pending }
}

function acquireLease (state: PlannerState, event: EventOf<PlannerEventKind.LeaseGained>, now: Instant): PlannerState {
  const { epoch, deadline, documents, wallOffsetMs } = event
  const gained: PlannerState = { ...state, lease: { epoch, deadline }, wallOffsetMs, pending: new Map(), isStoreUp: true }
  return documents.reduce((next, document) => addPlan(next, document, now), gained)
}

const HANDLERS: Handlers = {
  [PlannerEventKind.Configuration]: (state, { version, body }) => createStep({ ...state, configuration: { version, body } }),
  [PlannerEventKind.Members]: (state, { members }) => createStep({ ...state, measurements: setMembers(state.measurements, members) }),
  [PlannerEventKind.Measured]: (state, { measurement }) => createStep({ ...state, measurements: addMeasurement(state.measurements, measurement) }),
  [PlannerEventKind.Places]: (state, { places }, now) => createStep({
    ...state,
    failedUntil: updateFailures(state.failedUntil, places, now),
    utilization: new Map(places.flatMap(({ service, failureDomain, utilization }) =>
      utilization === undefined ? [] : [[getPlaceKey(service, failureDomain), utilization] as const]))
  }),
  [PlannerEventKind.LeaseGained]: (state, event, now) => createStep(acquireLease(state, event, now)),
  [PlannerEventKind.LeaseRenewed]: (state, { deadline }) => createStep(
    state.lease === undefined ? state : { ...state, lease: { ...state.lease, deadline } }),
  [PlannerEventKind.LeaseLost]: (state) => createStep({ ...state, lease: undefined, pending: new Map() }),
  [PlannerEventKind.PlanSeen]: (state, { document }, now) => createStep(addPlan(state, document, now)),
  // The write may have taken effect although it was reported as failed, or the store
  // may hold a step of another lease holder, so the store is read before the next decision.
  [PlannerEventKind.WriteFailed]: (state, { service }) => ({ state, effects: [{ kind: PlannerEffectKind.ReadPlan, service }] }),
  [PlannerEventKind.StoreDown]: (state) => createStep({ ...state, isStoreUp: false }),
  [PlannerEventKind.StoreUp]: (state) => ({
    state: { ...state, isStoreUp: true },
    effects: [...state.pending.keys()].map((service) => ({ kind: PlannerEffectKind.ReadPlan, service }))
  }),
  [PlannerEventKind.Tick]: (state, _event, now) => decideSteps(state, now)
}

/**
 * @param state the planner's state
 * @param event the event to handle
 * @param now the current time
 * @returns the next state, and the effects to carry out
 */
export function stepPlanner (state: PlannerState, event: PlannerEvent, now: Instant): PlannerStep {
  const handle = HANDLERS[event.kind] as (state: PlannerState, event: PlannerEvent, now: Instant) => PlannerStep
  return handle(state, event, now)
}

function decideSteps (state: PlannerState, now: Instant): PlannerStep {
  const { lease, configuration } = state
  // A lease holder that was paused past its lease's deadline decides nothing. If it is
  // paused between this check and the write, the store's condition on the lease
  // holder's key rejects the write.
  if (lease === undefined || configuration === undefined || hasPassed(lease.deadline, now) || !state.isStoreUp) return createStep(state)
  let next = state
  const effects: PlannerEffect[] = []
  for (const service of Object.keys(configuration.body.services)) {
    const step = decideService(next, service, now)
    next = step.state
    effects.push(...step.effects)
  }
  const hasMeasureEffect = effects.some((effect) => effect.kind === PlannerEffectKind.AskForMeasurements)
  const otherEffects = effects.filter((effect) => effect.kind !== PlannerEffectKind.AskForMeasurements)
  return { state: next, effects: hasMeasureEffect ? [...otherEffects, { kind: PlannerEffectKind.AskForMeasurements }] : otherEffects }
}

function decideService (state: PlannerState, service: string, now: Instant): PlannerStep {
  const { configuration, lease } = state
  if (configuration === undefined || lease === undefined || state.pending.has(service)) return createStep(state)
  const known = state.plans.get(service)
  if (known === undefined) {
    const weights = computeTargetPlan(configuration.body, service, listFailedDomains(state.failedUntil, service, now)).weights
    return writeStep(state, service, { weights, isEmergency: false, isMoving: false, now })
  }
  const isSettledUnderConfiguration = known.verdict === StepVerdict.Settled && known.checkedConfigurationVersion === configuration.version
  if (isSettledUnderConfiguration && !hasPassed(known.recheckAt, now)) return createStep(state)
  const isMeasuredNow = hasCurrentMeasurements(state, known, configuration.body, now)
  if (!hasPassed(createDeadline(known.seenAt, configuration.body.shiftCaps.settleMs), now)) {
    return isMeasuredNow ? createStep(state) : askForMeasurements(state, known, configuration.body, now)
  }
  const input = buildStepInput(state, known, configuration.body, now)
  if (!isMeasuredNow) return decideWithoutMeasurements(state, known, input, now)
  const step = decideServiceStep(input)
  if (step.verdict !== StepVerdict.Moves) return createStep(recordVerdict(state, service, step, now))
  return writeStep(state, service, { weights: step.weights, isEmergency: step.isEmergency, isMoving: true, now })
}

/** Asks for missing measurements before a move has settled, so that the next step doesn't have to wait for them. */
function askForMeasurements (state: PlannerState, known: KnownPlan, body: SteeringConfiguration, now: Instant): PlannerStep {
  const isDue = hasPassed(computeMeasurementRequestTime(known.seenAt, body.shiftCaps.settleMs), now)
  return { state, effects: known.isMoving && isDue ? [{ kind: PlannerEffectKind.AskForMeasurements }] : [] }
}

function recordVerdict (state: PlannerState, service: string, step: ServiceStep, now: Instant): PlannerState {
  const known = state.plans.get(service)
  if (known === undefined) return state
  const isMoving = step.verdict === StepVerdict.Paused
  return {
    ...state,
    plans: new Map(state.plans).set(service, {
      ...known, isMoving, verdict: step.verdict, recheckAt: createDeadline(now, RECHECK_INTERVAL_MS), checkedConfigurationVersion: state.configuration?.version ?? 0
    })
  }
}

function hasCurrentMeasurements (state: PlannerState, known: KnownPlan, body: SteeringConfiguration, now: Instant): boolean {
  const { settleMs, staleAfterMs } = body.shiftCaps
  const { service, version } = known.document
  const notBefore = Math.max(known.seenAt + settleMs * MIN_MEASUREMENT_DELAY_RATIO, now - staleAfterMs)
  return hasFreshMeasurements(state.measurements, { service, version, notBefore })
}

/**
 * Without fresh measurements nothing moves, unless the configuration's rule for stale
 * measurements is to split traffic by capacity, which needs no measurements.
 */
function decideWithoutMeasurements (state: PlannerState, known: KnownPlan, input: ServiceStepInput, now: Instant): PlannerStep {
  const { whenStale, staleAfterMs, planned } = input.configuration.shiftCaps
  const isFallbackDue = whenStale === StaleRule.ByCapacity && hasPassed(createDeadline(known.seenAt, staleAfterMs), now)
  const target = isFallbackDue ? computeTargetPlan(input.configuration, input.service, input.failed).weights : known.document.weights
  const weights = stepToward(known.document.weights, target, planned)
  if (computeShift(known.document.weights, weights) > 0) {
    return writeStep(state, input.service, { weights, isEmergency: false, isMoving: true, now })
  }
  const mayNeedStep = known.isMoving || decideServiceStep(input).verdict !== StepVerdict.Settled
  if (!mayNeedStep) return createStep(state)
  return { state, effects: [{ kind: PlannerEffectKind.AskForMeasurements }] }
}

function buildStepInput (state: PlannerState, known: KnownPlan, body: SteeringConfiguration, now: Instant): ServiceStepInput {
  const { service, weights } = known.document
  const utilization: Record<string, number> = {}
  for (const domain of Object.keys(body.services[service]?.places ?? {})) {
    const measured = state.utilization.get(getPlaceKey(service, domain))
    if (measured !== undefined) utilization[domain] = measured
  }
  const warmingForMs = Object.fromEntries(Object.entries(known.warmingSince).map(([domain, since]) => [domain, now - since]))
  return {
    configuration: body,
    service,
    current: weights,
    demand: computeDemand(state.measurements, service),
    otherLinkLoads: computeOtherLinkLoads(state, service, body),
    failed: listFailedDomains(state.failedUntil, service, now),
    warmingForMs,
    utilization,
    isMoving: known.isMoving
  }
}

/** Sums the link loads of the other services. On each link the greater of the sums before and after their pending steps counts. */
function computeOtherLinkLoads (state: PlannerState, service: string, body: SteeringConfiguration): LinkLoads {
  const before: ServiceLoad[] = []
  const after: ServiceLoad[] = []
  for (const [other, { document }] of state.plans) {
    if (other === service) continue
    const demand = computeDemand(state.measurements, other)
    before.push({ weights: document.weights, demand })
    after.push({ weights: state.pending.get(other)?.document.weights ?? document.weights, demand })
  }
  const maxLoads: Record<string, Record<string, number>> = {}
  for (const linkLoads of [computeLinkLoads(body, before), computeLinkLoads(body, after)]) {
    for (const [clientRegion, loadByRegion] of Object.entries(linkLoads)) {
      for (const [servingRegion, load] of Object.entries(loadByRegion)) {
        const maxLoadByRegion = maxLoads[clientRegion] ??= {}
        maxLoadByRegion[servingRegion] = Math.max(maxLoadByRegion[servingRegion] ?? 0, load)
      }
    }
  }
  return maxLoads
}

interface StepToWrite {
  readonly weights: Weights
  readonly isEmergency: boolean
  readonly isMoving: boolean
  readonly now: Instant
}

function writeStep (state: PlannerState, service: string, step: StepToWrite): PlannerStep {
  const { configuration, lease } = state
  if (configuration === undefined || lease === undefined) return createStep(state)
  const known = state.plans.get(service)
  const document: PlanDocument = {
    service,
    version: (known?.document.version ?? 0) + 1,
    epoch: lease.epoch,
    configurationVersion: configuration.version,
    isEmergency: step.isEmergency,
    steppedAtWallMs: step.now + state.wallOffsetMs,
    warmingFromWallMs: computeWarmingFromWallMs(state, known, step, configuration.body.services[service]?.warmUpMs ?? 0),
    weights: step.weights
  }
  const plans = known === undefined ? state.plans : new Map(state.plans).set(service, { ...known, isMoving: step.isMoving, verdict: StepVerdict.Moves })
  const pending = new Map(state.pending).set(service, { document })
  return { state: { ...state, plans, pending }, effects: [{ kind: PlannerEffectKind.WritePlan, document }] }
}

function listUsedDomains (weights: Weights): Set<string> {
  return new Set(Object.values(weights).flatMap((domains) => Object.entries(domains).filter(([, weight]) => weight > 0).map(([domain]) => domain)))
}

/** Records when places received their first traffic. A place that has warmed up or no longer has traffic is left out. */
function computeWarmingFromWallMs (state: PlannerState, known: KnownPlan | undefined, step: StepToWrite, warmUpMs: number): Record<string, number> {
  if (known === undefined) return {}
  const before = listUsedDomains(known.document.weights)
  const warmingFromWallMs: Record<string, number> = {}
  for (const domain of listUsedDomains(step.weights)) {
    const warmingSince = before.has(domain) ? known.warmingSince[domain] : step.now
    if (warmingSince !== undefined && step.now - warmingSince < warmUpMs) warmingFromWallMs[domain] = warmingSince + state.wallOffsetMs
  }
  return warmingFromWallMs
}
