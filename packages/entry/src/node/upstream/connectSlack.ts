/** How long opening a connection may take. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'

/** How much longer than the round trip time opening a connection may take, in milliseconds. */
const CONNECT_SLACK_MS = 250

/**
 * @param now the current time
 * @param roundTripMs the round trip time to the other side, in milliseconds
 * @returns when a connection that is not open counts as failed
 */
export function createConnectDeadline (now: Instant, roundTripMs: number): Deadline {
  return createDeadline(now, roundTripMs + CONNECT_SLACK_MS)
}
