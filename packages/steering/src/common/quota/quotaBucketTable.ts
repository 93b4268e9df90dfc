/** The token buckets of one VM: one for each account in each quota share that the VM owns. */
import type { Instant } from '@umberspar/base/common/clock'
import type { AccountPolicy } from '../entry/steeringDocument.js'
import { computeBucketParameters, type QuotaBucketParameters, type QuotaTolerance } from './bucketParameters.js'
import { QuotaBucket } from './quotaBucket.js'
import { listAccountShares, type RegionByDomain } from './quotaShares.js'

/** The response of a share's owner to a request for quota. */
export interface QuotaGrant {
  /** How many requests may be sent. */
  readonly given: number
  /** How long until more can be granted, in milliseconds; 0 if as many were granted as were asked for. */
  readonly waitMs: number
}

/** A share that this VM owns. */
interface OwnedShare {
  readonly startedAt: Instant
  readonly buckets: Map<string, QuotaBucket>
}

interface LimitedAccount {
  readonly parameters: QuotaBucketParameters
  /** When this VM first saw a quota of this account. */
  readonly knownSince: Instant
}

export class QuotaBucketTable {
  private readonly ownedShares = new Map<string, OwnedShare>()
  private accounts = new Map<string, LimitedAccount>()

  /**
   * @param tolerance how far quotas may be exceeded
   * @param regionByDomain the regions of all failure domains
   */
  constructor (private readonly tolerance: QuotaTolerance, private readonly regionByDomain: RegionByDomain) {}

  /** @returns whether any account has a quota */
  get hasQuotas (): boolean {
    return this.accounts.size > 0
  }

  /**
   * Applies the quotas of a configuration to all buckets.
   * @param accounts the accounts of the current configuration
   * @param now the current time
   */
  setAccounts (accounts: readonly AccountPolicy[], now: Instant): void {
    const previousAccounts = this.accounts
    this.accounts = new Map()
    for (const { name, quota } of accounts) {
      if (quota === undefined) continue
      const parameters = computeBucketParameters(quota, this.tolerance, listAccountShares(name, this.regionByDomain).length)
      this.accounts.set(name, { parameters, knownSince: previousAccounts.get(name)?.knownSince ?? now })
    }
    for (const { buckets } of this.ownedShares.values()) this.updateBuckets(buckets, now)
  }

  /**
   * Begins to grant quota from a share, and discards earlier buckets of the share.
   * @param share the name of a share that this VM now owns
   * @param now when its buckets begin to fill
   */
  startShare (share: string, now: Instant): void {
    this.ownedShares.set(share, { startedAt: now, buckets: new Map() })
  }

  /** @param share the name of a share that this VM no longer owns */
  endShare (share: string): void {
    this.ownedShares.delete(share)
  }

  /**
   * @param account an account's name
   * @returns the parameters of its bucket in each share; undefined if it has no quota or is unknown
   */
  getBucketParameters (account: string): QuotaBucketParameters | undefined {
    return this.accounts.get(account)?.parameters
  }

  /**
   * @param share a share's name
   * @param account an account's name
   * @param wanted how many requests are asked for
   * @param unused earlier granted requests that will definitely not be sent
   * @param now the current time
   * @returns what is granted; undefined if this VM doesn't own the share or the account has no known quota
   */
  take (share: string, account: string, wanted: number, unused: number, now: Instant): QuotaGrant | undefined {
    const bucket = this.getOrAddBucket(share, account)
    if (bucket === undefined) return undefined
    if (unused > 0) bucket.return(unused, now)
    const given = bucket.take(wanted, now)
    return { given, waitMs: given >= wanted ? 0 : bucket.getWaitMs(now) }
  }

  private updateBuckets (buckets: Map<string, QuotaBucket>, now: Instant): void {
    for (const [name, bucket] of buckets) {
      const parameters = this.getBucketParameters(name)
      if (parameters === undefined) buckets.delete(name)
      else bucket.setParameters(parameters, now)
    }
  }

  private getOrAddBucket (share: string, name: string): QuotaBucket | undefined {
    const ownedShare = this.ownedShares.get(share)
    const account = this.accounts.get(name)
    if (ownedShare === undefined || account === undefined) return undefined
    let bucket = ownedShare.buckets.get(name)
    if (bucket === undefined) {
      // Nothing was granted since this VM owns the share, so the bucket has been filling since then.
      bucket = new QuotaBucket(account.parameters, Math.max(ownedShare.startedAt, account.knownSince))
      ownedShare.buckets.set(name, bucket)
    }
    return bucket
  }
}
