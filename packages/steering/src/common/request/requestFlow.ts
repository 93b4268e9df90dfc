/**
 * Decides the attempts of one request: the first, retries on another worker and
 * then in another failure domain, hedges, and the end. Pure: no I/O, no clock.
 *
 * Two rules carry the promise "at most once": a request that is not idempotent
 * has one attempt under way at most, and gets another only if all before it are
 * proven `not-run`.
 */
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { Outcome } from '../state/outcome.js'
import { mergeOutcomes } from './outcomeTable.js'
import {
  AttemptPurpose, AttemptState, FlowEffectKind, FlowEventKind, FlowPhase, FlowTimer,
  type FlowAttempt, type FlowEffect, type FlowEvent, type FlowPolicy, type FlowState, type FlowStep, type FlowView, type PlaceWish
} from './flowTypes.js'

/** Attempts of an idempotent request, or of one whose earlier attempts are proven not run. */
export const MAX_ATTEMPTS = 3
/** The first back-off is drawn between this and three times this, in milliseconds. */
const BASE_BACK_OFF = 5
/** No back-off is longer, in milliseconds. */
const MAX_BACK_OFF = 1000
const BACK_OFF_GROWTH = 3
/** After so many failures in a failure domain the next attempt goes to another one. */
const FAILURES_TO_AVOID = 2

const OPEN_STATES: ReadonlySet<AttemptState> = new Set([AttemptState.Acquiring, AttemptState.Sent])

/**
 * @param policy what is allowed to the request
 * @returns a request that has not begun
 */
export function createFlow (policy: FlowPolicy): FlowState {
  return { phase: FlowPhase.Running, policy, attempts: [], backOffSpan: BASE_BACK_OFF, retryAt: undefined }
}

type EventOf<Kind extends FlowEventKind> = Extract<FlowEvent, { kind: Kind }>
type Handlers = { readonly [Kind in FlowEventKind]: (state: FlowState, event: EventOf<Kind>, view: FlowView) => FlowStep }

const HANDLERS: Handlers = {
  [FlowEventKind.Started]: (state, _event, view) => handleStart(state, view),
  [FlowEventKind.SlotGranted]: handleGrant,
  [FlowEventKind.SlotRefused]: handleSlotRefusal,
  [FlowEventKind.AttemptFailed]: handleFailure,
  [FlowEventKind.AnswerBegan]: handleAnswer,
  [FlowEventKind.TimerDue]: handleTimer,
  [FlowEventKind.CallerLeft]: (state) => state.phase === FlowPhase.Running ? refuse(state) : hold(state)
}

/**
 * @param state the request so far
 * @param event what happened
 * @param view what else counts at this instant
 * @returns the new state and what is to be done, in order
 */
export function stepFlow (state: FlowState, event: FlowEvent, view: FlowView): FlowStep {
  const handle = HANDLERS[event.kind] as (state: FlowState, event: FlowEvent, view: FlowView) => FlowStep
  return handle(state, event, view)
}

function handleStart (state: FlowState, view: FlowView): FlowStep {
  if (hasPassed(state.policy.deadline, view.now)) return refuse(state)
  return addAttempt(state, AttemptPurpose.First, [{ kind: FlowEffectKind.RecordFirst }])
}

function handleGrant (state: FlowState, event: EventOf<FlowEventKind.SlotGranted>, view: FlowView): FlowStep {
  const { attemptId, workerId, failureDomain } = event
  const attempt = state.attempts[attemptId]
  const release: FlowEffect = { kind: FlowEffectKind.ReleaseSlot, attemptId }
  // A slot can come just as the request ends, or after the body was touched.
  if (attempt?.state !== AttemptState.Acquiring || state.phase !== FlowPhase.Running) return hold(state, [release])
  const isLate = hasPassed(state.policy.deadline, view.now)
  if (isLate || !maySend(attempt, view)) {
    const failed = setAttempt(state, attemptId, { ...attempt, state: AttemptState.Failed, outcome: Outcome.NotRun })
    return addEffectsBefore([release], settleOrWait(failed))
  }
  const sent = setAttempt(state, attemptId, { ...attempt, state: AttemptState.Sent, workerId, failureDomain })
  return { state: sent, effects: [{ kind: FlowEffectKind.Send, attemptId }, ...planHedge(sent, attempt, view)] }
}

function maySend (attempt: FlowAttempt, view: FlowView): boolean {
  return attempt.purpose === AttemptPurpose.Hedge ? view.isBodyShared : view.isBodyWhole
}

function planHedge (state: FlowState, attempt: FlowAttempt, view: FlowView): FlowEffect[] {
  if (!state.policy.isIdempotent || attempt.purpose !== AttemptPurpose.First) return []
  if (!view.isBodyShared || view.hedgeSpan === undefined || state.policy.maxAttempts < 2) return []
  const at = createDeadline(view.now, view.hedgeSpan)
  if (at >= state.policy.deadline) return []
  return [{ kind: FlowEffectKind.StartTimer, timer: FlowTimer.Hedge, at }]
}

function handleSlotRefusal (state: FlowState, event: EventOf<FlowEventKind.SlotRefused>, view: FlowView): FlowStep {
  const attempt = state.attempts[event.attemptId]
  if (attempt?.state !== AttemptState.Acquiring || state.phase !== FlowPhase.Running) return hold(state)
  const failed = setAttempt(state, event.attemptId, { ...attempt, state: AttemptState.Failed, outcome: Outcome.NotRun })
  if (hasOpenAttempt(failed)) return hold(failed)
  // A hedge does not wait for a slot; the first attempt that failed meanwhile is retried.
  // For the others all places were asked, and asking again would only hold the request back.
  return attempt.purpose === AttemptPurpose.Hedge ? retryOrRefuse(failed, view) : refuse(failed)
}

function handleFailure (state: FlowState, event: EventOf<FlowEventKind.AttemptFailed>, view: FlowView): FlowStep {
  const attempt = state.attempts[event.attemptId]
  if (attempt?.state !== AttemptState.Sent || state.phase !== FlowPhase.Running) return hold(state)
  const failed = setAttempt(state, event.attemptId, { ...attempt, state: AttemptState.Failed, outcome: event.outcome })
  return hasOpenAttempt(failed) ? hold(failed) : retryOrRefuse(failed, view)
}

function retryOrRefuse (state: FlowState, view: FlowView): FlowStep {
  if (!mayRetry(state, view)) return refuse(state)
  const backOffSpan = computeBackOff(state.backOffSpan, view.jitter)
  const retryAt = createDeadline(view.now, backOffSpan)
  if (retryAt >= state.policy.deadline) return refuse(state)
  return {
    state: { ...state, backOffSpan, retryAt },
    effects: [
      { kind: FlowEffectKind.SpendToken },
      { kind: FlowEffectKind.StopTimer, timer: FlowTimer.Hedge },
      { kind: FlowEffectKind.StartTimer, timer: FlowTimer.Retry, at: retryAt }
    ]
  }
}

/**
 * A request that may have run is sent again only if it is idempotent: a second
 * escort assignment would put two staff at one gate.
 */
function mayRetry (state: FlowState, view: FlowView): boolean {
  const isProvenNotRun = mergeOutcomes(listOutcomes(state)) === Outcome.NotRun
  if (!state.policy.isIdempotent && !isProvenNotRun) return false
  return state.attempts.length < state.policy.maxAttempts && view.hasToken && view.isBodyWhole
}

/** Decorrelated jitter: each back-off is drawn between the base and three times the last one. */
function computeBackOff (lastSpan: number, jitter: number): number {
  return Math.min(MAX_BACK_OFF, BASE_BACK_OFF + jitter * (lastSpan * BACK_OFF_GROWTH - BASE_BACK_OFF))
}

function handleAnswer (state: FlowState, event: EventOf<FlowEventKind.AnswerBegan>): FlowStep {
  const attempt = state.attempts[event.attemptId]
  const isWanted = attempt?.state === AttemptState.Sent && state.phase === FlowPhase.Running
  if (!isWanted) return hold(state, [{ kind: FlowEffectKind.CancelAttempt, attemptId: event.attemptId }])
  const answered = setAttempt(state, event.attemptId, { ...attempt, state: AttemptState.Answering })
  const { state: rest, effects } = cancelOpen(answered)
  return { state: { ...rest, phase: FlowPhase.Answered }, effects: [{ kind: FlowEffectKind.Answer, attemptId: event.attemptId }, ...effects] }
}

function handleTimer (state: FlowState, event: EventOf<FlowEventKind.TimerDue>, view: FlowView): FlowStep {
  if (state.phase !== FlowPhase.Running) return hold(state)
  return event.timer === FlowTimer.Retry ? handleRetryDue(state, view) : handleHedgeDue(state, view)
}

function handleRetryDue (state: FlowState, view: FlowView): FlowStep {
  if (state.retryAt === undefined) return hold(state)
  const due = { ...state, retryAt: undefined }
  if (hasPassed(due.policy.deadline, view.now) || !view.isBodyWhole) return refuse(due)
  return addAttempt(due, AttemptPurpose.Retry, [])
}

function handleHedgeDue (state: FlowState, view: FlowView): FlowStep {
  const isSlow = state.attempts.length === 1 && state.attempts[0]?.state === AttemptState.Sent
  if (!isSlow || !state.policy.isIdempotent || !view.hasToken || !view.isBodyShared) return hold(state)
  if (hasPassed(state.policy.deadline, view.now)) return hold(state)
  return addAttempt(state, AttemptPurpose.Hedge, [{ kind: FlowEffectKind.SpendToken }])
}

function addAttempt (state: FlowState, purpose: AttemptPurpose, before: readonly FlowEffect[]): FlowStep {
  const attemptId = state.attempts.length
  const attempts = [...state.attempts, { purpose, state: AttemptState.Acquiring }]
  const acquire: FlowEffect = { kind: FlowEffectKind.AcquireSlot, attemptId, purpose, wish: buildWish(state) }
  return { state: { ...state, attempts }, effects: [...before, acquire] }
}

/** Another worker of the same failure domain first; after two failures there, another domain. */
function buildWish (state: FlowState): PlaceWish {
  const counts = new Map<string, number>()
  for (const { failureDomain } of state.attempts) {
    if (failureDomain !== undefined) counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
  }
  const avoided = new Set([...counts].filter(([, count]) => count >= FAILURES_TO_AVOID).map(([domain]) => domain))
  const last = state.attempts.at(-1)?.failureDomain
  const preferred = last === undefined || avoided.has(last) ? undefined : last
  const excludedWorkers = new Set(state.attempts.flatMap(({ workerId }) => workerId ?? []))
  return { preferred, avoided, excludedWorkers }
}

function settleOrWait (state: FlowState): FlowStep {
  return hasOpenAttempt(state) ? hold(state) : refuse(state)
}

/** Ends the request now: what is still under way counts as it stands. */
function refuse (state: FlowState): FlowStep {
  const outcome = mergeOutcomes(listOutcomes(state))
  const { state: rest, effects } = cancelOpen(state)
  return { state: { ...rest, phase: FlowPhase.Refused }, effects: [...effects, { kind: FlowEffectKind.Refuse, outcome }] }
}

function cancelOpen (state: FlowState): FlowStep {
  const effects: FlowEffect[] = [FlowTimer.Retry, FlowTimer.Hedge].map((timer) => ({ kind: FlowEffectKind.StopTimer, timer }))
  const attempts = state.attempts.map((attempt, attemptId) => {
    if (!OPEN_STATES.has(attempt.state)) return attempt
    effects.push({ kind: FlowEffectKind.CancelAttempt, attemptId })
    return { ...attempt, state: AttemptState.Cancelled }
  })
  return { state: { ...state, attempts, retryAt: undefined }, effects }
}

/** An attempt that was handed to the transport and has not ended may have run. */
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
  return { ...state, attempts: state.attempts.map((each, index) => index === attemptId ? attempt : each) }
}

function addEffectsBefore (effects: readonly FlowEffect[], step: FlowStep): FlowStep {
  return { state: step.state, effects: [...effects, ...step.effects] }
}

function hold (state: FlowState, effects: readonly FlowEffect[] = []): FlowStep {
  return { state, effects }
}
