/**
 * When a step is measured. Measuring runs beside settling, not after it: nodes
 * report in the second half of the settle time, and whoever has not been heard
 * by its end is asked.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { PlannerState } from './plannerState.js'

/**
 * A measurement counts as taken after a step from this part of the settle time
 * on: demand is a mean over a moment and needs one to show the step.
 */
export const MEASURE_PART = 0.5
/**
 * A node reports after this part, counted from when the step was in force there.
 * A node that watches the store may see a step before its writer knows that it
 * was written; a report right at `MEASURE_PART` would then come too early to count.
 */
const REPORT_PART = 0.7
/** The holder asks for measurements after this part if reports are missing. */
const ASK_PART = 0.85

/**
 * @param inForceAt when a step was in force at a node
 * @param settleMs the operators' settle time, in milliseconds
 * @returns when the node reports its measurement to the holder
 */
export function computeReportAt (inForceAt: Instant, settleMs: number): Deadline {
  return createDeadline(inForceAt, settleMs * REPORT_PART)
}

/**
 * @param seenAt when the holder knew that the step was written
 * @param settleMs the operators' settle time, in milliseconds
 * @returns when the holder asks for what was not reported
 */
export function computeAskAt (seenAt: Instant, settleMs: number): Deadline {
  return createDeadline(seenAt, settleMs * ASK_PART)
}

/**
 * @param state what the planner knows
 * @param now the present
 * @returns when the next service that moves has settled; undefined if none is settling
 */
export function findNextSettled (state: PlannerState, now: Instant): Deadline | undefined {
  const settleMs = state.configuration?.body.shiftCaps.settleMs ?? 0
  const dues = [...state.plans.values()]
    .filter((plan) => plan.isMoving)
    .map((plan) => createDeadline(plan.seenAt, settleMs))
    .filter((due) => due > now)
  return dues.length === 0 ? undefined : Math.min(...dues)
}

/**
 * @param state what the planner knows
 * @param now the present
 * @returns whether a service that moves has settled, so that only measurements are missing for its next step
 */
export function isAwaitingReports (state: PlannerState, now: Instant): boolean {
  const settleMs = state.configuration?.body.shiftCaps.settleMs ?? 0
  return [...state.plans.values()].some((plan) => plan.isMoving && hasPassed(createDeadline(plan.seenAt, settleMs), now))
}
