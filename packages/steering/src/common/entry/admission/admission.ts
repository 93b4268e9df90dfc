/**
 * Admission control: whether a request is sent to the worker chosen for it or rejected at
 * once.
 *
 * Guards against overload, when a burst, the loss of a region or immediate client retries
 * bring more requests than there are slots. Admitting them all would only make the queues
 * longer, and answers that come late have a fifth of their value to callers.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { UpstreamChoice } from '../workers/chooseUpstream.js'

/** The properties of a request, beside its chosen worker, that decide on its admission. */
export interface AdmissionRequest {
  readonly now: Instant
  /** An answer after this instant has no value. */
  readonly deadline: Deadline
  /** Whether enough answers were observed to estimate the service time. */
  readonly hasEnoughSamples: boolean
  /** Whether the request was already sent to a worker, and so has already used a slot. */
  readonly wasSent: boolean
  /** Saturation of the service, from 0 (free slots) to 1 (no free slots). */
  readonly saturation: number
}

/** A request with a score below this fraction of an on-time answer's value only takes a slot from others. */
const MIN_SCORE = 0.02
/**
 * In a saturated service, requests with a lower probability of an answer on time are rejected.
 * Whatever is sent takes the same slots: with short queues as many answers as possible come on
 * time, while with long queues all come late, for a fifth of the value. The probability
 * assumes a cache hit, so a request is not rejected for an object that is not cached yet; the
 * next request for the object will hit the cache.
 */
const MIN_ON_TIME_PROBABILITY = 0.35
/** Saturation from which a service counts as without free slots. */
export const FULL_SATURATION = 0.9

/**
 * Until the service time is known, only the wait counts. Otherwise an initial estimate that is
 * too high would reject all requests and never be corrected.
 */
function isTooLate ({ score, expectedMs, waitMs }: UpstreamChoice, { now, deadline, hasEnoughSamples }: AdmissionRequest): boolean {
  return score < MIN_SCORE && now + (hasEnoughSamples ? expectedMs : waitMs) > deadline
}

function isOverloaded ({ onTimeProbabilityOnHit }: UpstreamChoice, { hasEnoughSamples, wasSent, saturation }: AdmissionRequest): boolean {
  return !wasSent && hasEnoughSamples && onTimeProbabilityOnHit < MIN_ON_TIME_PROBABILITY && saturation >= FULL_SATURATION
}

/**
 * @param choice the best candidate for the request
 * @param request the request
 * @returns whether to send the request to the candidate rather than reject it
 */
export function shouldAdmit (choice: UpstreamChoice, request: AdmissionRequest): boolean {
  return !isTooLate(choice, request) && !isOverloaded(choice, request)
}
