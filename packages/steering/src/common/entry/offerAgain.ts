/**
 * Whether a request is offered to another worker after an offer that brought no answer.
 *
 * The load pattern: workers that refuse a part of what they get, break off or lose
 * answers. Each further offer draws on a budget that all entry VMs share, and may
 * run the request once more.
 */
import { isRetryable, type RoutePolicy } from './steeringDocument.js'

/** Offers that could not be sent are made anew this often; each costs an opening time. */
const MAX_UNSENT_ATTEMPTS = 3
/** Offers beyond the route's attempts that workers may refuse: such a refusal is no run. */
const MAX_EXTRA_REJECTIONS = 2

/** What has been done for a request so far. */
export interface AttemptCounts {
  /** Offers that were sent to a worker. */
  readonly sent: number
  /** Offers that could not be sent. */
  readonly unsent: number
}

/** @returns whether a request is offered again after an offer that could not be sent */
export function mayOfferAfterUnsent ({ unsent }: AttemptCounts): boolean {
  return unsent <= MAX_UNSENT_ATTEMPTS
}

/** @returns whether a request is offered again after a worker that did not run it */
export function mayOfferAfterRefusal ({ attempts }: RoutePolicy, { sent }: AttemptCounts): boolean {
  return sent < attempts + MAX_EXTRA_REJECTIONS - 1
}

/** @returns whether a request is offered again after an offer that may have run it */
export function mayOfferAfterRun ({ kind, attempts }: RoutePolicy, { sent }: AttemptCounts): boolean {
  return isRetryable(kind) && sent < attempts
}
