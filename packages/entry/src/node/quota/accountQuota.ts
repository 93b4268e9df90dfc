/**
 * Admits one account's requests at one VM against the account's quota. Each request uses a
 * token that the VM already has, or one from the nearest owner of a share that has any
 * left; otherwise it is rejected.
 *
 * Each owner is asked one question at a time. An owner that is late is asked nothing more until
 * it has answered, and its late answer still counts: questions that are given up and repeated
 * would keep the owners late.
 */
import type { Instant, ITimer } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import type { QuotaShare } from '@umberspar/steering/common/quota/quotaShares'
import { QuotaTokenPool, type QuotaToken } from '@umberspar/steering/common/quota/quotaTokenPool'
import { RequestRate } from '@umberspar/steering/common/rateLimits/requestRate'
import type { QuotaRequest } from './quotaMessages.js'

/** Whether a request is within the account's quota. */
export enum QuotaOutcome {
  Granted = 'given',
  /** All share owners responded that the quota is exhausted. */
  Exhausted = 'spent',
  /** Some share owners did not respond, and the others have no tokens left. */
  Unknown = 'unknown'
}

/** The decision on one request. */
export interface QuotaDecision {
  readonly outcome: QuotaOutcome
  /** To be returned if the request certainly did not run. */
  readonly token?: QuotaToken
  /** If no token was granted: the time until tokens may be available again, in milliseconds. */
  readonly waitMs: number
}

/** Receives the decision, synchronously or later. */
export type QuotaListener = (decision: QuotaDecision) => void

/** The access of an {@link AccountQuota} to share owners. */
export interface QuotaEnvironment {
  now(): Instant
  /** @returns the account's shares, grouped by distance, the nearest group first */
  listGroups(): ReadonlyArray<readonly QuotaShare[]>
  /** @returns how long a granted token may be used, in milliseconds */
  getTokenLifetimeMs(): number
  /** Calls a function at an instant of {@link QuotaEnvironment.now}. */
  schedule(at: Instant, callback: () => void): ITimer
  /**
   * @param onLate called if the owner has not answered in its usual time
   * @returns the owner's grant, or why there is none
   */
  ask(request: QuotaRequest, onLate: () => void): Promise<QuotaGrant | NoGrantReason>
}

interface WaitingRequest {
  readonly listener: QuotaListener
  readonly arrivedAt: Instant
  readonly until: Deadline
}

/** A question to the owner of a share that has not been answered yet. */
interface OpenQuestion {
  isLate: boolean
}

/** Why there is no grant from the owner of a share. */
export enum NoGrantReason {
  /** The share has no owner, or the VM that was asked does not own it. Another VM is about to claim it. */
  NotOwned = 'not-kept',
  /** The owner does not respond. */
  Unresponsive = 'silent'
}

/** How long a share is skipped after a failure. */
const SHARE_RETRY_DELAYS_MS: Readonly<Record<NoGrantReason, number>> = {
  [NoGrantReason.NotOwned]: 150,
  [NoGrantReason.Unresponsive]: 1_000
}
/** Longest time for which a request waits for owners that are late. */
const MAX_WAIT_MS = 750
/** The delay after which callers are asked to retry while share owners do not respond. */
const UNKNOWN_RETRY_DELAY_MS = 400

/** The quota of one account at one VM. */
export class AccountQuota {
  private readonly tokens = new QuotaTokenPool()
  private readonly demandRate = new RequestRate()
  private readonly exhaustedUntil = new Map<string, Deadline>()
  private readonly unresponsiveUntil = new Map<string, Deadline>()
  private readonly openQuestions = new Map<string, OpenQuestion>()
  /** In the order of their arrival. */
  private waiting: WaitingRequest[] = []
  private timer: ITimer | undefined

  /**
   * @param account the account's name
   * @param environment access to share owners
   */
  constructor (private readonly account: string, private readonly environment: QuotaEnvironment) {}

  /** @param listener called once with the decision on the request */
  take (listener: QuotaListener): void {
    const now = this.environment.now()
    this.demandRate.record(now)
    const token = this.waiting.length === 0 ? this.tokens.take(now) : undefined
    if (token !== undefined) {
      listener({ outcome: QuotaOutcome.Granted, token, waitMs: 0 })
      return
    }
    this.waiting.push({ listener, arrivedAt: now, until: createDeadline(now, MAX_WAIT_MS) })
    this.askNext()
  }

  /** @param token of a request that certainly did not run */
  return (token: QuotaToken): void {
    this.tokens.put(token)
  }

  /** @returns how much longer all shares are known to be exhausted, in milliseconds; 0 if one may have tokens */
  getExhaustedMs (): number {
    const now = this.environment.now()
    const waits = this.environment.listGroups().flat().map(({ name }) => (this.exhaustedUntil.get(name) ?? now) - now)
    return Math.max(0, Math.min(...waits))
  }

  /** Refuses the waiting requests. */
  close (): void {
    this.timer?.close()
    this.refuse(this.waiting.splice(0))
  }

  /** Asks the nearest shares that may have tokens; those further away only once the answers of the nearer ones are late. */
  private askNext (): void {
    if (this.waiting.length === 0) return
    for (const [groupIndex, group] of this.environment.listGroups().entries()) {
      const available = this.listAvailable(group)
      const unasked = available.filter(({ name }) => !this.openQuestions.has(name))
      if (unasked.length > 0) {
        const wanted = this.computeWanted(groupIndex, unasked.length)
        for (const { name } of unasked) this.askShare(name, wanted)
        return this.scheduleRefusal()
      }
      if (available.some(({ name }) => this.openQuestions.get(name)?.isLate === false)) return this.scheduleRefusal()
    }
    if (this.openQuestions.size === 0) this.refuse(this.waiting.splice(0))
    else this.scheduleRefusal()
  }

  /** The nearest group is also asked for tokens for expected requests, the others only for waiting ones. */
  private computeWanted (groupIndex: number, shareCount: number): number {
    const expected = groupIndex === 0 ? Math.floor(this.demandRate.estimate(this.environment.now(), this.environment.getTokenLifetimeMs())) : 0
    return Math.ceil(this.waiting.length / shareCount) + expected
  }

  private listAvailable (shares: readonly QuotaShare[]): QuotaShare[] {
    const now = this.environment.now()
    return shares.filter(({ name }) => hasPassed(this.exhaustedUntil.get(name) ?? now, now) && hasPassed(this.unresponsiveUntil.get(name) ?? now, now))
  }

  private askShare (share: string, wanted: number): void {
    const askedAt = this.environment.now()
    const unused = this.tokens.takeUnused(share, askedAt)
    const question: OpenQuestion = { isLate: false }
    this.openQuestions.set(share, question)
    const handleLate = (): void => {
      question.isLate = true
      this.askNext()
    }
    this.environment.ask({ share, account: this.account, wanted, unused }, handleLate).then((grant) => {
      this.openQuestions.delete(share)
      this.handleGrant(share, grant, askedAt)
      this.askNext()
    }, () => { this.openQuestions.delete(share) })
  }

  private handleGrant (share: string, grant: QuotaGrant | NoGrantReason, askedAt: Instant): void {
    const now = this.environment.now()
    if (typeof grant === 'string') {
      this.unresponsiveUntil.set(share, now + SHARE_RETRY_DELAYS_MS[grant])
      return
    }
    if (grant.waitMs > 0) this.exhaustedUntil.set(share, now + grant.waitMs)
    const usableUntil = askedAt + this.environment.getTokenLifetimeMs()
    for (let count = 0; count < grant.given; count++) this.deliver({ share, usableUntil }, askedAt)
  }

  private deliver (token: QuotaToken, askedAt: Instant): void {
    const [first] = this.waiting
    // The age of the token does not matter to a request that arrived before the token was granted. The answer may be seconds late for others.
    const isUsable = first !== undefined && (first.arrivedAt <= askedAt || !hasPassed(token.usableUntil, this.environment.now()))
    if (!isUsable) {
      this.tokens.put(token)
      return
    }
    this.waiting.shift()
    first.listener({ outcome: QuotaOutcome.Granted, token, waitMs: 0 })
  }

  /** Refuses the requests that have waited for too long, now and later. */
  private scheduleRefusal (): void {
    const [first] = this.waiting
    if (first === undefined || this.timer !== undefined) return
    this.timer = this.environment.schedule(first.until, () => {
      this.timer = undefined
      const now = this.environment.now()
      const remaining = this.waiting.findIndex(({ until }) => !hasPassed(until, now))
      this.refuse(this.waiting.splice(0, remaining < 0 ? this.waiting.length : remaining))
      this.scheduleRefusal()
    })
  }

  private refuse (requests: readonly WaitingRequest[]): void {
    const now = this.environment.now()
    const isUnresponsive = this.openQuestions.size > 0 || this.environment.listGroups().flat().some(({ name }) => !hasPassed(this.unresponsiveUntil.get(name) ?? now, now))
    const decision: QuotaDecision = isUnresponsive ? { outcome: QuotaOutcome.Unknown, waitMs: UNKNOWN_RETRY_DELAY_MS } : { outcome: QuotaOutcome.Exhausted, waitMs: this.getExhaustedMs() }
    for (const { listener } of requests) listener(decision)
  }
}
