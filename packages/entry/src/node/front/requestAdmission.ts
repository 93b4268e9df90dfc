/** The admission of one request by its rank, at a service that may lack room. */
import type { Instant } from '@umberspar/base/common/clock'
import { CallerVisit } from '@umberspar/steering/common/entry/admission/callerTimes'
import type { RequestRank } from '@umberspar/steering/common/entry/admission/requestRank'
import { GateOutcome } from '@umberspar/steering/common/entry/admission/serviceGate'
import type { ServiceLoad } from '@umberspar/steering/common/entry/admission/shortage'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { EndReason } from '../telemetry/requestOutcomes.js'
import type { AcceptedRequest, BufferedRequest } from './bufferedRequest.js'
import type { EntryContext } from './entryContext.js'

/** The reason recorded for a request that yields. */
const REASON_BY_OUTCOME: Readonly<Record<Exclude<GateOutcome, GateOutcome.Admitted>, EndReason>> = {
  [GateOutcome.PriorityYielded]: EndReason.PriorityYielded,
  [GateOutcome.AccountOverShare]: EndReason.AccountOverShare
}
/** Ends for lack of room of requests that had been admitted by their rank. */
const NO_ROOM_REASONS: ReadonlySet<EndReason> = new Set([EndReason.DeadlineUnreachable, EndReason.WorkersRefused, EndReason.WorkersCoolingDown, EndReason.RateLimited, EndReason.NoResponse])

/**
 * @param context the shared services of the process
 * @param request the request
 * @returns its rank, by the configuration in force
 */
export function buildRank (context: EntryContext, { route, keyDigest, visit }: AcceptedRequest): RequestRank {
  const { account } = context.accessController.decide(route, keyDigest)
  return { priority: account?.priority ?? route.priority, account: account?.name, hasReturned: visit === CallerVisit.Returned }
}

/** @returns what a request finds at its service */
export function readServiceLoad ({ view }: EntryContext, { route }: AcceptedRequest, service: string, choice: UpstreamChoice, now: Instant): ServiceLoad {
  const { hasEnoughSamples } = view.getServiceTimes(route, service)
  return { saturation: view.getPool(service).getSaturation(now), onTimeProbability: hasEnoughSamples ? choice.onTimeProbabilityOnHit : undefined }
}

/** Asks the gate of the request's service once. */
export class RequestAdmission {
  private rank: RequestRank | undefined

  /**
   * @param context the shared services of the process
   * @param request the request
   * @param service the service it goes to
   */
  constructor (private readonly context: EntryContext, private readonly request: BufferedRequest, private readonly service: string) {}

  /**
   * @param choice the best candidate for the request
   * @param attempts how often it was sent to a worker
   * @param now the current time
   * @returns why the request yields to others; undefined if it may go on, or was asked about before
   */
  findRefusal (choice: UpstreamChoice, attempts: number, now: Instant): EndReason | undefined {
    if (this.rank !== undefined || attempts > 0) return undefined
    this.rank = buildRank(this.context, this.request)
    const { context: { gates, telemetry }, request: { route, requestId }, service } = this
    const load = readServiceLoad(this.context, this.request, service, choice, now)
    const decision = gates.get(service).decide(this.rank, load, now)
    if (decision.outcome === GateOutcome.Admitted) return undefined
    const reason = REASON_BY_OUTCOME[decision.outcome]
    const { priority, account } = this.rank
    telemetry.logYield({ ...decision, ...load, requestId, service, route: route.name, reason, priority, account })
    return reason
  }

  /**
   * Tells the gate that there was no room after all, so that less urgent requests yield.
   * @param reason why the request ended
   */
  recordEnd (reason: EndReason): void {
    if (this.rank !== undefined && NO_ROOM_REASONS.has(reason)) this.context.gates.get(this.service).recordRefusal(this.rank.priority, this.context.clock.now())
  }
}
