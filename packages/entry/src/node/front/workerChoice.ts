/** Chooses a worker for a request among those that may get it now. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { chooseUpstream, type UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { EntryContext } from './entryContext.js'

/** The properties of a request that decide which worker gets it. */
export interface WorkerRequest {
  readonly route: RoutePolicy
  readonly service: string
  readonly affinityKey: string | undefined
  readonly arrivedAt: Instant
  readonly deadline: Deadline
  /** Size of its body, in bytes. */
  readonly bodyBytes: number
  /** The regions that may serve it; empty if all may. */
  readonly homeRegions: readonly string[]
  /** Workers that it must not be sent to. */
  readonly triedWorkers: ReadonlySet<string>
  /** Whether it has waited for a place since a worker was chosen for it first. */
  readonly hasWaited?: boolean
}

/** @returns the best worker for a request; undefined if none may get it now */
export function chooseWorker ({ view, byteCosts }: EntryContext, request: WorkerRequest, now: Instant): UpstreamChoice | undefined {
  const { route, service, affinityKey, arrivedAt, deadline, bodyBytes, homeRegions, triedWorkers, hasWaited = false } = request
  const work = view.getServiceTimes(route, service)
  const pool = view.getPool(service)
  const candidates = pool.listCandidates({ homeRegions, key: affinityKey, triedWorkers, hasWaited }, work, view.evacuatedDomains, now)
  const choiceContext = { now, goalAt: arrivedAt + route.goalMs, deadline, bytes: bodyBytes + work.getMeanResponseBytes(), saturation: pool.getSaturation(now) }
  return chooseUpstream(candidates, choiceContext, byteCosts)
}
