/**
 * The client accounts with the most recent requests, in bounded memory (Space-Saving): a new account takes the place of
 * the lightest one and inherits its count, which bounds the error by the total divided by the number of places.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { computeDecay } from './decayingCount.js'

/** Accounts counted at a time. */
export const MAX_COUNTED_ACCOUNTS = 64

/** Accounts with a lower weighted count are forgotten. */
const MIN_COUNT = 0.05

interface AccountCount {
  count: number
  /** What was inherited from the account that had the place before. */
  error: number
}

/** Counts the requests of the heaviest accounts. */
export class HeavyAccounts {
  private readonly counts = new Map<string, AccountCount>()
  private at: Instant = 0

  /**
   * Counts one request.
   * @param account name of the client account
   * @param now the current time
   */
  record (account: string, now: Instant): void {
    this.update(now)
    const known = this.counts.get(account)
    if (known !== undefined) known.count++
    else if (this.counts.size < MAX_COUNTED_ACCOUNTS) this.counts.set(account, { count: 1, error: 0 })
    else this.takeLightestPlace(account)
  }

  /**
   * @param now the current time
   * @returns the weighted number of recent requests of each counted account, at least what is certain
   */
  list (now: Instant): Map<string, number> {
    this.update(now)
    return new Map([...this.counts].map(([account, { count, error }]) => [account, count - error]))
  }

  /**
   * @param account a client account
   * @param now the current time
   * @returns the weighted number of its recent requests, at least what is certain
   */
  get (account: string, now: Instant): number {
    this.update(now)
    const known = this.counts.get(account)
    return known === undefined ? 0 : known.count - known.error
  }

  private takeLightestPlace (account: string): void {
    let lightest: string | undefined
    let least = Infinity
    for (const [name, { count }] of this.counts) {
      if (count >= least) continue
      least = count
      lightest = name
    }
    if (lightest !== undefined) this.counts.delete(lightest)
    this.counts.set(account, { count: least + 1, error: least })
  }

  private update (now: Instant): void {
    const decay = computeDecay(this.at, now)
    this.at = Math.max(this.at, now)
    if (decay === 1) return
    for (const [account, entry] of this.counts) {
      entry.count *= decay
      entry.error *= decay
      if (entry.count < MIN_COUNT) this.counts.delete(account)
    }
  }
}
