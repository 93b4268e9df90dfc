/**
 * Whether a request that no worker may get now waits at this VM for a place, and which of the
 * waiting requests goes first.
 *
 * Waiting helps only where a place comes soon: when the pause of a worker ends, or its rate limit
 * allows the next request. While the queues of all workers are full it would not: each place that
 * becomes free is taken by the next request that arrives there, so that as many are served.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import type { RequestRank } from './requestRank.js'

/** Longest wait, as a fraction of the latency goal: the rest is left for the answer. */
const MAX_WAIT_GOAL_RATIO = 1 / 8

/** A request that no worker may get now. */
export interface WaitRequest {
  readonly now: Instant
  /** When the first worker may get a request. */
  readonly placeAt: Instant
  /** From {@link computeWaitDeadline}, when the request waited first. */
  readonly waitDeadline: Deadline
}

/** A request that waits. */
export interface WaitingRequest {
  readonly rank: RequestRank
  /** An answer after this instant has no value. */
  readonly deadline: Deadline
}

/**
 * @param now when the request waits first
 * @param goalMs its latency goal, in milliseconds
 * @param deadline an answer after this instant has no value
 * @param serviceTimeMs expected time until the answer once it is sent, in milliseconds
 * @returns the instant until which it may wait
 */
export function computeWaitDeadline (now: Instant, goalMs: number, deadline: Deadline, serviceTimeMs: number): Deadline {
  return Math.min(createDeadline(now, goalMs * MAX_WAIT_GOAL_RATIO), deadline - serviceTimeMs)
}

/** @returns whether the request waits for the place */
export function shouldWait ({ now, placeAt, waitDeadline }: WaitRequest): boolean {
  return placeAt > now && placeAt <= waitDeadline
}

/** @returns less than 0 if the first request goes first: by priority, then callers that were refused before, then by deadline */
export function compareWaiting (left: WaitingRequest, right: WaitingRequest): number {
  return left.rank.priority - right.rank.priority || Number(right.rank.hasReturned) - Number(left.rank.hasReturned) || left.deadline - right.deadline
}
