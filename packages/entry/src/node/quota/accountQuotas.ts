/** The quotas of all accounts at one VM: asks keepers for its callers, and answers as a keeper itself. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { DomainDistances } from '@umberspar/steering/common/entry/domainDistances'
import { ViewChange } from '@umberspar/steering/common/entry/viewEvent'
import type { AccountPolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { QuotaBuckets, type QuotaGrant } from '@umberspar/steering/common/quota/quotaBuckets'
import type { QuotaTolerance } from '@umberspar/steering/common/quota/quotaBudget'
import { listAccountShares, type QuotaShare, splitByNearness } from '@umberspar/steering/common/quota/quotaShares'
import type { QuotaToken } from '@umberspar/steering/common/quota/quotaStock'
import type { PathHandler, PlainAnswer } from '../lookup/questionServer.js'
import { AccountQuota, NoGrant, type QuotaDecision, QuotaEnd, type QuotaListener } from './accountQuota.js'
import { QuotaClient } from './quotaClient.js'
import { parseQuestion, type QuotaQuestion } from './quotaMessages.js'
import { type ClaimerParts, ShareClaimer } from './shareClaimer.js'

/** What it is built from. */
export interface QuotaParts extends Omit<ClaimerParts, 'buckets'> {
  readonly distances: DomainDistances
  readonly tolerance: QuotaTolerance
}

/** Changes after which a share may be this VM's to claim. */
const CLAIM_CHANGES: ReadonlySet<ViewChange> = new Set([ViewChange.DocumentAdopted, ViewChange.NodeJoined, ViewChange.NodeLeft, ViewChange.ShareClaimed, ViewChange.ShareFreed])
const UNLIMITED: QuotaDecision = { end: QuotaEnd.Given, waitMs: 0 }
const BAD_QUESTION: PlainAnswer = { status: 400, contentType: 'text/plain', body: 'the question cannot be read\n' }
const NOT_KEPT: PlainAnswer = { status: 409, contentType: 'text/plain', body: 'this VM does not keep the share\n' }

/** The quotas at one VM. */
export class AccountQuotas implements IClosable {
  private readonly quotas = new Map<string, AccountQuota>()
  private readonly groups = new Map<string, QuotaShare[][]>()
  private readonly buckets: QuotaBuckets
  private readonly claimer: ShareClaimer
  private readonly client: QuotaClient

  /** @param parts what it is built from */
  constructor (private readonly parts: QuotaParts) {
    this.buckets = new QuotaBuckets(parts.tolerance, parts.regionOf)
    this.claimer = new ShareClaimer({ ...parts, buckets: this.buckets })
    this.client = new QuotaClient(parts.clock)
  }

  /** @returns how many shares this VM keeps */
  countKept (): number {
    return this.claimer.countKept()
  }

  /**
   * @param account the caller's account
   * @param listener told once whether its request may be sent
   */
  take (account: AccountPolicy, listener: QuotaListener): void {
    if (account.quota === undefined) listener(UNLIMITED)
    else this.readQuota(account.name).take(listener)
  }

  /**
   * @param account an account's name
   * @param token of a request that certainly did not run
   */
  return (account: string, token: QuotaToken): void {
    this.quotas.get(account)?.return(token)
  }

  /**
   * @param account the caller's account
   * @returns how much longer it is known to have used its quota up, in milliseconds; 0 if it may have some left
   */
  getSpentMs ({ name, quota }: AccountPolicy): number {
    return quota === undefined ? 0 : this.quotas.get(name)?.getSpentMs() ?? 0
  }

  /** Takes over a change of the view. */
  handleChange (change: ViewChange): void {
    if (change === ViewChange.DocumentAdopted) this.handleDocument()
    if (CLAIM_CHANGES.has(change)) this.claimer.handleChange()
  }

  private handleDocument (): void {
    const accounts = this.parts.view.document?.accounts ?? []
    this.buckets.setAccounts(accounts, this.parts.elapsed.now())
    const names = new Set(accounts.map(({ name }) => name))
    for (const name of this.quotas.keys()) {
      if (!names.has(name)) this.quotas.delete(name)
    }
  }

  /** @returns what answers other VMs that ask this one as a keeper */
  createHandler (): PathHandler {
    return (query) => {
      const question = parseQuestion(query)
      if (question === undefined) return BAD_QUESTION
      const grant = this.answer(question)
      return grant === undefined ? NOT_KEPT : { status: 200, contentType: 'application/json', body: JSON.stringify(grant) }
    }
  }

  close (): void {
    this.claimer.close()
    this.client.close()
  }

  private answer ({ share, account, wanted, unused }: QuotaQuestion): QuotaGrant | undefined {
    return this.claimer.isKept(share) ? this.buckets.take(share, account, wanted, unused, this.parts.elapsed.now()) : undefined
  }

  private readQuota (account: string): AccountQuota {
    let quota = this.quotas.get(account)
    if (quota === undefined) {
      const { elapsed } = this.parts
      quota = new AccountQuota(account, {
        now: () => elapsed.now(),
        listGroups: () => this.readGroups(account),
        getStockMs: () => this.buckets.readPart(account)?.stockMs ?? 0,
        ask: async (question) => await this.ask(question)
      })
      this.quotas.set(account, quota)
    }
    return quota
  }

  private readGroups (account: string): QuotaShare[][] {
    let groups = this.groups.get(account)
    if (groups === undefined) {
      const { self, regionOf } = this.parts
      groups = splitByNearness(listAccountShares(account, regionOf), self.domain, regionOf)
      this.groups.set(account, groups)
    }
    return groups
  }

  private async ask (question: QuotaQuestion): Promise<QuotaGrant | NoGrant> {
    const { view, distances } = this.parts
    if (this.claimer.isKept(question.share)) return this.answer(question) ?? NoGrant.NotKept
    const keeper = view.shares.get(question.share)?.keeper
    if (keeper === undefined) return NoGrant.NotKept
    const domain = view.nodes.get(keeper.node)?.domain
    return await this.client.ask(keeper.peerAddress, question, domain === undefined ? 0 : distances.getRoundTrip(domain))
  }
}
