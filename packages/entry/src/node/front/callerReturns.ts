/** Keeps account of callers that are refused and come back, and of the retries kept for them. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { FULL_SATURATION } from '@umberspar/steering/common/entry/admission/admission'
import { CallerVisit } from '@umberspar/steering/common/entry/admission/callerTimes'
import type { ExpectedRoom } from '@umberspar/steering/common/entry/retry/retryDelay'
import { chooseRetryClaim } from '@umberspar/steering/common/entry/retry/retryClaim'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { RefusalInputs } from '../telemetry/entryTelemetry.js'
import type { EndReason } from '../telemetry/requestOutcomes.js'
import type { AcceptedRequest } from './bufferedRequest.js'
import type { EntryContext } from './entryContext.js'

/** The value of the metrics' label if it can't be told. */
const UNKNOWN_VISIT = 'unknown'

/** The attempt that a request would be retried with. */
export interface RetryRequest {
  readonly now: Instant
  /** Whether an attempt may have executed the request. */
  readonly mayHaveRun: boolean
  /** Time that the caller has left, in milliseconds. */
  readonly timeLeftMs: number
  /** Expected time until the answer to the next attempt arrives, in milliseconds. */
  readonly expectedMs: number
}

/**
 * Records that a request arrived, once, whether it is sent or not: the retry budget grows with
 * requests, not with attempts to open a connection. The VM that relayed a request has counted it.
 */
export function recordArrival ({ view, clock, reports }: EntryContext, { relayOrigin, visit }: AcceptedRequest, service: string): void {
  if (relayOrigin !== undefined) return
  const retryBudget = view.getRetryBudget(service)
  retryBudget.recordFirstAttempt(clock.now())
  if (visit === CallerVisit.Returned) retryBudget.recordReturn()
  reports.recordArrival(service)
}

/** A request that is refused, as far as it is known. */
export interface RefusedRequest {
  readonly reason: EndReason
  readonly route?: RoutePolicy | undefined
  readonly service?: string | undefined
  /** Undefined if it can't be told. */
  readonly visit?: CallerVisit | undefined
}

/** Records that a request was refused, so that its caller may come back. */
export function recordRefusal ({ view, clock, telemetry }: EntryContext, { reason, route, service, visit }: RefusedRequest): void {
  if (route !== undefined) view.callerReturns.getTimes(route.name).recordRefusal(clock.now())
  if (route !== undefined && service !== undefined) telemetry.metrics.countRefusal(service, reason, route.priority, visit ?? UNKNOWN_VISIT)
  if (service !== undefined && visit === CallerVisit.First) view.getRetryBudget(service).recordRefusal()
}

/** @returns whether the retry budget allows one more attempt for a request */
export function takeRetry ({ view }: EntryContext, { visit }: AcceptedRequest, service: string, { now, ...retry }: RetryRequest): boolean {
  return view.getRetryBudget(service).take(now, chooseRetryClaim({ visit, ...retry }))
}

/** When a refused caller may return, and why. */
export interface PlannedReturn {
  /** Delay before its return, in milliseconds. */
  readonly retryAfterMs: number
  readonly inputs: RefusalInputs
}

/** A caller that is refused. */
export interface ReturningCaller {
  /** Undefined if it can't be told. */
  readonly visit?: CallerVisit | undefined
  /** When the caller stops waiting. */
  readonly callerDeadline: Deadline
}

/**
 * Plans the return of a caller that is refused.
 * @param service the service that has no room for its request
 * @param room the room that is expected there
 */
export function planReturn ({ view, clock, random }: EntryContext, { visit, callerDeadline }: ReturningCaller, service: string, room: ExpectedRoom): PlannedReturn {
  const now = clock.now()
  const { left, reserved } = view.getRetryBudget(service).read(now)
  const hasFreeSlots = view.getPool(service).getSaturation(now) < FULL_SATURATION
  const { delayMs } = view.callerReturns.getSchedule(service).reserve({ ...room, now, hasFreeSlots, deadline: callerDeadline }, random)
  const inputs = { visit, roomAfterMs: Math.max(0, Math.round(room.roomAt - now)), repeatsLeft: left, repeatsReserved: Math.floor(reserved) }
  return { retryAfterMs: delayMs, inputs }
}
