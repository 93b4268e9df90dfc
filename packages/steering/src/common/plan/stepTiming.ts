/**
 * When the effect of a step is measured. Measurements are taken during the settle
 * time, not after it: nodes report in its second half, and the lease holder asks
 * those whose reports are missing toward its end.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { PlannerState } from './plannerState.js'

/**
 * A measurement counts for a step only if it was taken after this fraction of the
 * settle time: demand is a mean over a time window, which must reach past the step.
 */
export const MIN_MEASUREMENT_DELAY_RATIO = 0.5
/**
 * A node reports after this fraction of the settle time, counted from when the step
 * took effect there. A node that watches the store may see a step before its writer
 * learns that the write succeeded, so a report right at
 * {@link MIN_MEASUREMENT_DELAY_RATIO} would be too early to count.
 */
const REPORT_DELAY_RATIO = 0.7
/** If reports are missing, the lease holder asks for them after this fraction of the settle time. */
const REQUEST_DELAY_RATIO = 0.85

/**
 * @param inForceAt when a step took effect at a node
 * @param settleMs the configured settle time
 * @returns when the node reports its measurement to the lease holder
 */
export function computeMeasurementReportTime (inForceAt: Instant, settleMs: number): Deadline {
  return createDeadline(inForceAt, settleMs * REPORT_DELAY_RATIO)
}

/**
 * @param seenAt when the lease holder learned that the step was written
 * @param settleMs the configured settle time
 * @returns when the lease holder asks for missing reports
 */
export function computeMeasurementRequestTime (seenAt: Instant, settleMs: number): Deadline {
  return createDeadline(seenAt, settleMs * REQUEST_DELAY_RATIO)
}

/**
 * @param state the planner's state
 * @param now the current time
 * @returns when the settle time of the next moving service ends; undefined if no service is settling
 */
export function findNextSettleTime (state: PlannerState, now: Instant): Deadline | undefined {
  const settleMs = state.configuration?.body.shiftCaps.settleMs ?? 0
  const settleTimes = [...state.plans.values()]
    .filter((plan) => plan.isMoving)
    .map((plan) => createDeadline(plan.seenAt, settleMs))
    .filter((due) => due > now)
  return settleTimes.length === 0 ? undefined : Math.min(...settleTimes)
}

/**
 * @param state the planner's state
 * @param now the current time
 * @returns whether the settle time of a moving service has ended, so that its next step needs only fresh measurements
 */
export function isAwaitingMeasurements (state: PlannerState, now: Instant): boolean {
  const settleMs = state.configuration?.body.shiftCaps.settleMs ?? 0
  return [...state.plans.values()].some((plan) => plan.isMoving && hasPassed(createDeadline(plan.seenAt, settleMs), now))
}
