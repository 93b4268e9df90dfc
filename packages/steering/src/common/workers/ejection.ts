/**
 * Outlier ejection: stops sending requests to workers that fail repeatedly. At most a
 * fixed fraction of a failure domain's workers is ejected, so that a fault on this VM's
 * side doesn't empty the domain. An ejected worker returns on probation: it gets one
 * request at a time until one gets a complete response.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { DISTANT_PAST, type MutableWorkerState, type WorkerPolicy, type WorkerState } from './workerState.js'

const MAX_EJECTED_RATIO = 0.5
/** The weight of the latest request in the moving average of failures. */
const FAILURE_RATE_SMOOTHING_RATIO = 0.1
/** Ejects a worker that fails this fraction of its requests, although successes in between reset its consecutive failures. */
const MIN_FAILURE_RATIO_TO_EJECT = 0.5
/** The moving average isn't meaningful before this many requests. */
const MIN_REQUESTS_FOR_FAILURE_RATE = 10
/** Consecutive failed probes that eject a worker without recent responses. */
const MIN_PROBE_FAILURES_TO_EJECT = 3
/**
 * Failed probes are ignored for this long after a complete response: a worker's health
 * endpoint may be broken while the worker serves requests well.
 */
const RESPONSE_OVERRIDES_PROBES_MS = 5_000

type WorkerStates = ReadonlyMap<string, MutableWorkerState>

/**
 * @param state the worker
 * @param now the current time
 * @returns whether its ejection has ended but it has not given a complete response since
 */
export function isOnProbation (state: WorkerState, now: Instant): boolean {
  return state.ejectionsInRow > 0 && hasPassed(state.ejectedUntil, now)
}

/**
 * @param states the workers of a service in one failure domain
 * @param now the current time
 * @returns the ejected workers, without draining ones, which take no requests anyway
 */
export function listEjectedWorkers (states: WorkerStates, now: Instant): MutableWorkerState[] {
  return [...states.values()].filter((state) => !state.isDraining && !hasPassed(state.ejectedUntil, now))
}

/**
 * Ends ejections that exceed the limit after workers were removed or began to drain,
 * beginning with those that would end first.
 * @param states the workers of a service in one failure domain
 * @param now the current time
 */
export function endExcessEjections (states: WorkerStates, now: Instant): void {
  const ejected = listEjectedWorkers(states, now).sort((left, right) => left.ejectedUntil - right.ejectedUntil)
  const excess = Math.max(0, ejected.length - computeMaxEjected(states))
  for (const state of ejected.slice(0, excess)) state.ejectedUntil = DISTANT_PAST
}

/**
 * Records a complete response, which ends the worker's ejection and probation.
 * @param state the worker that responded
 * @param now when it responded; -Infinity if failed probes should still count
 */
export function recordSuccess (state: MutableWorkerState, now: Instant): void {
  state.consecutiveFailures = 0
  state.ejectionsInRow = 0
  state.ejectedUntil = DISTANT_PAST
  state.consecutiveProbeFailures = 0
  state.unreachableSince = undefined
  state.lastResponseAt = Math.max(state.lastResponseAt, now)
  updateFailureRate(state, false)
}

/**
 * Records a failed request. Ejects the worker after too many consecutive failures, at too
 * high a failure rate, or after one failure on probation.
 * @param states the workers of a service in one failure domain
 * @param state the worker that failed
 * @param policy when to eject and for how long
 * @param now the current time
 */
export function recordFailure (states: WorkerStates, state: MutableWorkerState, policy: WorkerPolicy, now: Instant): void {
  state.consecutiveFailures++
  updateFailureRate(state, true)
  const isFailingOften = state.failureRateSamples >= MIN_REQUESTS_FOR_FAILURE_RATE && state.failureRate >= MIN_FAILURE_RATIO_TO_EJECT
  if (state.consecutiveFailures < policy.failuresToEject && !isFailingOften && !isOnProbation(state, now)) return
  startEjection(states, state, policy, now)
}

/**
 * Records a failed probe. Probes eject only workers without a recent complete response.
 * On probation they don't eject: there the outcome of the next request decides.
 * @param states the workers of a service in one failure domain
 * @param state the worker whose probe failed
 * @param policy for how long to eject
 * @param now the current time
 */
export function recordProbeFailure (states: WorkerStates, state: MutableWorkerState, policy: WorkerPolicy, now: Instant): void {
  if (now - state.lastResponseAt < RESPONSE_OVERRIDES_PROBES_MS) return
  state.unreachableSince ??= now
  state.consecutiveProbeFailures++
  if (state.consecutiveProbeFailures < MIN_PROBE_FAILURES_TO_EJECT || isOnProbation(state, now)) return
  startEjection(states, state, policy, now)
}

function startEjection (states: WorkerStates, state: MutableWorkerState, policy: WorkerPolicy, now: Instant): void {
  if (!hasPassed(state.ejectedUntil, now)) return
  if (!state.isDraining && listEjectedWorkers(states, now).length + 1 > computeMaxEjected(states)) return
  const durationMs = policy.firstEjectionMs * 2 ** state.ejectionsInRow
  state.ejectedUntil = createDeadline(now, Math.min(durationMs, policy.maxEjectionMs))
  state.ejectionsInRow++
  state.consecutiveFailures = 0
  state.consecutiveProbeFailures = 0
  state.failureRate = 0
  state.failureRateSamples = 0
}

function updateFailureRate (state: MutableWorkerState, isFailure: boolean): void {
  state.failureRate += FAILURE_RATE_SMOOTHING_RATIO * (Number(isFailure) - state.failureRate)
  state.failureRateSamples++
}

function computeMaxEjected (states: WorkerStates): number {
  let count = 0
  for (const state of states.values()) {
    if (!state.isDraining) count++
  }
  return Math.floor(count * MAX_EJECTED_RATIO)
}
