/**
 * Refuses a request with a body before the body is read, if no service of its route can serve it:
 * the caller learns at once, and the body takes neither memory nor time.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { FULL_SATURATION, shouldAdmit } from '@umberspar/steering/common/entry/admission/admission'
import type { ServiceLoad } from '@umberspar/steering/common/entry/admission/shortage'
import { estimateRoom, type ExpectedRoom } from '@umberspar/steering/common/entry/retry/retryDelay'
import type { WorkerPool } from '@umberspar/steering/common/entry/workers/workerPool'
import { EndReason } from '../telemetry/requestOutcomes.js'
import type { AcceptedRequest } from './bufferedRequest.js'
import { planReturn, recordArrival } from './callerReturns.js'
import type { EntryContext } from './entryContext.js'
import { REASON_BY_UNAVAILABILITY } from './refusals.js'
import { computeRequestDeadline } from './requestDeadline.js'
import { buildRank, readServiceLoad } from './requestAdmission.js'
import { checkAccess } from './requestAccess.js'
import type { RefusalDetails } from './requestChecker.js'
import { chooseWorker } from './workerChoice.js'

/** Workers that pause for less than this may be available when the body has been read. */
const MIN_PAUSE_MS = 500

/** Why a service can't serve a request. */
interface Obstacle {
  readonly reason: EndReason
  readonly room: ExpectedRoom
  /** What the request finds at the service; undefined if no worker could get it. */
  readonly load?: ServiceLoad
}

const NO_WORKERS: ReadonlySet<string> = new Set()

/** Whether all workers that are not draining pause. */
function isPaused (pool: WorkerPool, now: Instant): boolean {
  for (const { isDraining, advisory } of pool.listTrackers()) if (!isDraining && !advisory.isPaused(now)) return false
  return true
}

/** Rate-limited workers count each request that asks for them, so they are asked only once the body is there. */
function hasRateLimits (pool: WorkerPool): boolean {
  for (const { rate } of pool.listTrackers()) if (rate.perSecond !== undefined) return true
  return false
}

function findPause (context: EntryContext, pool: WorkerPool, homeRegions: readonly string[], now: Instant): Obstacle | undefined {
  const unavailability = pool.findUnavailability(homeRegions, context.view.evacuatedDomains, now)
  if (unavailability === undefined || unavailability.until - now < MIN_PAUSE_MS) return undefined
  return { reason: REASON_BY_UNAVAILABILITY[unavailability.reason], room: { roomAt: unavailability.until, expectedMs: 0 } }
}

function findOverload (context: EntryContext, accepted: AcceptedRequest, service: string, homeRegions: readonly string[], deadline: Deadline, now: Instant): Obstacle | undefined {
  const { message, route, arrivedAt } = accepted
  const { view, headerRewriter } = context
  const saturation = view.getPool(service).getSaturation(now)
  if (saturation < FULL_SATURATION || hasRateLimits(view.getPool(service))) return undefined
  const affinityKey = headerRewriter.getAffinityKey(message, route)
  const bodyBytes = Number(message.headers['content-length'] ?? 0)
  const choice = chooseWorker(context, { route, service, affinityKey, arrivedAt, deadline, bodyBytes, homeRegions, triedWorkers: NO_WORKERS }, now)
  if (choice === undefined) return undefined
  const { hasEnoughSamples } = view.getServiceTimes(route, service)
  if (shouldAdmit(choice, { now, deadline, hasEnoughSamples, wasSent: false, saturation })) return undefined
  return { reason: EndReason.DeadlineUnreachable, room: estimateRoom(choice, now), load: readServiceLoad(context, accepted, service, choice, now) }
}

function findObstacle (context: EntryContext, accepted: AcceptedRequest, service: string, homeRegions: readonly string[], deadline: Deadline): Obstacle | undefined {
  // Another VM may reach the workers.
  if (context.links.isDisconnected(service)) return undefined
  const now = context.clock.now()
  const pool = context.view.getPool(service)
  if (pool.countAvailable() === 0) return { reason: EndReason.NoWorker, room: estimateRoom(undefined, now) }
  return isPaused(pool, now) ? findPause(context, pool, homeRegions, now) : findOverload(context, accepted, service, homeRegions, deadline, now)
}

/**
 * @param context the shared services of the process
 * @param accepted the request
 * @returns why it is refused; undefined if it may be served
 */
export function findEarlyRefusal (context: EntryContext, accepted: AcceptedRequest): RefusalDetails | undefined {
  const { route, arrivedAt, callerDeadline, visit, relayOrigin } = accepted
  if (relayOrigin !== undefined) return undefined
  const access = checkAccess(context, accepted)
  if (!access.ok) return undefined
  const deadline = computeRequestDeadline(route, arrivedAt, callerDeadline)
  let first: { readonly service: string, readonly obstacle: Obstacle } | undefined
  for (const { service } of route.parts) {
    const obstacle = findObstacle(context, accepted, service, access.val, deadline)
    if (obstacle === undefined) return undefined
    first ??= { service, obstacle }
  }
  if (first === undefined) return undefined
  recordArrival(context, accepted, first.service)
  const { load } = first.obstacle
  if (load !== undefined) context.gates.get(first.service).recordUnserved(buildRank(context, accepted), load, context.clock.now())
  const { retryAfterMs, inputs } = planReturn(context, { visit, callerDeadline }, first.service, first.obstacle.room)
  return { reason: first.obstacle.reason, arrivedAt, route, service: first.service, visit, retryAfterMs, refusalInputs: inputs }
}
