/**
 * The planner: pure decisions of the node that holds the plan's lease. It
 * advances each service's plan by one bounded step at a time and never takes a
 * step on measurements from before the last one.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { type SteeringConfiguration, StaleRule } from '../configuration/configurationSchema.js'
import { addMeasurement, isFresh, setMembers, computeDemand } from './measurements.js'
import { getPlaceKey, listFailed, updateFailures } from './placeFailures.js'
import { computeLinkUse, type ServiceLoad } from './placeLoad.js'
import type { LinkUse } from './placement.js'
import type { PlanDocument } from './planDocument.js'
import type { KnownPlan, PlannerEffect, PlannerEvent, PlannerState, PlannerStep } from './plannerState.js'
import { PlannerEffectKind, PlannerEventKind } from './plannerState.js'
import { computeTargetPlan, type Weights } from './servicePlan.js'
import { decideServiceStep, type ServiceStep, type ServiceStepInput, StepVerdict } from './serviceStep.js'
import { computeShift, stepToward } from './stepPlan.js'

/**
 * A measurement counts as taken after a step from this part of the settle time
 * on: demand is a mean over a moment and needs one to show the step.
 */
const MEASURE_PART = 0.5
/** Settled services are looked at this often: a look costs more than all else the planner does. */
const LOOK_SPAN_MS = 500

type EventOf<Kind extends PlannerEventKind> = Extract<PlannerEvent, { kind: Kind }>
type Handlers = { readonly [Kind in PlannerEventKind]: (state: PlannerState, event: EventOf<Kind>, now: Instant) => PlannerStep }

function holdState (state: PlannerState): PlannerStep {
  return { state, effects: [] }
}

function createKnownPlan (state: PlannerState, document: PlanDocument, now: Instant, wallOffsetMs: number): KnownPlan {
  const known = state.plans.get(document.service)
  const warmingFrom = Object.fromEntries(Object.entries(document.warmingFromWallMs)
    // Another holder's wall clock may be ahead of ours: the warm-up then begins now, which is only slower.
    .map(([domain, wallMs]) => [domain, Math.min(now, wallMs - wallOffsetMs)]))
  return { document, seenAt: now, warmingFrom, isMoving: known?.isMoving ?? false, verdict: known?.verdict, lookAgainAt: now, lookedVersion: 0 }
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
  [PlannerEventKind.Configuration]: (state, { version, body }) => holdState({ ...state, configuration: { version, body } }),
  [PlannerEventKind.Members]: (state, { members }) => holdState({ ...state, measurements: setMembers(state.measurements, members) }),
  [PlannerEventKind.Measured]: (state, { measurement }) => holdState({ ...state, measurements: addMeasurement(state.measurements, measurement) }),
  [PlannerEventKind.Places]: (state, { places }, now) => holdState({
    ...state,
    failedUntil: updateFailures(state.failedUntil, places, now),
    utilization: new Map(places.flatMap(({ service, failureDomain, utilization }) =>
      utilization === undefined ? [] : [[getPlaceKey(service, failureDomain), utilization] as const]))
  }),
  [PlannerEventKind.LeaseGained]: (state, event, now) => holdState(acquireLease(state, event, now)),
  [PlannerEventKind.LeaseRenewed]: (state, { deadline }) => holdState(
    state.lease === undefined ? state : { ...state, lease: { ...state.lease, deadline } }),
  [PlannerEventKind.LeaseLost]: (state) => holdState({ ...state, lease: undefined, pending: new Map() }),
  [PlannerEventKind.PlanSeen]: (state, { document }, now) => holdState(addPlan(state, document, now)),
  // The write may have taken effect all the same, or another holder's step may
  // be in the store: what stands there is read before anything else is decided.
  [PlannerEventKind.WriteFailed]: (state, { service }) => ({ state, effects: [{ kind: PlannerEffectKind.ReadPlan, service }] }),
  [PlannerEventKind.StoreDown]: (state) => holdState({ ...state, isStoreUp: false }),
  [PlannerEventKind.StoreUp]: (state) => ({
    state: { ...state, isStoreUp: true },
    effects: [...state.pending.keys()].map((service) => ({ kind: PlannerEffectKind.ReadPlan, service }))
  }),
  [PlannerEventKind.Tick]: (state, _event, now) => decideSteps(state, now)
}

/**
 * @param state what the planner knows
 * @param event what happened
 * @param now the present
 * @returns the next state and what to do
 */
export function stepPlanner (state: PlannerState, event: PlannerEvent, now: Instant): PlannerStep {
  const handle = HANDLERS[event.kind] as (state: PlannerState, event: PlannerEvent, now: Instant) => PlannerStep
  return handle(state, event, now)
}

function decideSteps (state: PlannerState, now: Instant): PlannerStep {
  const { lease, configuration } = state
  // A paused holder that wakes up after its lease's deadline decides nothing;
  // if it is paused between this check and the store, the store's condition on
  // the holder's key refuses the write.
  if (lease === undefined || configuration === undefined || hasPassed(lease.deadline, now) || !state.isStoreUp) return holdState(state)
  let next = state
  const effects: PlannerEffect[] = []
  for (const service of Object.keys(configuration.body.services)) {
    const step = decideService(next, service, now)
    next = step.state
    effects.push(...step.effects)
  }
  const isMeasureWanted = effects.some((effect) => effect.kind === PlannerEffectKind.Measure)
  const others = effects.filter((effect) => effect.kind !== PlannerEffectKind.Measure)
  return { state: next, effects: isMeasureWanted ? [...others, { kind: PlannerEffectKind.Measure }] : others }
}

function decideService (state: PlannerState, service: string, now: Instant): PlannerStep {
  const { configuration, lease } = state
  if (configuration === undefined || lease === undefined || state.pending.has(service)) return holdState(state)
  const known = state.plans.get(service)
  if (known === undefined) {
    const weights = computeTargetPlan(configuration.body, service, listFailed(state.failedUntil, service, now)).weights
    return writeStep(state, service, { weights, isEmergency: false, isMoving: false, now })
  }
  const isLooked = known.verdict === StepVerdict.Settled && known.lookedVersion === configuration.version
  if (isLooked && !hasPassed(known.lookAgainAt, now)) return holdState(state)
  const isMeasuredNow = isMeasured(state, known, configuration.body, now)
  if (!hasPassed(createDeadline(known.seenAt, configuration.body.shiftCaps.settleMs), now)) {
    return isMeasuredNow ? holdState(state) : measureAhead(state, known, configuration.body, now)
  }
  const input = buildStepInput(state, known, configuration.body, now)
  if (!isMeasuredNow) return decideUnmeasured(state, known, input, now)
  const step = decideServiceStep(input)
  if (step.verdict !== StepVerdict.Moves) return holdState(recordVerdict(state, service, step, now))
  return writeStep(state, service, { weights: step.weights, isEmergency: step.isEmergency, isMoving: true, now })
}

/** Measurements are asked for while a move settles, so that the next step need not wait for them. */
function measureAhead (state: PlannerState, known: KnownPlan, body: SteeringConfiguration, now: Instant): PlannerStep {
  const isDue = hasPassed(createDeadline(known.seenAt, body.shiftCaps.settleMs * MEASURE_PART), now)
  return { state, effects: known.isMoving && isDue ? [{ kind: PlannerEffectKind.Measure }] : [] }
}

function recordVerdict (state: PlannerState, service: string, step: ServiceStep, now: Instant): PlannerState {
  const known = state.plans.get(service)
  if (known === undefined) return state
  const isMoving = step.verdict === StepVerdict.Paused
  return {
    ...state,
    plans: new Map(state.plans).set(service, {
      ...known, isMoving, verdict: step.verdict, lookAgainAt: createDeadline(now, LOOK_SPAN_MS), lookedVersion: state.configuration?.version ?? 0
    })
  }
}

function isMeasured (state: PlannerState, known: KnownPlan, body: SteeringConfiguration, now: Instant): boolean {
  const { settleMs, staleAfterMs } = body.shiftCaps
  const { service, version } = known.document
  const since = Math.max(known.seenAt + settleMs * MEASURE_PART, now - staleAfterMs)
  return isFresh(state.measurements, { service, version, since })
}

/**
 * Without new measurements nothing moves, but for the configured safe state,
 * which takes no measurement into account.
 */
function decideUnmeasured (state: PlannerState, known: KnownPlan, input: ServiceStepInput, now: Instant): PlannerStep {
  const { whenStale, staleAfterMs, planned } = input.configuration.shiftCaps
  const isSafeDue = whenStale === StaleRule.ByCapacity && hasPassed(createDeadline(known.seenAt, staleAfterMs), now)
  const target = isSafeDue ? computeTargetPlan(input.configuration, input.service, input.failed).weights : known.document.weights
  const weights = stepToward(known.document.weights, target, planned)
  if (computeShift(known.document.weights, weights) > 0) {
    return writeStep(state, input.service, { weights, isEmergency: false, isMoving: true, now })
  }
  const isWanted = known.isMoving || decideServiceStep(input).verdict !== StepVerdict.Settled
  if (!isWanted) return holdState(state)
  return { state, effects: [{ kind: PlannerEffectKind.Measure }] }
}

function buildStepInput (state: PlannerState, known: KnownPlan, body: SteeringConfiguration, now: Instant): ServiceStepInput {
  const { service, weights } = known.document
  const utilization: Record<string, number> = {}
  for (const domain of Object.keys(body.services[service]?.places ?? {})) {
    const measured = state.utilization.get(getPlaceKey(service, domain))
    if (measured !== undefined) utilization[domain] = measured
  }
  const warmingForMs = Object.fromEntries(Object.entries(known.warmingFrom).map(([domain, from]) => [domain, now - from]))
  return {
    configuration: body,
    service,
    current: weights,
    demand: computeDemand(state.measurements, service),
    linkUse: computeOthersLinkUse(state, service, body),
    failed: listFailed(state.failedUntil, service, now),
    warmingForMs,
    utilization,
    isMoving: known.isMoving
  }
}

/** Of a service with a step under way the greater of before and after counts, on each link. */
function computeOthersLinkUse (state: PlannerState, service: string, body: SteeringConfiguration): LinkUse {
  const before: ServiceLoad[] = []
  const after: ServiceLoad[] = []
  for (const [other, { document }] of state.plans) {
    if (other === service) continue
    const demand = computeDemand(state.measurements, other)
    before.push({ weights: document.weights, demand })
    after.push({ weights: state.pending.get(other)?.document.weights ?? document.weights, demand })
  }
  const use: Record<string, Record<string, number>> = {}
  for (const one of [computeLinkUse(body, before), computeLinkUse(body, after)]) {
    for (const [from, row] of Object.entries(one)) {
      for (const [to, load] of Object.entries(row)) {
        const mine = use[from] ??= {}
        mine[to] = Math.max(mine[to] ?? 0, load)
      }
    }
  }
  return use
}

interface StepToWrite {
  readonly weights: Weights
  readonly isEmergency: boolean
  readonly isMoving: boolean
  readonly now: Instant
}

function writeStep (state: PlannerState, service: string, step: StepToWrite): PlannerStep {
  const { configuration, lease } = state
  if (configuration === undefined || lease === undefined) return holdState(state)
  const known = state.plans.get(service)
  const document: PlanDocument = {
    service,
    version: (known?.document.version ?? 0) + 1,
    epoch: lease.epoch,
    configurationVersion: configuration.version,
    isEmergency: step.isEmergency,
    steppedAtWallMs: step.now + state.wallOffsetMs,
    warmingFromWallMs: computeWarming(state, known, step, configuration.body.services[service]?.warmUpMs ?? 0),
    weights: step.weights
  }
  const plans = known === undefined ? state.plans : new Map(state.plans).set(service, { ...known, isMoving: step.isMoving, verdict: StepVerdict.Moves })
  const pending = new Map(state.pending).set(service, { document })
  return { state: { ...state, plans, pending }, effects: [{ kind: PlannerEffectKind.WritePlan, document }] }
}

function listUsed (weights: Weights): Set<string> {
  return new Set(Object.values(weights).flatMap((domains) => Object.entries(domains).filter(([, weight]) => weight > 0).map(([domain]) => domain)))
}

/** A place that gets its first traffic is cold from now on; one that is warm or empty is forgotten. */
function computeWarming (state: PlannerState, known: KnownPlan | undefined, step: StepToWrite, warmUpSpanMs: number): Record<string, number> {
  if (known === undefined) return {}
  const before = listUsed(known.document.weights)
  const warming: Record<string, number> = {}
  for (const domain of listUsed(step.weights)) {
    const from = before.has(domain) ? known.warmingFrom[domain] : step.now
    if (from !== undefined && step.now - from < warmUpSpanMs) warming[domain] = from + state.wallOffsetMs
  }
  return warming
}
