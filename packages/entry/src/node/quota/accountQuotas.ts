/** The quotas of all accounts at one VM: requests tokens from share owners, and grants tokens of the shares that this VM owns. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { ViewChange } from '@umberspar/steering/common/entry/viewEvent'
import type { AccountPolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { QuotaBucketTable, type QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import type { QuotaTolerance } from '@umberspar/steering/common/quota/bucketParameters'
import { listAccountShares, type QuotaShare, splitByDistance } from '@umberspar/steering/common/quota/quotaShares'
import type { QuotaToken } from '@umberspar/steering/common/quota/quotaTokenPool'
import type { PathHandler } from '../lookup/endpointServer.js'
import type { EntryMetrics } from '../telemetry/entryMetrics.js'
import { AccountQuota, NoGrantReason, type QuotaDecision, QuotaOutcome, type QuotaListener } from './accountQuota.js'
import { QuotaClient } from './quotaClient.js'
import { answerQuotaRequests, type QuotaRequest } from './quotaMessages.js'
import { type ShareClaimerDependencies, ShareClaimer } from './shareClaimer.js'

/** Options of {@link AccountQuotas}. */
export interface AccountQuotasDependencies extends Omit<ShareClaimerDependencies, 'buckets'> {
  /** For timeouts of the VMs that keep shares. */
  readonly timeoutClock: IClock
  readonly roundTrips: DomainRoundTrips
  readonly tolerance: QuotaTolerance
  readonly metrics: Pick<EntryMetrics, 'countQuotaQuestion' | 'countQuotaAnswer'>
}

/** Changes after which this VM may have to claim a share. */
const CLAIM_TRIGGERS: ReadonlySet<ViewChange> = new Set([ViewChange.DocumentAdopted, ViewChange.NodeJoined, ViewChange.NodeLeft, ViewChange.ShareClaimed, ViewChange.ShareFreed])
const UNLIMITED: QuotaDecision = { outcome: QuotaOutcome.Granted, waitMs: 0 }

/** @returns the outcome of a request for tokens, for metrics */
function describeGrant (grant: QuotaGrant | NoGrantReason): string {
  if (typeof grant === 'string') return grant
  return grant.given > 0 ? QuotaOutcome.Granted : QuotaOutcome.Exhausted
}

/** The quotas of all accounts at one VM. */
export class AccountQuotas implements IClosable {
  private readonly quotas = new Map<string, AccountQuota>()
  private readonly groups = new Map<string, QuotaShare[][]>()
  private readonly buckets: QuotaBucketTable
  private readonly claimer: ShareClaimer
  private readonly client: QuotaClient

  constructor (private readonly dependencies: AccountQuotasDependencies) {
    this.buckets = new QuotaBucketTable(dependencies.tolerance, dependencies.regionByDomain)
    this.claimer = new ShareClaimer({ ...dependencies, buckets: this.buckets })
    this.client = new QuotaClient(dependencies.timeoutClock, dependencies.logger)
  }

  /** @returns the number of shares that this VM owns */
  countOwned (): number {
    return this.claimer.countOwned()
  }

  /**
   * @param account the caller's account
   * @param listener called once with the decision on the request
   */
  take (account: AccountPolicy, listener: QuotaListener): void {
    if (account.quota === undefined) listener(UNLIMITED)
    else this.getQuota(account.name).take(listener)
  }

  /**
   * @param account an account's name
   * @param token of a request that certainly did not run
   */
  return (account: string, token: QuotaToken): void {
    this.quotas.get(account)?.return(token)
  }

  /**
   * @param account the caller's account, if its quota applies
   * @returns how much longer the quota is known to be exhausted, in milliseconds; 0 if it may have tokens left
   */
  getExhaustedMs (account: AccountPolicy | undefined): number {
    return account?.quota === undefined ? 0 : this.quotas.get(account.name)?.getExhaustedMs() ?? 0
  }

  /** Handles a change of the view. */
  handleChange (change: ViewChange): void {
    if (change === ViewChange.DocumentAdopted) this.handleDocument()
    if (CLAIM_TRIGGERS.has(change)) this.claimer.handleChange()
  }

  private handleDocument (): void {
    const accounts = this.dependencies.view.document?.accounts ?? []
    this.buckets.setAccounts(accounts, this.dependencies.elapsed.now())
    const names = new Set(accounts.map(({ name }) => name))
    for (const name of this.quotas.keys()) {
      if (names.has(name)) continue
      this.quotas.get(name)?.close()
      this.quotas.delete(name)
    }
  }

  /** @returns the handler for requests of other VMs to this one as a share owner */
  createPeerHandler (): PathHandler {
    return (query) => answerQuotaRequests(query, (request) => {
      const grant = this.answer(request)
      this.dependencies.metrics.countQuotaAnswer(describeGrant(grant ?? NoGrantReason.NotOwned))
      return grant
    })
  }

  close (): void {
    for (const quota of this.quotas.values()) quota.close()
    this.claimer.close()
    this.client.close()
  }

  private answer ({ share, account, wanted, unused }: QuotaRequest): QuotaGrant | undefined {
    return this.claimer.isOwned(share) ? this.buckets.take(share, account, wanted, unused, this.dependencies.elapsed.now()) : undefined
  }

  private getQuota (account: string): AccountQuota {
    let quota = this.quotas.get(account)
    if (quota === undefined) {
      const { elapsed, timeoutClock } = this.dependencies
      quota = new AccountQuota(account, {
        now: () => elapsed.now(),
        listGroups: () => this.getGroups(account),
        getTokenLifetimeMs: () => this.buckets.getBucketParameters(account)?.maxTokenAgeMs ?? 0,
        schedule: (at, callback) => timeoutClock.schedule(timeoutClock.now() + at - elapsed.now(), callback),
        ask: async (request, onLate) => await this.ask(request, onLate)
      })
      this.quotas.set(account, quota)
    }
    return quota
  }

  private getGroups (account: string): QuotaShare[][] {
    let groups = this.groups.get(account)
    if (groups === undefined) {
      const { self, regionByDomain } = this.dependencies
      groups = splitByDistance(listAccountShares(account, regionByDomain), self.domain, regionByDomain)
      this.groups.set(account, groups)
    }
    return groups
  }

  private async ask (request: QuotaRequest, onLate: () => void): Promise<QuotaGrant | NoGrantReason> {
    const { view, roundTrips, metrics, clock } = this.dependencies
    if (this.claimer.isOwned(request.share)) return this.answer(request) ?? NoGrantReason.NotOwned
    const owner = view.shares.get(request.share)?.owner
    if (owner === undefined) return NoGrantReason.NotOwned
    const domain = view.nodes.get(owner.node)?.domain
    const askedAt = clock.now()
    const grant = await this.client.ask(owner.peerAddress, request, domain === undefined ? 0 : roundTrips.getRoundTripMs(domain), onLate)
    metrics.countQuotaQuestion(describeGrant(grant), clock.now() - askedAt)
    return grant
  }
}
