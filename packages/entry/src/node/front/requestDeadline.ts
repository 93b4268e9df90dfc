/** When a request must be answered. */
import type { IncomingMessage } from 'node:http'
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { HeaderRewriter } from './headerRewriter.js'

/** For requests that state no deadline. */
const DEFAULT_CALLER_TIMEOUT_MS = 10_000
/** How long after the deadline a response is still awaited: a worker that reached the deadline reports it by its response. */
export const RESPONSE_SLACK_MS = 150

/**
 * @param headerRewriter reads the request
 * @param message the request
 * @param arrivedAt when it arrived
 * @returns when its caller stops waiting
 */
export function getCallerDeadline (headerRewriter: HeaderRewriter, message: IncomingMessage, arrivedAt: Instant): Deadline {
  return arrivedAt + (headerRewriter.getCallerTimeoutMs(message) ?? DEFAULT_CALLER_TIMEOUT_MS)
}

/**
 * @param route the route of the request
 * @param arrivedAt when the request arrived
 * @param callerDeadline when its caller stops waiting
 * @returns when the request must be answered
 */
export function computeRequestDeadline ({ timeoutMs }: RoutePolicy, arrivedAt: Instant, callerDeadline: Deadline): Deadline {
  return Math.min(callerDeadline, arrivedAt + timeoutMs)
}
