/** The step in which a worker announces a rate limit. */
import { waitFor } from '@umberspar/testing/node/waiting'
import type { SoakStep } from '../common/soakPlan.js'
import type { SoakEnvironment } from './soakSteps.js'

/** Limits that workers announce, in requests per second. */
const MIN_PER_SECOND = 0.5
const PER_SECOND_RANGE = 4
/** How long they announce one: longer than until it is checked, and not into the recovery at the end of a run. */
const MIN_DURATION_MS = 5_000
const SPAN_RATIO = 0.5

/**
 * @param environment the objects of the run
 * @param step selects the worker, the limit and its duration
 * @returns whether the step was run
 */
export async function runRateLimit ({ workers, clock }: SoakEnvironment, step: SoakStep): Promise<boolean> {
  const list = workers.list()
  const limited = list[Math.floor(step.target * list.length)]
  if (limited === undefined || limited.worker.rateLimit !== undefined) return false
  workers.setRateLimit(limited, MIN_PER_SECOND + PER_SECOND_RANGE * step.variant)
  await waitFor(clock, MIN_DURATION_MS + step.spanMs * SPAN_RATIO)
  workers.setRateLimit(limited, undefined)
  return true
}
