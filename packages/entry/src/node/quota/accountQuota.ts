/**
 * One account's requests at one VM, until each has its part of the quota or is
 * refused: from what the VM has in stock, else from the nearest keeper that has some.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBuckets'
import type { QuotaShare } from '@umberspar/steering/common/quota/quotaShares'
import { QuotaStock, type QuotaToken } from '@umberspar/steering/common/quota/quotaStock'
import { TakeRate } from '@umberspar/steering/common/quota/takeRate'
import type { QuotaQuestion } from './quotaMessages.js'

/** How a request for a part of the quota ended. */
export enum QuotaEnd {
  Given = 'given',
  /** All keepers said that the account has used its quota up. */
  Spent = 'spent',
  /** Some keepers did not answer, and the others have nothing left. */
  Unknown = 'unknown'
}

/** What came of it. */
export interface QuotaDecision {
  readonly end: QuotaEnd
  /** To be given back if the request certainly did not run. */
  readonly token?: QuotaToken
  /** If nothing was given: when there may be room again, in milliseconds. */
  readonly waitMs: number
}

/** Told what came of it, at once or later. */
export type QuotaListener = (decision: QuotaDecision) => void

/** What it asks with. */
export interface QuotaAsker {
  now(): Instant
  /** @returns the account's shares, the nearest group first */
  listGroups(): ReadonlyArray<readonly QuotaShare[]>
  /** @returns how long what was given may be kept, in milliseconds */
  getStockMs(): number
  /** @returns what the keeper gives, or why it gives nothing */
  ask(question: QuotaQuestion): Promise<QuotaGrant | NoGrant>
}

/** Why a keeper gave no answer about the account. */
export enum NoGrant {
  /** Nobody keeps the share, or whoever was asked does not keep it: another is about to. */
  NotKept = 'not-kept',
  /** The keeper does not answer. */
  Silent = 'silent'
}

/** How long a share is passed over, in milliseconds. */
const PASS_OVER_MS: Readonly<Record<NoGrant, number>> = {
  [NoGrant.NotKept]: 150,
  [NoGrant.Silent]: 1_000
}
/** While keepers do not answer, callers come back after this, in milliseconds. */
const UNKNOWN_RETRY_MS = 400

/** One account at one VM. */
export class AccountQuota {
  private readonly stock = new QuotaStock()
  private readonly rate = new TakeRate()
  private readonly emptyUntil = new Map<string, Deadline>()
  private readonly silentUntil = new Map<string, Deadline>()
  private waiting: QuotaListener[] = []
  private isAsking = false

  /**
   * @param account its name
   * @param asker what it asks with
   */
  constructor (private readonly account: string, private readonly asker: QuotaAsker) {}

  /** @param listener told once whether the request may be sent */
  take (listener: QuotaListener): void {
    const now = this.asker.now()
    this.rate.record(now)
    const token = this.waiting.length === 0 ? this.stock.take(now) : undefined
    if (token !== undefined) {
      listener({ end: QuotaEnd.Given, token, waitMs: 0 })
      return
    }
    this.waiting.push(listener)
    this.askNext(0)
  }

  /** @param token of a request that certainly did not run */
  return (token: QuotaToken): void {
    this.stock.put(token)
  }

  /** @returns how much longer all keepers are known to have nothing, in milliseconds; 0 if one may have */
  getSpentMs (): number {
    const now = this.asker.now()
    const waits = this.asker.listGroups().flat().map(({ name }) => (this.emptyUntil.get(name) ?? now) - now)
    return Math.max(0, Math.min(...waits))
  }

  /** Asks one group of keepers after the other until nobody waits. */
  private askNext (group: number): void {
    if (this.isAsking && group === 0) return
    this.isAsking = true
    const groups = this.asker.listGroups()
    const shares = this.listAskable(groups[group] ?? [])
    if (group >= groups.length) this.endRound()
    else if (shares.length === 0) this.askNext(group + 1)
    else {
      const wanted = this.countWanted(group, shares.length)
      Promise.all(shares.map(async ({ name }) => { await this.askShare(name, wanted) })).then(() => {
        if (this.waiting.length > 0) this.askNext(group + 1)
        else this.isAsking = false
      }, () => { this.endRound() })
    }
  }

  /** The nearest keeper is asked for what is expected, too; the others only for who waits. */
  private countWanted (group: number, shares: number): number {
    const expected = group === 0 ? Math.floor(this.rate.estimate(this.asker.now(), this.asker.getStockMs())) : 0
    return Math.ceil(this.waiting.length / shares) + expected
  }

  private listAskable (shares: readonly QuotaShare[]): QuotaShare[] {
    const now = this.asker.now()
    return shares.filter(({ name }) => hasPassed(this.emptyUntil.get(name) ?? now, now) && hasPassed(this.silentUntil.get(name) ?? now, now))
  }

  private async askShare (share: string, wanted: number): Promise<void> {
    const askedAt = this.asker.now()
    const unused = this.stock.takeUnused(share, askedAt)
    const grant = await this.asker.ask({ share, account: this.account, wanted, unused })
    const now = this.asker.now()
    if (typeof grant === 'string') {
      this.silentUntil.set(share, now + PASS_OVER_MS[grant])
      return
    }
    if (grant.given === 0) this.emptyUntil.set(share, now + grant.waitMs)
    const usableUntil = askedAt + this.asker.getStockMs()
    for (let count = 0; count < grant.given; count++) this.deliver({ share, usableUntil })
  }

  private deliver (token: QuotaToken): void {
    const listener = this.waiting.shift()
    // One that waits came before the token was given, so the token's age does not matter to it.
    if (listener === undefined) this.stock.put(token)
    else listener({ end: QuotaEnd.Given, token, waitMs: 0 })
  }

  private endRound (): void {
    this.isAsking = false
    const { waiting } = this
    this.waiting = []
    const now = this.asker.now()
    const isSilent = this.asker.listGroups().flat().some(({ name }) => !hasPassed(this.silentUntil.get(name) ?? now, now))
    const decision = isSilent ? { end: QuotaEnd.Unknown, waitMs: UNKNOWN_RETRY_MS } : { end: QuotaEnd.Spent, waitMs: this.getSpentMs() }
    for (const listener of waiting) listener(decision)
  }
}
