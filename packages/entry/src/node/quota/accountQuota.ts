/**
 * Admits one account's requests at one VM against the account's quota. Each request uses a
 * token that the VM already has, or one from the nearest owner of a share that has any
 * left; otherwise it is rejected.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'
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
  /** @returns the owner's grant, or why there is none */
  ask(request: QuotaRequest): Promise<QuotaGrant | NoGrantReason>
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
/** The delay after which callers are asked to retry while share owners do not respond. */
const UNKNOWN_RETRY_DELAY_MS = 400

/** The quota of one account at one VM. */
export class AccountQuota {
  private readonly tokens = new QuotaTokenPool()
  private readonly demandRate = new RequestRate()
  private readonly exhaustedUntil = new Map<string, Deadline>()
  private readonly unresponsiveUntil = new Map<string, Deadline>()
  private waiting: QuotaListener[] = []
  private isRequesting = false

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
    this.waiting.push(listener)
    this.askGroup(0)
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

  /** Asks the share owners of one group, then those of the next one, until no request is waiting. */
  private askGroup (groupIndex: number): void {
    if (this.isRequesting && groupIndex === 0) return
    this.isRequesting = true
    const groups = this.environment.listGroups()
    const shares = this.listAvailable(groups[groupIndex] ?? [])
    if (groupIndex >= groups.length) this.endRound()
    else if (shares.length === 0) this.askGroup(groupIndex + 1)
    else {
      const wanted = this.computeWanted(groupIndex, shares.length)
      Promise.all(shares.map(async ({ name }) => { await this.askShare(name, wanted) })).then(() => {
        if (this.waiting.length > 0) this.askGroup(groupIndex + 1)
        else this.isRequesting = false
      }, () => { this.endRound() })
    }
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

  private async askShare (share: string, wanted: number): Promise<void> {
    const askedAt = this.environment.now()
    const unused = this.tokens.takeUnused(share, askedAt)
    const grant = await this.environment.ask({ share, account: this.account, wanted, unused })
    const now = this.environment.now()
    if (typeof grant === 'string') {
      this.unresponsiveUntil.set(share, now + SHARE_RETRY_DELAYS_MS[grant])
      return
    }
    if (grant.given === 0) this.exhaustedUntil.set(share, now + grant.waitMs)
    const usableUntil = askedAt + this.environment.getTokenLifetimeMs()
    for (let count = 0; count < grant.given; count++) this.deliver({ share, usableUntil })
  }

  private deliver (token: QuotaToken): void {
    const listener = this.waiting.shift()
    // The age of the token does not matter to a waiting request, which arrived before the token was granted.
    if (listener === undefined) this.tokens.put(token)
    else listener({ outcome: QuotaOutcome.Granted, token, waitMs: 0 })
  }

  private endRound (): void {
    this.isRequesting = false
    const { waiting } = this
    this.waiting = []
    const now = this.environment.now()
    const isUnresponsive = this.environment.listGroups().flat().some(({ name }) => !hasPassed(this.unresponsiveUntil.get(name) ?? now, now))
    const decision: QuotaDecision = isUnresponsive ? { outcome: QuotaOutcome.Unknown, waitMs: UNKNOWN_RETRY_DELAY_MS } : { outcome: QuotaOutcome.Exhausted, waitMs: this.getExhaustedMs() }
    for (const listener of waiting) listener(decision)
  }
}
