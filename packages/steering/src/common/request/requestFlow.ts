/**
 * State machine for the attempts of one request: the first attempt, retries on
 * another worker and then in another failure domain, hedges, and the end of the
 * request. It is pure: it performs no I/O and reads no clock.
 *
 * Two rules ensure that a request that is not idempotent runs at most once: it has
 * at most one attempt in flight, and it is retried only if all earlier attempts are
 * known to be `not-run`.
 */
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { Outcome } from '../state/outcome.js'
import { mergeOutcomes } from './outcomeTable.js'
import {
  AttemptPurpose, AttemptState, FlowEffectKind, FlowEventKind, FlowPhase, FlowTimer,
  type FlowAttempt, type FlowEffect, type FlowEvent, type FlowPolicy, type FlowState, type FlowStep, type FlowContext, type PlacementPreference
} from './flowTypes.js'

/** Maximum number of attempts, for requests that are idempotent or whose earlier attempts did not run. */
export const MAX_ATTEMPTS = 3
/** Lower bound of every backoff. */
const BASE_BACKOFF_MS = 5
const MAX_BACKOFF_MS = 1000
const BACKOFF_GROWTH_FACTOR = 3
/** After this number of attempts in one failure domain, the next attempt avoids that domain. */
const MIN_ATTEMPTS_TO_AVOID_DOMAIN = 2

const OPEN_STATES: ReadonlySet<AttemptState> = new Set([AttemptState.Acquiring, AttemptState.Sent])

/**
 * @param policy the limits of the request
 * @returns the state of a request that has not started
 */
export function createFlow (policy: FlowPolicy): FlowState {
  return { phase: FlowPhase.Running, policy, attempts: [], backoffSpan: BASE_BACKOFF_MS, retryAt: undefined }
}

type EventOf<Kind extends FlowEventKind> = Extract<FlowEvent, { kind: Kind }>
type Handlers = { readonly [Kind in FlowEventKind]: (state: FlowState, event: EventOf<Kind>, context: FlowContext) => FlowStep }

const HANDLERS: Handlers = {
  [FlowEventKind.Started]: (state, _event, context) => handleStart(state, context),
  [FlowEventKind.SlotGranted]: handleSlotGrant,
  [FlowEventKind.SlotRefused]: handleSlotRefusal,
  [FlowEventKind.AttemptFailed]: handleAttemptFailure,
  [FlowEventKind.ResponseStarted]: handleResponse,
  [FlowEventKind.TimerDue]: handleTimer,
  [FlowEventKind.CallerLeft]: (state) => state.phase === FlowPhase.Running ? refuseRequest(state) : buildStep(state)
}

/**
 * Advances a request by one event.
 * @param state the current state of the request
 * @param event what happened
 * @param context the other inputs of the decision, as they are now
 * @returns the new state and the effects to carry out, in order
 */
export function stepFlow (state: FlowState, event: FlowEvent, context: FlowContext): FlowStep {
  const handle = HANDLERS[event.kind] as (state: FlowState, event: FlowEvent, context: FlowContext) => FlowStep
  return handle(state, event, context)
}

function handleStart (state: FlowState, context: FlowContext): FlowStep {
  if (hasPassed(state.policy.deadline, context.now)) return refuseRequest(state)
  return addAttempt(state, AttemptPurpose.First, [{ kind: FlowEffectKind.RecordFirstAttempt }])
}

function handleSlotGrant (state: FlowState, event: EventOf<FlowEventKind.SlotGranted>, context: FlowContext): FlowStep {
  const { attemptId, workerId, failureDomain } = event
  const attempt = state.attempts[attemptId]
  const releaseEffect: FlowEffect = { kind: FlowEffectKind.ReleaseSlot, attemptId }
  // A slot may be granted when the request has already ended, or when its body can no longer be replayed.
  if (attempt?.state !== AttemptState.Acquiring || state.phase !== FlowPhase.Running) return buildStep(state, [releaseEffect])
  const isPastDeadline = hasPassed(state.policy.deadline, context.now)
  if (isPastDeadline || !maySendBody(attempt, context)) {
    const failed = setAttempt(state, attemptId, { ...attempt, state: AttemptState.Failed, outcome: Outcome.NotRun })
    return addEffectsBefore([releaseEffect], waitOrRefuse(failed))
  }
  const sent = setAttempt(state, attemptId, { ...attempt, state: AttemptState.Sent, workerId, failureDomain })
  return { state: sent, effects: [{ kind: FlowEffectKind.SendAttempt, attemptId }, ...planHedge(sent, attempt, context)] }
}

function maySendBody (attempt: FlowAttempt, context: FlowContext): boolean {
  return attempt.purpose === AttemptPurpose.Hedge ? context.isBodyBuffered : context.isBodyReplayable
}

function planHedge (state: FlowState, attempt: FlowAttempt, context: FlowContext): FlowEffect[] {
  if (!state.policy.isIdempotent || attempt.purpose !== AttemptPurpose.First) return []
  if (!context.isBodyBuffered || context.hedgeDelay === undefined || state.policy.maxAttempts < 2) return []
  const at = createDeadline(context.now, context.hedgeDelay)
  if (at >= state.policy.deadline) return []
  return [{ kind: FlowEffectKind.StartTimer, timer: FlowTimer.Hedge, at }]
}

function handleSlotRefusal (state: FlowState, event: EventOf<FlowEventKind.SlotRefused>, context: FlowContext): FlowStep {
  const attempt = state.attempts[event.attemptId]
  if (attempt?.state !== AttemptState.Acquiring || state.phase !== FlowPhase.Running) return buildStep(state)
  const failed = setAttempt(state, event.attemptId, { ...attempt, state: AttemptState.Failed, outcome: Outcome.NotRun })
  if (hasOpenAttempt(failed)) return buildStep(failed)
  // A hedge does not wait for a slot, so the first attempt, which failed in the meantime, is retried.
  // For other attempts all places have been tried, and trying again would only delay the request.
  return attempt.purpose === AttemptPurpose.Hedge ? retryOrRefuse(failed, context) : refuseRequest(failed)
}

function handleAttemptFailure (state: FlowState, event: EventOf<FlowEventKind.AttemptFailed>, context: FlowContext): FlowStep {
  const attempt = state.attempts[event.attemptId]
  if (attempt?.state !== AttemptState.Sent || state.phase !== FlowPhase.Running) return buildStep(state)
  const failed = setAttempt(state, event.attemptId, { ...attempt, state: AttemptState.Failed, outcome: event.outcome })
  return hasOpenAttempt(failed) ? buildStep(failed) : retryOrRefuse(failed, context)
}

function retryOrRefuse (state: FlowState, context: FlowContext): FlowStep {
  if (!mayRetry(state, context)) return refuseRequest(state)
  const backoffSpan = computeBackoff(state.backoffSpan, context.jitter)
  const retryAt = createDeadline(context.now, backoffSpan)
  if (retryAt >= state.policy.deadline) return refuseRequest(state)
  return {
    state: { ...state, backoffSpan, retryAt },
    effects: [
      { kind: FlowEffectKind.ConsumeRetryToken },
      { kind: FlowEffectKind.StopTimer, timer: FlowTimer.Hedge },
      { kind: FlowEffectKind.StartTimer, timer: FlowTimer.Retry, at: retryAt }
    ]
  }
}

/**
 * A request that may have run is retried only if it is idempotent: running an
 * escort assignment twice, for example, would send two members of staff to one gate.
 */
function mayRetry (state: FlowState, context: FlowContext): boolean {
  const isKnownNotRun = mergeOutcomes(listOutcomes(state)) === Outcome.NotRun
  if (!state.policy.isIdempotent && !isKnownNotRun) return false
  return state.attempts.length < state.policy.maxAttempts && context.hasRetryToken && context.isBodyReplayable
}

/** Decorrelated jitter: each backoff is random between the base and three times the previous backoff. */
function computeBackoff (previousBackoff: number, jitter: number): number {
  return Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS + jitter * (previousBackoff * BACKOFF_GROWTH_FACTOR - BASE_BACKOFF_MS))
}

function handleResponse (state: FlowState, event: EventOf<FlowEventKind.ResponseStarted>): FlowStep {
  const attempt = state.attempts[event.attemptId]
  const isUsable = attempt?.state === AttemptState.Sent && state.phase === FlowPhase.Running
  if (!isUsable) return buildStep(state, [{ kind: FlowEffectKind.CancelAttempt, attemptId: event.attemptId }])
  const withResponse = setAttempt(state, event.attemptId, { ...attempt, state: AttemptState.Responding })
  const { state: rest, effects } = cancelOpenAttempts(withResponse)
  return { state: { ...rest, phase: FlowPhase.Answered }, effects: [{ kind: FlowEffectKind.ForwardResponse, attemptId: event.attemptId }, ...effects] }
}

function handleTimer (state: FlowState, event: EventOf<FlowEventKind.TimerDue>, context: FlowContext): FlowStep {
  if (state.phase !== FlowPhase.Running) return buildStep(state)
  return event.timer === FlowTimer.Retry ? handleRetryDue(state, context) : handleHedgeDue(state, context)
}

function handleRetryDue (state: FlowState, context: FlowContext): FlowStep {
  if (state.retryAt === undefined) return buildStep(state)
  const due = { ...state, retryAt: undefined }
  if (hasPassed(due.policy.deadline, context.now) || !context.isBodyReplayable) return refuseRequest(due)
  return addAttempt(due, AttemptPurpose.Retry, [])
}

function handleHedgeDue (state: FlowState, context: FlowContext): FlowStep {
  const isSlow = state.attempts.length === 1 && state.attempts[0]?.state === AttemptState.Sent
  if (!isSlow || !state.policy.isIdempotent || !context.hasRetryToken || !context.isBodyBuffered) return buildStep(state)
  if (hasPassed(state.policy.deadline, context.now)) return buildStep(state)
  return addAttempt(state, AttemptPurpose.Hedge, [{ kind: FlowEffectKind.ConsumeRetryToken }])
}

function addAttempt (state: FlowState, purpose: AttemptPurpose, precedingEffects: readonly FlowEffect[]): FlowStep {
  const attemptId = state.attempts.length
  const attempts = [...state.attempts, { purpose, state: AttemptState.Acquiring }]
  const acquireEffect: FlowEffect = { kind: FlowEffectKind.AcquireSlot, attemptId, purpose, preference: buildPlacementPreference(state) }
  return { state: { ...state, attempts }, effects: [...precedingEffects, acquireEffect] }
}

/** Prefers another worker in the same failure domain; after two attempts there, another domain. */
function buildPlacementPreference (state: FlowState): PlacementPreference {
  const attemptsByDomain = new Map<string, number>()
  for (const { failureDomain } of state.attempts) {
    if (failureDomain !== undefined) attemptsByDomain.set(failureDomain, (attemptsByDomain.get(failureDomain) ?? 0) + 1)
  }
  const avoidedDomains = new Set([...attemptsByDomain].filter(([, count]) => count >= MIN_ATTEMPTS_TO_AVOID_DOMAIN).map(([domain]) => domain))
  const lastDomain = state.attempts.at(-1)?.failureDomain
  const preferredDomain = lastDomain === undefined || avoidedDomains.has(lastDomain) ? undefined : lastDomain
  const excludedWorkers = new Set(state.attempts.flatMap(({ workerId }) => workerId ?? []))
  return { preferredDomain, avoidedDomains, excludedWorkers }
}

function waitOrRefuse (state: FlowState): FlowStep {
  return hasOpenAttempt(state) ? buildStep(state) : refuseRequest(state)
}

/** Ends the request immediately; attempts that are still in flight count with their present outcome. */
function refuseRequest (state: FlowState): FlowStep {
  const outcome = mergeOutcomes(listOutcomes(state))
  const { state: rest, effects } = cancelOpenAttempts(state)
  return { state: { ...rest, phase: FlowPhase.Refused }, effects: [...effects, { kind: FlowEffectKind.Refuse, outcome }] }
}

function cancelOpenAttempts (state: FlowState): FlowStep {
  const effects: FlowEffect[] = [FlowTimer.Retry, FlowTimer.Hedge].map((timer) => ({ kind: FlowEffectKind.StopTimer, timer }))
  const attempts = state.attempts.map((attempt, attemptId) => {
    if (!OPEN_STATES.has(attempt.state)) return attempt
    effects.push({ kind: FlowEffectKind.CancelAttempt, attemptId })
    return { ...attempt, state: AttemptState.Cancelled }
  })
  return { state: { ...state, attempts, retryAt: undefined }, effects }
}

/** An attempt that was passed to the transport and has not ended may have run, so its outcome is `unknown`. */
function listOutcomes (state: FlowState): Outcome[] {
  return state.attempts.map((attempt) => {
    if (attempt.outcome !== undefined) return attempt.outcome
    return attempt.workerId === undefined ? Outcome.NotRun : Outcome.Unknown
  })
}

function hasOpenAttempt (state: FlowState): boolean {
  return state.attempts.some((attempt) => OPEN_STATES.has(attempt.state))
}

function setAttempt (state: FlowState, attemptId: number, attempt: FlowAttempt): FlowState {
  return { ...state, attempts: state.attempts.map((other, index) => index === attemptId ? attempt : other) }
}

function addEffectsBefore (effects: readonly FlowEffect[], step: FlowStep): FlowStep {
  return { state: step.state, effects: [...effects, ...step.effects] }
}

function buildStep (state: FlowState, effects: readonly FlowEffect[] = []): FlowStep {
  return { state, effects }
}
