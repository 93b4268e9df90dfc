/**
 * Chooses a worker for a request: two are drawn at random and the one with the lower
 * score wins (power of two choices). The score combines this VM's requests in flight,
 * the load that the worker reports, its response times and its slow start.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { hasPassed } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import { isOnProbation } from './ejection.js'
import type { WorkerState } from './workerState.js'

const LOAD_REPORT_HALF_LIFE_MS = 1_000
/**
 * Limits how far a worker's reported load may differ from the median of all candidates.
 * A worker that wrongly reports to be idle or full gains or loses at most this fraction
 * of its slots. Beyond that the requests in flight decide, which this VM counts itself
 * and no worker can misreport.
 */
const MAX_REPORTED_LOAD_DEVIATION_RATIO = 0.5
/**
 * The fraction of choices that ignore load reports. Under low load even the limited
 * deviation would decide every comparison, and a healthy worker that reports to be
 * full would receive no requests.
 */
const CHOICES_IGNORING_REPORTS_RATIO = 0.2
/** The largest factor by which slow responses raise a worker's score. */
const MAX_LATENCY_PENALTY = 8
/** Without new responses the penalty decays, so that a worker that was slow is tried again. */
const LATENCY_PENALTY_HALF_LIFE_MS = 5_000
/** The fraction of its full weight at which a cold worker starts. */
const MIN_WARM_UP_RATIO = 0.1

const NO_EXCLUDED_WORKERS: ReadonlySet<string> = new Set()

/** Computes the fraction of its full weight that a worker has reached in its warm-up, 1 after it. */
function computeWarmUpRatio (worker: WorkerState, now: Instant): number {
  if (hasPassed(worker.warmUpUntil, now)) return 1
  const elapsedRatio = (now - worker.warmUpStartedAt) / (worker.warmUpUntil - worker.warmUpStartedAt)
  return Math.max(MIN_WARM_UP_RATIO, Math.min(1, elapsedRatio))
}

/** Medians over the workers of a service in one failure domain; each worker is scored relative to them. */
export interface WorkerMedians {
  /** Reported utilization, clamped to 0 to 1; a worker without a report counts as 0. */
  readonly load: number
  /** Time until a response starts, in milliseconds; 0 before the first response. */
  readonly responseTimeMs: number
}

/**
 * @param workers the workers of a service in one failure domain
 * @returns the medians of their load and response times
 */
export function computeWorkerMedians (workers: readonly WorkerState[]): WorkerMedians {
  return {
    load: computeMedian(workers.map(({ load }) => Math.min(1, Math.max(0, load?.utilization ?? 0)))),
    responseTimeMs: computeMedian(workers.flatMap(({ answerTime }) => answerTime?.meanMs ?? []))
  }
}

function computeMedian (values: number[]): number {
  if (values.length === 0) return 0
  values.sort((left, right) => left - right)
  const middle = values.length >> 1
  return values.length % 2 === 1 ? values[middle]! : (values[middle - 1]! + values[middle]!) / 2
}

/**
 * Computes how many times slower than the median a worker responds. A faster worker gets
 * no bonus, as responses that come at once may be errors.
 */
function computeLatencyPenalty ({ answerTime }: WorkerState, now: Instant, medianMs: number): number {
  if (answerTime === undefined || medianMs === 0) return 1
  const ageMs = Math.max(0, now - answerTime.updatedAt)
  const excess = Math.min(MAX_LATENCY_PENALTY, Math.max(1, answerTime.meanMs / medianMs)) - 1
  return 1 + excess * 2 ** (-ageMs / LATENCY_PENALTY_HALF_LIFE_MS)
}

/** Lets a report decay toward the median; without one the median counts, so that a worker that reports nothing doesn't look idle. */
function computeReportedLoad (worker: WorkerState, now: Instant, median: number): number {
  if (worker.load === undefined) return median
  const ageMs = Math.max(0, now - worker.load.takenAt)
  const difference = Math.min(1, Math.max(0, worker.load.utilization)) - median
  const boundedDifference = Math.min(MAX_REPORTED_LOAD_DEVIATION_RATIO, Math.max(-MAX_REPORTED_LOAD_DEVIATION_RATIO, difference))
  return median + boundedDifference * 2 ** (-ageMs / LOAD_REPORT_HALF_LIFE_MS)
}

/**
 * Scores a worker as if it had one more request: the fraction of this VM's slots in use
 * plus the reported load, multiplied by the latency penalty and divided by the warm-up ratio.
 * @param worker the worker
 * @param now the current time
 * @param medians the medians of all candidates
 * @returns the score; lower is better
 */
export function computeScore (worker: WorkerState, now: Instant, medians: WorkerMedians): number {
  const ownUtilization = (worker.inFlight + 1) / worker.slots
  const load = ownUtilization + computeReportedLoad(worker, now, medians.load)
  return load * computeLatencyPenalty(worker, now, medians.responseTimeMs) / computeWarmUpRatio(worker, now)
}

function isEligible (worker: WorkerState, now: Instant, excluded: ReadonlySet<string>): boolean {
  if (worker.isDraining || worker.inFlight >= worker.slots) return false
  if (!hasPassed(worker.ejectedUntil, now) || !hasPassed(worker.pausedUntil, now) || excluded.has(worker.workerId)) return false
  // On probation one request shows whether the worker has recovered; others would fail with it.
  return worker.inFlight === 0 || !isOnProbation(worker, now)
}

/**
 * Chooses a worker for one request.
 * @param candidates the workers of a service in one failure domain
 * @param now the current time
 * @param random the seeded source of random numbers
 * @param excluded ids of workers that this request has already tried
 * @returns a worker's id, or undefined if no worker can take the request now
 */
export function chooseWorker (
  candidates: readonly WorkerState[],
  now: Instant,
  random: IRandomSource,
  excluded: ReadonlySet<string> = NO_EXCLUDED_WORKERS
): string | undefined {
  const eligible = candidates.filter((worker) => isEligible(worker, now, excluded))
  if (eligible.length < 2) return eligible[0]?.workerId
  const firstIndex = Math.floor(random.next() * eligible.length)
  // An offset below the length never returns to the first worker, so the two always differ.
  const step = 1 + Math.floor(random.next() * (eligible.length - 1))
  const first = eligible[firstIndex] as WorkerState
  const second = eligible[(firstIndex + step) % eligible.length] as WorkerState
  const medians = computeWorkerMedians(candidates)
  if (random.next() < CHOICES_IGNORING_REPORTS_RATIO) return chooseBetterWorker(removeLoadReport(first), removeLoadReport(second), now, medians)
  return chooseBetterWorker(first, second, now, medians)
}

function chooseBetterWorker (first: WorkerState, second: WorkerState, now: Instant, medians: WorkerMedians): string {
  return computeScore(second, now, medians) < computeScore(first, now, medians) ? second.workerId : first.workerId
}

function removeLoadReport (worker: WorkerState): WorkerState {
  return { ...worker, load: undefined }
}
