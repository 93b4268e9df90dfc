/**
 * Whether a request is offered to the worker chosen for it, or refused at once.
 *
 * The load pattern: more requests than there are slots, for as long as a burst, a
 * lost region or callers that repeat at once last. What is offered then only makes
 * queues longer, and answers that come late are worth a fifth to their callers.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { Choice } from './chooseUpstream.js'

/** What a request is judged by, beside its choice. */
export interface AdmissionRequest {
  readonly now: Instant
  /** After that an answer is worth nothing. */
  readonly latestAt: Deadline
  /** Whether enough answers came to know how long the work takes. */
  readonly isLearned: boolean
  /** Whether the request was sent to a worker before; then a slot has been taken from others already. */
  readonly wasSent: boolean
  /** How busy the service is: 0 with slots to spare, 1 with none. */
  readonly busyness: number
}

/** Below this expected worth, as a part of a timely answer, a request only takes a slot from others. */
const MIN_SCORE = 0.02
/**
 * In a service without free slots, requests below this chance of an answer in time
 * are refused. All that is sent there takes the same slots; with queues short the
 * same number of answers comes in time, where with long ones all come late, for a
 * fifth of the worth. An object that is not at hand yet does not count against its
 * request: it will be at hand for the next.
 */
const MIN_ON_TIME_PROBABILITY = 0.35
/** From this busyness on a service counts as without free slots. */
const FULL_SATURATION = 0.9

/** Before anything is learned only the wait counts: it would never be learned that the work takes less than is taken for granted. */
function isTooLate ({ value: score, expectedMs, waitMs }: Choice, { now, latestAt: deadline, isLearned: hasEnoughSamples }: AdmissionRequest): boolean {
  return score < MIN_SCORE && now + (hasEnoughSamples ? expectedMs : waitMs) > deadline
}

function isOverloaded ({ onTimeProbabilityOnHit }: Choice, { isLearned: hasEnoughSamples, wasSent, busyness: saturation }: AdmissionRequest): boolean {
  return !wasSent && hasEnoughSamples && onTimeProbabilityOnHit < MIN_ON_TIME_PROBABILITY && saturation >= FULL_SATURATION
}

/**
 * @param choice the best worker for the request
 * @param request the request
 * @returns whether it is offered there; else it is refused
 */
export function shouldOffer (choice: Choice, request: AdmissionRequest): boolean {
  return !isTooLate(choice, request) && !isOverloaded(choice, request)
}
