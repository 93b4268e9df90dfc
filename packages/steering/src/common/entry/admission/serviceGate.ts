/**
 * Decides which requests yield at a service without enough room: the least urgent ones, and those of client accounts over
 * their fair share. Answers bursts in which requests of several priorities, or one account with many times its usual
 * requests, fill the queues of all. While the service has room, nobody is limited.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { AccountWeight } from './fairShare.js'
import type { FleetUsage } from './fleetUsage.js'
import { computePriorityLimits, type PriorityLimit } from './priorityLimits.js'
import type { RequestRank } from './requestRank.js'
import { RecentRequests } from './recentRequests.js'
import { mergeServiceUsages, type ServiceUsage } from './serviceUsage.js'
import { FULL_SATURATION, type ServiceLoad, Shortage } from './shortage.js'

/** What was decided for a request. */
export enum GateOutcome {
  Admitted = 'admitted',
  /** More urgent requests need the room. */
  PriorityYielded = 'priority-yielded',
  /** The account asks for more than its fair share of the room. */
  AccountOverShare = 'account-over-share'
}

/** A decision with what it is based on. */
export interface GateDecision {
  readonly outcome: GateOutcome
  /** The part of what is asked of the service that has to be refused. */
  readonly shortageRatio: number
  /** The part of such requests that is admitted now. */
  readonly admittedRatio: number
  /** What the account asked lately, and its fair share, both relative to all requests of the priority; undefined if it isn't over its share. */
  readonly accountUse: number | undefined
  readonly accountShare: number | undefined
  /** Age of what other VMs told about the service; undefined if only this VM's requests are known. */
  readonly knowledgeAgeMs: number | undefined
}

/** An account over its fair share; both relative to all requests of its priority. */
export interface OverShare {
  readonly priority: number
  readonly account: string
  readonly use: number
  readonly share: number
}

interface Plan {
  readonly limits: ReadonlyMap<number, PriorityLimit>
  readonly usage: ServiceUsage
  readonly knowledgeAgeMs: number | undefined
  readonly validUntil: Instant
}

/** An account keeps what an equal division among so many gives it at this VM, whatever other VMs tell. */
const GUARANTEED_SHARERS = 32
/** Accounts over their share are listed for this long after the last limits. */
const LISTED_MS = 5_000
/** The limits are computed again after this time. */
const PLAN_VALIDITY_MS = 100

/** The admission by rank at one service. */
export class ServiceGate {
  private readonly shortage = new Shortage()
  private readonly requests = new RecentRequests()
  /** What was admitted less than the ratio allows, in requests, by priority or by priority and account. */
  private readonly credits = new Map<string, number>()
  private plan: Plan | undefined

  /**
   * @param service the service
   * @param fleet what other VMs tell
   * @param random decides which of the first limited requests is admitted, so that VMs differ
   * @param getWeight the weights of accounts' shares
   */
  constructor (private readonly service: string, private readonly fleet: FleetUsage, private readonly random: IRandomSource, private readonly getWeight: AccountWeight) {}

  /**
   * Counts a request that has not been sent yet, and decides whether it may go on. Called once per request.
   * @param rank the request's rank
   * @param load what it finds
   * @param now the current time
   * @returns the decision
   */
  decide (rank: RequestRank, load: ServiceLoad, now: Instant): GateDecision {
    this.requests.record(rank, now)
    this.shortage.observe(load, now)
    if (load.saturation < FULL_SATURATION) return this.createDecision(GateOutcome.Admitted, 1)
    const plan = this.getPlan(now)
    const limit = plan.limits.get(rank.priority)
    if (limit === undefined) return this.createDecision(GateOutcome.Admitted, 1)
    const accountRatio = this.computeAccountRatio(rank, limit, plan, now)
    const admittedRatio = accountRatio * limit.admittedRatio
    const isAdmitted = admittedRatio >= 1 || this.takeCredit(accountRatio < 1 ? `${rank.priority} ${rank.account}` : `${rank.priority}`, admittedRatio, rank.hasReturned)
    if (isAdmitted) return this.createDecision(GateOutcome.Admitted, admittedRatio, rank)
    const outcome = accountRatio < 1 ? GateOutcome.AccountOverShare : GateOutcome.PriorityYielded
    this.requests.recordRefusal(rank.priority, outcome === GateOutcome.AccountOverShare, now)
    return this.createDecision(outcome, admittedRatio, rank)
  }

  /**
   * Counts a request that was found to have no room before it was decided on.
   * @param rank the request's rank
   * @param load what it found
   * @param now the current time
   */
  recordUnserved (rank: RequestRank, load: ServiceLoad, now: Instant): void {
    if (this.decide(rank, load, now).outcome === GateOutcome.Admitted) this.recordRefusal(rank.priority, now)
  }

  /**
   * Records that a request which was admitted found no room after all.
   * @param priority the request's priority
   * @param now the current time
   */
  recordRefusal (priority: number, now: Instant): void {
    this.requests.recordRefusal(priority, false, now)
  }

  /**
   * @param now the current time
   * @returns what was asked of the service at this VM
   */
  readUsage (now: Instant): ServiceUsage {
    return this.requests.read(now)
  }

  /** @returns the part of what is asked that has to be refused */
  get shortageRatio (): number {
    return this.shortage.ratio
  }

  /**
   * @param now the current time
   * @returns the accounts that were over their share in the last seconds
   */
  listOverShare (now: Instant): OverShare[] {
    if (this.plan === undefined || now >= this.plan.validUntil + LISTED_MS) return []
    const listed: OverShare[] = []
    for (const [priority, { fairShare }] of this.plan.limits) {
      const total = this.plan.usage.get(priority)?.asked ?? 1
      for (const [account, { asked, share }] of fairShare.over) listed.push({ priority, account, use: asked / total, share: share / total })
    }
    return listed
  }

  private getPlan (now: Instant): Plan {
    if (this.plan !== undefined && now < this.plan.validUntil) return this.plan
    const known = this.fleet.get(this.service, now)
    const own = this.requests.read(now)
    const usage = known === undefined ? own : known.includesThisVm ? known.usage : mergeServiceUsages(known.usage, own)
    const limits = computePriorityLimits(usage, this.shortage.ratio, this.getWeight)
    this.evictCredits(limits)
    this.plan = { limits, usage, knowledgeAgeMs: known?.ageMs, validUntil: now + PLAN_VALIDITY_MS }
    return this.plan
  }

  private computeAccountRatio ({ priority, account }: RequestRank, { fairShare }: PriorityLimit, plan: Plan, now: Instant): number {
    const over = account === undefined ? undefined : fairShare.over.get(account)
    if (account === undefined || over === undefined) return 1
    const askedHere = this.requests.getAccountRatio(priority, account, now)
    const guaranteed = askedHere === 0 ? 1 : (1 - this.shortage.ratio) / GUARANTEED_SHARERS / askedHere
    return Math.min(1, Math.max(over.share / over.asked, plan.knowledgeAgeMs === undefined ? 0 : guaranteed))
  }

  /** Callers that came back borrow from later first arrivals. */
  private takeCredit (name: string, ratio: number, hasReturned: boolean): boolean {
    const credit = (this.credits.get(name) ?? this.random.next()) + ratio
    const isAdmitted = credit >= (hasReturned ? 0 : 1)
    this.credits.set(name, isAdmitted ? credit - 1 : credit)
    return isAdmitted
  }

  private evictCredits (limits: ReadonlyMap<number, PriorityLimit>): void {
    const kept = new Set<string>()
    for (const [priority, { fairShare }] of limits) {
      kept.add(`${priority}`)
      for (const account of fairShare.over.keys()) kept.add(`${priority} ${account}`)
    }
    for (const name of this.credits.keys()) if (!kept.has(name)) this.credits.delete(name)
  }

  private createDecision (outcome: GateOutcome, admittedRatio: number, rank?: RequestRank): GateDecision {
    const over = rank?.account === undefined ? undefined : this.plan?.limits.get(rank.priority)?.fairShare.over.get(rank.account)
    const total = (rank === undefined ? undefined : this.plan?.usage.get(rank.priority)?.asked) ?? 1
    return {
      outcome,
      shortageRatio: this.shortage.ratio,
      admittedRatio,
      accountUse: over === undefined ? undefined : over.asked / total,
      accountShare: over === undefined ? undefined : over.share / total,
      knowledgeAgeMs: this.plan?.knowledgeAgeMs
    }
  }
}
