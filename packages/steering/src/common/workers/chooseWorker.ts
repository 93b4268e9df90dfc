/**
 * The choice of a worker: the better of two at random (power of two choices), by
 * our own requests in flight, the load that workers report, how long they take to
 * answer, and slow start.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { hasPassed } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import { isOnTrial } from './ejection.js'
import type { WorkerState } from './workerState.js'

/** A load report counts half after so many milliseconds. */
const LOAD_HALF_LIFE_MS = 1_000
/**
 * How far a report may lift or sink a worker from the median of its place. A
 * worker that claims to be idle, or full, thus gains or loses no more than this
 * part of its slots; beyond that our own requests in flight decide, which no
 * worker can misreport.
 */
const MAX_REPORTED_DIFFERENCE = 0.5
/**
 * The part of choices that leave reports aside. With little load even the bounded
 * difference decides every comparison; a good worker that claims to be full would
 * get nothing at all.
 */
const UNREPORTED_PART = 0.2
/** A worker is rated down for its answer times by no more than this factor. */
const MAX_SLOWNESS = 8
/** Without answers, a worker's slowness counts half after so many milliseconds. */
const SLOWNESS_HALF_LIFE_MS = 5_000
/** The weight with which a cold worker begins. */
const LEAST_WARMTH = 0.1

const NOTHING_EXCLUDED: ReadonlySet<string> = new Set()

/** The part of a worker's full weight that it has reached while warming up. */
function computeWarmth (worker: WorkerState, now: Instant): number {
  if (hasPassed(worker.warmUpUntil, now)) return 1
  const part = (now - worker.warmUpFrom) / (worker.warmUpUntil - worker.warmUpFrom)
  return Math.max(LEAST_WARMTH, Math.min(1, part))
}

/** What is usual in a place; single workers are judged by how they differ from it. */
export interface PlaceMedians {
  /** Of what workers report, each bounded to 0 to 1; 0 counts for those without a report. */
  readonly load: number
  /** Of how long they take to begin an answer, in milliseconds; 0 if no answer came yet. */
  readonly answerMs: number
}

/**
 * @param workers the workers of a place
 * @returns what is usual among them
 */
export function computeMedians (workers: readonly WorkerState[]): PlaceMedians {
  return {
    load: computeMedian(workers.map(({ load }) => Math.min(1, Math.max(0, load?.utilization ?? 0)))),
    answerMs: computeMedian(workers.flatMap(({ answerTime }) => answerTime?.meanMs ?? []))
  }
}

function computeMedian (values: number[]): number {
  if (values.length === 0) return 0
  values.sort((left, right) => left - right)
  const middle = values.length >> 1
  return values.length % 2 === 1 ? values[middle]! : (values[middle - 1]! + values[middle]!) / 2
}

/**
 * How many times slower than usual a worker answers. One that is faster gains
 * nothing by it: answers that come at once may be worth nothing. Without answers
 * the judgement fades, so that a slow worker is tried again.
 */
function computeSlowness ({ answerTime }: WorkerState, now: Instant, answerMs: number): number {
  if (answerTime === undefined || answerMs === 0) return 1
  const ageMs = Math.max(0, now - answerTime.updatedAt)
  const excess = Math.min(MAX_SLOWNESS, Math.max(1, answerTime.meanMs / answerMs)) - 1
  return 1 + excess * 2 ** (-ageMs / SLOWNESS_HALF_LIFE_MS)
}

/** An old report, or none, counts as the median: a silent worker must not look idle. */
function computeReportedLoad (worker: WorkerState, now: Instant, median: number): number {
  if (worker.load === undefined) return median
  const ageMs = Math.max(0, now - worker.load.takenAt)
  const difference = Math.min(1, Math.max(0, worker.load.utilization)) - median
  const bounded = Math.min(MAX_REPORTED_DIFFERENCE, Math.max(-MAX_REPORTED_DIFFERENCE, difference))
  return median + bounded * 2 ** (-ageMs / LOAD_HALF_LIFE_MS)
}

/**
 * Rates a worker with one more request: our part of its slots in use, plus what
 * it reported, for as much longer as it takes to answer, divided by how warm it is.
 * @param worker the worker
 * @param now the present
 * @param medians what is usual in its place
 * @returns the score; lower is better
 */
export function computeScore (worker: WorkerState, now: Instant, medians: PlaceMedians): number {
  const own = (worker.inFlight + 1) / worker.slots
  const load = own + computeReportedLoad(worker, now, medians.load)
  return load * computeSlowness(worker, now, medians.answerMs) / computeWarmth(worker, now)
}

function isEligible (worker: WorkerState, now: Instant, excluded: ReadonlySet<string>): boolean {
  if (worker.isDraining || worker.inFlight >= worker.slots) return false
  if (!hasPassed(worker.ejectedUntil, now) || excluded.has(worker.workerId)) return false
  // One request finds out whether the worker is well again; more would fail with it.
  return worker.inFlight === 0 || !isOnTrial(worker, now)
}

/**
 * Chooses a worker for one request.
 * @param candidates the workers of a service in one failure domain
 * @param now the present
 * @param random a seeded source
 * @param excluded workers that this request has tried
 * @returns a worker's id, or undefined if none may take the request now
 */
export function chooseWorker (
  candidates: readonly WorkerState[],
  now: Instant,
  random: IRandomSource,
  excluded: ReadonlySet<string> = NOTHING_EXCLUDED
): string | undefined {
  const eligible = candidates.filter((worker) => isEligible(worker, now, excluded))
  if (eligible.length < 2) return eligible[0]?.workerId
  const firstIndex = Math.floor(random.next() * eligible.length)
  // The second is drawn from the others, so that both always differ.
  const step = 1 + Math.floor(random.next() * (eligible.length - 1))
  const first = eligible[firstIndex] as WorkerState
  const second = eligible[(firstIndex + step) % eligible.length] as WorkerState
  const medians = computeMedians(candidates)
  if (random.next() < UNREPORTED_PART) return compareWorkers(removeLoad(first), removeLoad(second), now, medians)
  return compareWorkers(first, second, now, medians)
}

function compareWorkers (first: WorkerState, second: WorkerState, now: Instant, medians: PlaceMedians): string {
  return computeScore(second, now, medians) < computeScore(first, now, medians) ? second.workerId : first.workerId
}

function removeLoad (worker: WorkerState): WorkerState {
  return { ...worker, load: undefined }
}
