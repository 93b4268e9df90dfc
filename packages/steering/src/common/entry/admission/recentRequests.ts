/** The recent requests for one service at this VM, by priority and account. */
import type { Instant } from '@umberspar/base/common/clock'
import { DecayingCount } from './decayingCount.js'
import { HeavyAccounts } from './heavyAccounts.js'
import type { RequestRank } from './requestRank.js'
import type { PriorityUsage, ServiceUsage } from './serviceUsage.js'

/** Priorities that are counted apart. */
const MAX_PRIORITIES = 16
/** Priorities without a request for this long don't occur any more. */
const PRESENCE_MS = 3_000

class PriorityRequests {
  readonly asked = new DecayingCount()
  readonly owed = new DecayingCount()
  readonly served = new DecayingCount()
  readonly accounts = new HeavyAccounts()
  lastAt: Instant = Number.NEGATIVE_INFINITY

  read (now: Instant): PriorityUsage {
    const asked = this.asked.get(now)
    const owed = Math.min(asked, Math.max(0, this.owed.get(now)))
    return { asked, owed, served: Math.min(owed, Math.max(0, this.served.get(now))), accounts: this.accounts.list(now) }
  }
}

/** Counts requests and what became of them. */
export class RecentRequests {
  private readonly priorities = new Map<number, PriorityRequests>()

  /**
   * Counts a request, as served until it is refused.
   * @param rank its rank
   * @param now the current time
   */
  record ({ priority, account }: RequestRank, now: Instant): void {
    const requests = this.getPriority(priority, now)
    if (requests === undefined) return
    requests.lastAt = now
    requests.asked.add(1, now)
    requests.owed.add(1, now)
    requests.served.add(1, now)
    if (account !== undefined) requests.accounts.record(account, now)
  }

  /**
   * @param priority the request's priority
   * @param isBeyondShare whether its account is over its share
   * @param now the current time
   */
  recordRefusal (priority: number, isBeyondShare: boolean, now: Instant): void {
    const requests = this.priorities.get(priority)
    requests?.served.add(-1, now)
    if (isBeyondShare) requests?.owed.add(-1, now)
  }

  /**
   * @param priority a priority
   * @param account a client account
   * @param now the current time
   * @returns the part of the priority's recent requests that are the account's, 0 to 1
   */
  getAccountRatio (priority: number, account: string, now: Instant): number {
    const requests = this.priorities.get(priority)
    const asked = requests?.asked.get(now) ?? 0
    return asked === 0 ? 0 : Math.min(1, (requests?.accounts.get(account, now) ?? 0) / asked)
  }

  /**
   * @param now the current time
   * @returns the usage by the priorities that occurred in the last seconds
   */
  read (now: Instant): ServiceUsage {
    this.evictAbsent(now)
    return new Map([...this.priorities].map(([priority, requests]) => [priority, requests.read(now)]))
  }

  private evictAbsent (now: Instant): void {
    for (const [priority, { lastAt }] of this.priorities) if (now - lastAt > PRESENCE_MS) this.priorities.delete(priority)
  }

  private getPriority (priority: number, now: Instant): PriorityRequests | undefined {
    const known = this.priorities.get(priority)
    if (known !== undefined) return known
    this.evictAbsent(now)
    if (this.priorities.size >= MAX_PRIORITIES) return undefined
    const created = new PriorityRequests()
    this.priorities.set(priority, created)
    return created
  }
}
