/** Writes the log lines of requests and attempts, with the records on which they were decided. */
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import type { Instant } from '@umberspar/base/common/clock'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { RefusalInputs } from '../telemetry/entryTelemetry.js'
import type { EndReason, RequestOutcome } from '../telemetry/requestOutcomes.js'
import { describeChoice } from './describeChoice.js'
import type { EntryContext } from './entryContext.js'

/** How a request ended. */
export interface RequestEnd {
  readonly requestId: string | undefined
  readonly route: RoutePolicy | undefined
  readonly service: string | undefined
  /** Name of the caller's client account. */
  readonly account: string | undefined
  readonly status: number
  readonly outcome: RequestOutcome
  readonly reason: EndReason
  /** Number of attempts that were sent to a worker. */
  readonly attempts: number
  readonly arrivedAt: Instant
  readonly retryAfterMs: number | undefined
  /** Whether another VM relayed the request to this one. */
  readonly isRelayed: boolean
  /** What its refusal was decided on; undefined if it was not refused for lack of room. */
  readonly refusalInputs?: RefusalInputs | undefined
}

/** An attempt at a worker. */
export interface AttemptStart {
  readonly requestId: string | undefined
  readonly route: RoutePolicy
  readonly service: string
  readonly affinityKey: string | undefined
  /** The number of this attempt for the request, from 1. */
  readonly attempt: number
  readonly choice: UpstreamChoice
  readonly now: Instant
}

/** Logs and counts the end of a request. */
export function logRequestEnd (context: EntryContext, end: RequestEnd): void {
  const { era, revision, ageMs } = context.getRecordsAge()
  const { requestId, route, service, account, status, outcome, reason, attempts, arrivedAt, retryAfterMs, isRelayed, refusalInputs } = end
  context.telemetry.logRequestEnd({
    requestId,
    route: route?.name,
    service,
    account,
    kind: route?.kind ?? 'none',
    status,
    end: outcome,
    reason,
    offers: attempts,
    spanMs: context.clock.now() - arrivedAt,
    goalMs: route?.goalMs,
    retryAfterMs,
    isRelayed: isRelayed ? true : undefined,
    ...refusalInputs,
    configuration: context.view.document?.version,
    era,
    revision,
    recordsAgeMs: ageMs,
    proofAgeMs: context.accessController.loggedProofAgeMs
  })
}

/** Logs an attempt with the worker chosen for it and the reasons. */
export function logAttempt (context: EntryContext, { requestId, route, service, affinityKey, attempt, choice, now }: AttemptStart): void {
  const { era, revision, ageMs } = context.getRecordsAge()
  context.telemetry.logAttempt({
    requestId,
    route: route.name,
    service,
    object: affinityKey,
    offer: attempt,
    ...describeChoice(choice, now),
    configuration: context.view.document?.version ?? 0,
    era,
    revision,
    recordsAgeMs: ageMs
  })
}
