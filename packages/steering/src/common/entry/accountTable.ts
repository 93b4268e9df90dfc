/** Finds client accounts by the digests of their keys, and the regions that may serve their requests. */
import type { AccountPolicy, RoutePolicy } from './steeringDocument.js'

/** The client accounts of one version of the configuration, indexed for lookups. */
export class AccountTable {
  private readonly accountsByDigest = new Map<string, AccountPolicy>()
  private readonly accountsByName = new Map<string, AccountPolicy>()
  private readonly meanRate: number

  /** @param accounts the configured accounts */
  constructor (accounts: readonly AccountPolicy[]) {
    for (const account of accounts) {
      this.accountsByName.set(account.name, account)
      for (const digest of account.keyDigests) this.accountsByDigest.set(digest, account)
    }
    const rates = accounts.flatMap(({ quota }) => quota === undefined ? [] : [quota.ratePerSecond])
    this.meanRate = rates.reduce((sum, rate) => sum + rate, 0) / rates.length
  }

  /**
   * @param digest digest of a caller's key
   * @returns the account that holds the key; undefined if none does
   */
  findByDigest (digest: string): AccountPolicy | undefined {
    return this.accountsByDigest.get(digest)
  }

  /**
   * @param name an account's name
   * @returns the account, if there is one
   */
  get (name: string): AccountPolicy | undefined {
    return this.accountsByName.get(name)
  }

  /**
   * @param name an account's name
   * @returns the weight of its share of a service without room: its quota's rate relative to the mean; 1 without a quota
   */
  getShareWeight (name: string): number {
    const rate = this.accountsByName.get(name)?.quota?.ratePerSecond
    return rate === undefined || rate === 0 ? 1 : rate / this.meanRate
  }
}

/**
 * Computes the regions that may serve a request. When its route and its account both have home
 * regions, both must allow a region.
 * @param route the request's route
 * @param account the caller's account, if it has one
 * @returns the regions, empty if all may serve the request; undefined if none may
 */
export function computeHomeRegions ({ homeRegions: routeRegions }: RoutePolicy, account: AccountPolicy | undefined): readonly string[] | undefined {
  const accountRegions = account?.homeRegions ?? []
  if (routeRegions.length === 0) return accountRegions
  if (accountRegions.length === 0) return routeRegions
  const shared = routeRegions.filter((region) => accountRegions.includes(region))
  return shared.length === 0 ? undefined : shared
}
