/** Finds a slot for an attempt: the wished failure domain first, then the plan's others. */
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { PlaceWish } from '@umberspar/steering/common/request/flowTypes'
import type { RoomView } from '@umberspar/steering/common/request/retryAfter'
import type { PlaceDirectory } from '../places/placeDirectory.js'
import type { PlanKeeper } from '../places/planKeeper.js'
import type { PlacePool, SlotGrant } from '../places/placePool.js'
import { chooseDomain } from './chooseDomain.js'
import type { RequestContext } from './requestContext.js'

/** A slot and where it is. */
export interface FoundSlot {
  readonly grant: SlotGrant
  readonly failureDomain: string
}

/** Why there is no slot, and how full the last place was. */
export interface NoSlot {
  readonly error: StepError
  readonly room: Pick<RoomView, 'waiting' | 'slots'> | undefined
}

/** What an attempt needs. */
export interface SlotSearch {
  readonly context: RequestContext
  readonly wish: PlaceWish
  /** How long it may wait for a slot. */
  readonly deadline: Deadline
  readonly signal: AbortSignal
}

/** Looks for slots in the places of the plan. */
export class SlotFinder {
  constructor (
    private readonly places: PlaceDirectory,
    private readonly plans: PlanKeeper,
    private readonly random: IRandomSource
  ) {}

  /**
   * @param search what is needed
   * @returns a slot, held until released; or why there is none, and then no byte has left
   */
  async acquire (search: SlotSearch): Promise<Result<FoundSlot, NoSlot>> {
    const { context, wish } = search
    const weights = this.plans.get(context.service, context.clientRegion)
    const tried = new Set<string>()
    let last: NoSlot | undefined
    for (;;) {
      const failureDomain = this.chooseNext(weights, wish, tried)
      if (failureDomain === undefined) return new Err(last ?? { error: createNoPlaceError(context), room: undefined })
      tried.add(failureDomain)
      const pool = this.places.find(context.service, failureDomain)
      if (pool === undefined) continue
      const grant = await this.acquireIn(pool, search)
      if (grant.ok) return new Ok({ grant: grant.val, failureDomain })
      const full: NoSlot = { error: grant.val, room: { waiting: pool.waiting, slots: pool.slots } }
      if (grant.val.code !== ErrorCode.Exhausted) return new Err(full)
      last = full
    }
  }

  private acquireIn (pool: PlacePool, search: SlotSearch): Promise<Result<SlotGrant, StepError>> {
    const { context, wish, deadline, signal } = search
    const { priority, kind } = context.route
    return pool.acquire({ priority, kind, deadline, excluded: wish.excludedWorkers, signal })
  }

  private chooseNext (weights: Readonly<Record<string, number>>, wish: PlaceWish, tried: ReadonlySet<string>): string | undefined {
    const { preferred, avoided } = wish
    if (preferred !== undefined && !tried.has(preferred) && (weights[preferred] ?? 0) > 0) return preferred
    const others = new Set([...tried, ...avoided])
    return chooseDomain(weights, others, this.random) ?? chooseDomain(weights, tried, this.random)
  }
}

function createNoPlaceError (context: RequestContext): StepError {
  return new StepError({
    code: ErrorCode.Exhausted,
    step: 'choose-place',
    peer: `${context.service}/${context.clientRegion}`,
    message: 'no failure domain can serve this now'
  })
}
