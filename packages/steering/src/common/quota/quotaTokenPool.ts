/**
 * The tokens that one VM was granted for one account and has not used yet. They expire after a
 * short time, as requests that use them later would add to those that other VMs are granted
 * meanwhile. Expired tokens are returned to the owner of the share that granted them.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'

/** The permission to send one request. */
export interface QuotaToken {
  /** The name of the share that granted it. */
  readonly share: string
  /** No request that arrives later may use it. */
  readonly usableUntil: Deadline
}

/** The unused tokens of one account. */
export class QuotaTokenPool {
  private tokens: QuotaToken[] = []
  private readonly unusedByShare = new Map<string, number>()

  /** @param token a newly granted token, or one that was taken and not used */
  put (token: QuotaToken): void {
    this.tokens.push(token)
  }

  /**
   * @param now the current time
   * @returns a token for a request that arrives now, or undefined if there is none
   */
  take (now: Instant): QuotaToken | undefined {
    this.removeExpired(now)
    return this.tokens.shift()
  }

  /**
   * @param share a share's name
   * @param now the current time
   * @returns how many of its tokens have expired since the last call, to be returned to its owner
   */
  takeUnused (share: string, now: Instant): number {
    this.removeExpired(now)
    const unused = this.unusedByShare.get(share) ?? 0
    this.unusedByShare.delete(share)
    return unused
  }

  private removeExpired (now: Instant): void {
    if (!this.tokens.some(({ usableUntil }) => hasPassed(usableUntil, now))) return
    for (const { share, usableUntil } of this.tokens) {
      if (hasPassed(usableUntil, now)) this.unusedByShare.set(share, (this.unusedByShare.get(share) ?? 0) + 1)
    }
    this.tokens = this.tokens.filter(({ usableUntil }) => !hasPassed(usableUntil, now))
  }
}
