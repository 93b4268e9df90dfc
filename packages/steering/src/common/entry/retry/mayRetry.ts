/**
 * Whether a request is retried at another worker after an attempt that brought no answer.
 *
 * Workers may reject a fraction of their requests, break connections or lose answers. Each
 * retry draws on a budget shared by all entry VMs, and may execute the request once more.
 */
import { isRetryable, type RoutePolicy } from '../steeringDocument.js'

/** Limit on retries after attempts that could not be sent. Each costs the time to open a connection. */
const MAX_UNSENT_ATTEMPTS = 3
/** Attempts beyond the route's limit that workers may reject, since a rejected request was not executed. */
const MAX_EXTRA_REJECTIONS = 2

/** The attempts made for a request so far. */
export interface AttemptCounts {
  /** Attempts that were sent to a worker. */
  readonly sent: number
  /** Attempts that could not be sent. */
  readonly unsent: number
}

/** @returns whether to retry after an attempt that could not be sent */
export function mayRetryAfterUnsent ({ unsent }: AttemptCounts): boolean {
  return unsent <= MAX_UNSENT_ATTEMPTS
}

/** @returns whether to retry after a worker rejected the request without executing it */
export function mayRetryAfterRefusal ({ attempts }: RoutePolicy, { sent }: AttemptCounts): boolean {
  return sent < attempts + MAX_EXTRA_REJECTIONS - 1
}

/** @returns whether to retry after an attempt that may have executed the request */
export function mayRetryAfterPossibleRun ({ kind, attempts }: RoutePolicy, { sent }: AttemptCounts): boolean {
  return isRetryable(kind) && sent < attempts
}
