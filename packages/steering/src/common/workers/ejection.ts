/**
 * Ejection keeps away from workers that fail again and again; a floor keeps it
 * from emptying a domain when the fault lies on our side. An ejected worker comes
 * back on trial: one request at a time, until one is answered whole.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { LONG_PAST, type MutableWorkerState, type WorkerPolicy, type WorkerState } from './workerState.js'

/** The greatest part of a domain's workers that may be ejected at a time. */
const MAX_EJECTED_PART = 0.5
/** How much the newest request counts in the moving mean of failures. */
const RATE_GAIN = 0.1
/** A worker that fails this part of its requests is ejected although answers come in between. */
const RATE_TO_EJECT = 0.5
/** The mean says nothing before so many requests. */
const LEAST_RATED = 10
/** Failed probes in a row that eject a worker of which no request tells anything. */
const PROBE_FAILURES_TO_EJECT = 3
/**
 * Whoever answered whole within this is not ejected for its probes: a health
 * endpoint may be broken or lie while the worker serves well.
 */
const ANSWER_OUTWEIGHS_PROBES_SPAN_MS = 5_000

type States = ReadonlyMap<string, MutableWorkerState>

/**
 * @param state a worker
 * @param now the present
 * @returns whether its ejection is over but no answer has proved it well yet
 */
export function isOnTrial (state: WorkerState, now: Instant): boolean {
  return state.ejectionsInRow > 0 && hasPassed(state.ejectedUntil, now)
}

/**
 * @param states a domain's workers
 * @param now the present
 * @returns those that are ejected; draining ones take no work and do not count
 */
export function listEjected (states: States, now: Instant): MutableWorkerState[] {
  return [...states.values()].filter((state) => !state.isDraining && !hasPassed(state.ejectedUntil, now))
}

/**
 * Where workers left or drain, fewer may be ejected; those whose ejection ends
 * first come back.
 * @param states a domain's workers
 * @param now the present
 */
export function releaseBeyondFloor (states: States, now: Instant): void {
  const ejected = listEjected(states, now).sort((left, right) => left.ejectedUntil - right.ejectedUntil)
  const surplus = Math.max(0, ejected.length - computeMostEjected(states))
  for (const state of ejected.slice(0, surplus)) state.ejectedUntil = LONG_PAST
}

/**
 * @param state the worker that answered a request whole
 * @param now the present
 */
export function recordSuccess (state: MutableWorkerState, now: Instant): void {
  state.failuresInRow = 0
  state.ejectionsInRow = 0
  state.ejectedUntil = LONG_PAST
  state.probeFailuresInRow = 0
  state.unreachableSince = undefined
  state.answeredAt = Math.max(state.answeredAt, now)
  recordRate(state, false)
}

/**
 * Counts a failed request and ejects after too many in a row, after too many on
 * average, or after one on trial.
 * @param states the domain's workers
 * @param state the worker that failed
 * @param policy when to eject, and for how long
 * @param now the present
 */
export function recordFailure (states: States, state: MutableWorkerState, policy: WorkerPolicy, now: Instant): void {
  state.failuresInRow++
  recordRate(state, true)
  const isFailingOften = state.rated >= LEAST_RATED && state.failureRate >= RATE_TO_EJECT
  if (state.failuresInRow < policy.failuresToEject && !isFailingOften && !isOnTrial(state, now)) return
  startEjection(states, state, policy, now)
}

/**
 * Counts a failed probe. It ejects only a worker of which no request tells
 * better; on trial the request decides, not the probe.
 * @param states the domain's workers
 * @param state the worker
 * @param policy for how long to eject
 * @param now the present
 */
export function recordProbeFailure (states: States, state: MutableWorkerState, policy: WorkerPolicy, now: Instant): void {
  if (now - state.answeredAt < ANSWER_OUTWEIGHS_PROBES_SPAN_MS) return
  state.unreachableSince ??= now
  state.probeFailuresInRow++
  if (state.probeFailuresInRow < PROBE_FAILURES_TO_EJECT || isOnTrial(state, now)) return
  startEjection(states, state, policy, now)
}

function startEjection (states: States, state: MutableWorkerState, policy: WorkerPolicy, now: Instant): void {
  if (!hasPassed(state.ejectedUntil, now)) return
  if (!state.isDraining && listEjected(states, now).length + 1 > computeMostEjected(states)) return
  const spanMs = policy.ejectionSpanMs * 2 ** state.ejectionsInRow
  state.ejectedUntil = createDeadline(now, Math.min(spanMs, policy.longestEjectionSpanMs))
  state.ejectionsInRow++
  state.failuresInRow = 0
  state.probeFailuresInRow = 0
  state.failureRate = 0
  state.rated = 0
}

function recordRate (state: MutableWorkerState, isFailure: boolean): void {
  state.failureRate += RATE_GAIN * (Number(isFailure) - state.failureRate)
  state.rated++
}

function computeMostEjected (states: States): number {
  let count = 0
  for (const state of states.values()) {
    if (!state.isDraining) count++
  }
  return Math.floor(count * MAX_EJECTED_PART)
}
