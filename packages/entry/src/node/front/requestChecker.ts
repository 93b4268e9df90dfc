/** Checks a request whose head has been read: its route, the caller's key and quota, and the configured limits. */
import type { Instant } from '@umberspar/base/common/clock'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { CallerVisit } from '@umberspar/steering/common/entry/admission/callerTimes'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import { addRetryJitter } from '@umberspar/steering/common/entry/retry/retryDelay'
import type { RoutePolicy, SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import type { RefusalInputs } from '../telemetry/entryTelemetry.js'
import { EndReason } from '../telemetry/requestOutcomes.js'
import type { AcceptedRequest } from './bufferedRequest.js'
import type { CallerExchange } from './callerConnection.js'
import type { EntryContext } from './entryContext.js'
import { REASON_BY_DENIAL } from './refusals.js'
import { computeRequestDeadline, getCallerDeadline } from './requestDeadline.js'

/** The separator and the line end of a header field. */
const FIELD_OVERHEAD_BYTES = 4

/** Why a request is refused before it is forwarded, and what is known about it. */
export interface RefusalDetails {
  readonly reason: EndReason
  readonly arrivedAt: Instant
  readonly route?: RoutePolicy
  /** The service that it would be sent to, if that is known. */
  readonly service?: string | undefined
  /** Whether the caller had returned; undefined if that can't be told. */
  readonly visit?: CallerVisit | undefined
  /** Name of the caller's client account. */
  readonly account?: string | undefined
  /** When the caller may retry, in milliseconds from now; by default the value for the reason. */
  readonly retryAfterMs?: number | undefined
  /** What the refusal was decided on, for its log line. */
  readonly refusalInputs?: RefusalInputs | undefined
}

/**
 * @param context the shared services of the process
 * @param exchange the request
 * @param document the configuration in force
 * @returns the request with its route, or why it is refused
 */
export function checkRequest (context: EntryContext, { message, arrivedAt, relayOrigin }: CallerExchange, document: SteeringDocument): Result<AcceptedRequest, RefusalDetails> {
  const { accessController, clock, headerRewriter, quotas, random, view } = context
  // The VM that relayed a request has checked its fields, to which it added others, and the quota.
  const isRelayed = relayOrigin !== undefined
  if (!isRelayed && countHeaderBytes(message.rawHeaders, message.method, message.url) > document.limits.headerBytes) return Err({ reason: EndReason.HeadersTooLarge, arrivedAt })
  const route = view.findRoute(message.headers.host ?? '', message.url ?? '')
  // A missing route may have been added recently if the records are stale.
  if (route === undefined) return Err({ reason: accessController.canConfirmAbsence ? EndReason.NoRoute : EndReason.RecordsStale, arrivedAt })
  const keyDigest = accessController.readKeyDigest(message)
  const { outcome, account } = accessController.decide(route, keyDigest)
  if (outcome !== AccessOutcome.Allowed) return Err({ reason: REASON_BY_DENIAL[outcome], arrivedAt, route })
  const callerDeadline = getCallerDeadline(headerRewriter, message, arrivedAt)
  if (!context.canAnswer(computeRequestDeadline(route, arrivedAt, callerDeadline))) return Err({ reason: EndReason.Stopping, arrivedAt, route })
  const exhaustedMs = quotas.getExhaustedMs(isRelayed ? undefined : account)
  if (exhaustedMs > 0) return Err({ reason: EndReason.QuotaExhausted, arrivedAt, route, account: account?.name, retryAfterMs: addRetryJitter(exhaustedMs, random) })
  if (Number(message.headers['content-length'] ?? 0) > document.limits.bodyBytes) return Err({ reason: EndReason.BodyTooLarge, arrivedAt, route })
  // Relayed requests have less time left without having been refused.
  const visit = isRelayed ? undefined : view.callerReturns.getTimes(route.name).observe(headerRewriter.getCallerTimeoutMs(message), clock.now())
  return Ok({ message, route, keyDigest, arrivedAt, callerDeadline, visit, relayOrigin })
}

function countHeaderBytes (rawHeaders: readonly string[], method = '', target = ''): number {
  let bytes = method.length + target.length
  for (const text of rawHeaders) bytes += text.length
  return bytes + rawHeaders.length / 2 * FIELD_OVERHEAD_BYTES
}
