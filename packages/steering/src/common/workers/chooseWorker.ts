/** The choice of a worker: the better of two at random (power of two choices). */
import type { Instant } from '@umberspar/base/common/clock'
import { hasPassed } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { WorkerState } from './workerTable.js'

/** A load report counts half after so many milliseconds. */
const LOAD_HALF_LIFE_MS = 1_000
/**
 * A report beyond this counts as this. A worker that claims an absurd load would
 * otherwise lose all traffic; and since our own requests in flight count beside
 * the report, one that claims none cannot attract all of it.
 */
const MAX_UTILIZATION = 1
/** The weight with which a cold worker begins. */
const LEAST_WARMTH = 0.1

const NOTHING_EXCLUDED: ReadonlySet<string> = new Set()

/** The part of a worker's full weight that it has reached while warming up. */
function computeWarmth (worker: WorkerState, now: Instant): number {
  if (hasPassed(worker.warmUpUntil, now)) return 1
  const part = (now - worker.warmUpFrom) / (worker.warmUpUntil - worker.warmUpFrom)
  return Math.max(LEAST_WARMTH, Math.min(1, part))
}

function computeReportedLoad (worker: WorkerState, now: Instant): number {
  if (worker.load === undefined) return 0
  const ageMs = Math.max(0, now - worker.load.takenAt)
  const utilization = Math.min(MAX_UTILIZATION, Math.max(0, worker.load.utilization))
  return utilization * 2 ** (-ageMs / LOAD_HALF_LIFE_MS)
}

/**
 * Rates a worker with one more request: our part of its slots in use, plus what
 * it reported, divided by how warm it is.
 * @param worker the worker
 * @param now the present
 * @returns the score; lower is better
 */
export function computeScore (worker: WorkerState, now: Instant): number {
  const own = (worker.inFlight + 1) / worker.slots
  return (own + computeReportedLoad(worker, now)) / computeWarmth(worker, now)
}

function isEligible (worker: WorkerState, now: Instant, excluded: ReadonlySet<string>): boolean {
  if (worker.isDraining || worker.inFlight >= worker.slots) return false
  return hasPassed(worker.ejectedUntil, now) && !excluded.has(worker.workerId)
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
  return computeScore(second, now) < computeScore(first, now) ? second.workerId : first.workerId
}
