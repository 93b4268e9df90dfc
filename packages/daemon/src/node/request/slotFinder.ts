/** Acquires a slot for an attempt: in the preferred failure domain first, then in the plan's others. */
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { PlacementPreference } from '@umberspar/steering/common/request/flowTypes'
import type { QueueLoad } from '@umberspar/steering/common/request/retryAfter'
import type { PlaceDirectory } from '../places/placeDirectory.js'
import type { PlanFollower } from '../places/planFollower.js'
import type { PlacePool, SlotGrant } from '../places/placePool.js'
import { chooseFailureDomain } from './chooseFailureDomain.js'
import type { RequestContext } from './requestContext.js'

/** A slot and its failure domain. */
export interface AcquiredSlot {
  readonly grant: SlotGrant
  readonly failureDomain: string
}

/** Why no slot was acquired. */
export interface SlotFailure {
  readonly error: StepError
  /** Queue length and slots of the last place tried, if any. */
  readonly occupancy: Pick<QueueLoad, 'waiting' | 'slots'> | undefined
}

/** What an attempt requires of a slot. */
export interface SlotRequest {
  readonly context: RequestContext
  readonly preference: PlacementPreference
  /** How long the attempt may wait for a slot. */
  readonly deadline: Deadline
  readonly signal: AbortSignal
}

/** Acquires slots in the failure domains of the plan. */
export class SlotFinder {
  constructor (
    private readonly places: PlaceDirectory,
    private readonly plans: PlanFollower,
    private readonly random: IRandomSource
  ) {}

  /**
   * @param request what the attempt requires
   * @returns a slot, held until it is released; or why there is none, in which case nothing was sent
   */
  async acquire (request: SlotRequest): Promise<Result<AcquiredSlot, SlotFailure>> {
    const { context, preference } = request
    const weights = this.plans.getWeights(context.service, context.clientRegion)
    const tried = new Set<string>()
    let lastFailure: SlotFailure | undefined
    for (;;) {
      const failureDomain = this.chooseNextDomain(weights, preference, tried)
      if (failureDomain === undefined) return new Err(lastFailure ?? { error: createNoCapacityError(context), occupancy: undefined })
      tried.add(failureDomain)
      const pool = this.places.find(context.service, failureDomain)
      if (pool === undefined) continue
      const grant = await this.acquireFromPool(pool, request)
      if (grant.ok) return new Ok({ grant: grant.val, failureDomain })
      const failure: SlotFailure = { error: grant.val, occupancy: { waiting: pool.waiting, slots: pool.slots } }
      if (grant.val.code !== ErrorCode.Exhausted) return new Err(failure)
      lastFailure = failure
    }
  }

  private acquireFromPool (pool: PlacePool, request: SlotRequest): Promise<Result<SlotGrant, StepError>> {
    const { context, preference, deadline, signal } = request
    const { priority, kind } = context.route
    return pool.acquire({ priority, kind, deadline, excluded: preference.excludedWorkers, signal })
  }

  private chooseNextDomain (weights: Readonly<Record<string, number>>, preference: PlacementPreference, tried: ReadonlySet<string>): string | undefined {
    const { preferredDomain, avoidedDomains } = preference
    if (preferredDomain !== undefined && !tried.has(preferredDomain) && (weights[preferredDomain] ?? 0) > 0) return preferredDomain
    const others = new Set([...tried, ...avoidedDomains])
    return chooseFailureDomain(weights, others, this.random) ?? chooseFailureDomain(weights, tried, this.random)
  }
}

function createNoCapacityError (context: RequestContext): StepError {
  return new StepError({
    code: ErrorCode.Exhausted,
    step: 'choose-place',
    peer: `${context.service}/${context.clientRegion}`,
    message: 'no failure domain has capacity for this request'
  })
}
