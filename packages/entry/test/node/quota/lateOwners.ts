/**
 * Simulates share owners whose processor time is limited: each message takes them a while, and messages wait for each other. What was given up by
 * its sender was read all the same. Callers that are refused return once. The decisions and messages are those of the product; links and time are
 * simulated.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import type { AccountPolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { QuotaBucketTable } from '@umberspar/steering/common/quota/quotaBucketTable'
import { listAccountShares, splitByDistance } from '@umberspar/steering/common/quota/quotaShares'
import { AccountQuota, QuotaOutcome } from '../../../src/node/quota/accountQuota.js'
import { QuotaClient } from '../../../src/node/quota/quotaClient.js'
import { answerQuotaRequests } from '../../../src/node/quota/quotaMessages.js'
import type { IQuotaTransport, QuotaTransportResponse, SentQuotaRequest } from '../../../src/node/quota/quotaTransport.js'

const REGIONS: ReadonlyMap<string, string> = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b'], ['c-1', 'c'], ['c-2', 'c']])
const TOLERANCE = { windowMs: 5_000, over: 0.1, slack: 20 }
const LINK_MS = 1
const STEP_MS = 5
/** How long a refused caller waits beside what it was told. */
const RETURN_DELAY_MS = 50

/** What is simulated. */
export interface LateOwnersOptions {
  readonly seed: number
  readonly vms: number
  readonly accounts: number
  /** Requests per second of all callers, repeats left out. */
  readonly perSecond: number
  /** What a message takes an owner, in milliseconds. */
  readonly messageMs: number
  /** What each of the tokens' accounts in a message takes it on top. */
  readonly entryMs: number
}

/** The owner of both shares of one failure domain. */
class LateOwner {
  readonly buckets: QuotaBucketTable
  private readonly queue: Array<{ readonly path: string, readonly reply: (response: QuotaTransportResponse) => void }> = []
  private isBusy = false
  private pausedUntil: Instant = 0

  constructor (private readonly clock: ManualClock, domain: string, accounts: readonly AccountPolicy[], private readonly options: LateOwnersOptions) {
    this.buckets = new QuotaBucketTable(TOLERANCE, REGIONS)
    this.buckets.setAccounts(accounts, 0)
    for (const index of [0, 1]) this.buckets.startShare(`${domain}-${index}`, 0)
  }

  pause (spanMs: number): void {
    this.pausedUntil = this.clock.now() + spanMs
  }

  handle (path: string, reply: (response: QuotaTransportResponse) => void): void {
    this.queue.push({ path, reply })
    if (!this.isBusy) this.handleNext()
  }

  private handleNext (): void {
    const next = this.queue.shift()
    this.isBusy = next !== undefined
    if (next === undefined) return
    const startsAt = Math.max(this.clock.now(), this.pausedUntil)
    const query = new URLSearchParams(next.path.slice(next.path.indexOf('?') + 1))
    let entries = 0
    const answer = answerQuotaRequests(query, ({ share, account, wanted, unused }) => {
      entries++
      return this.buckets.take(share, account, wanted, unused, startsAt)
    })
    this.clock.schedule(startsAt + this.options.messageMs + entries * this.options.entryMs, () => {
      next.reply({ status: answer.status, text: answer.body })
      this.handleNext()
    })
  }
}

/** The connections of one VM to the owners. */
class SimulatedTransport implements IQuotaTransport {
  constructor (private readonly clock: ManualClock, private readonly owners: ReadonlyMap<string, LateOwner>) {}

  send (address: string, path: string): SentQuotaRequest {
    let settle!: (response: QuotaTransportResponse | undefined) => void
    const response = new Promise<QuotaTransportResponse | undefined>((resolve) => { settle = resolve })
    this.clock.schedule(this.clock.now() + LINK_MS, () => { this.owners.get(address)!.handle(path, settle) })
    return { response, cancel: () => { settle(undefined) } }
  }

  close (): void {}
}

/** What became of the requests that were sent in one second, those of returning callers included. */
export interface QuotaSecond {
  sent: number
  granted: number
}

/** The VMs, their owners and their callers. */
export class LateOwnersSimulation {
  private readonly clock = new ManualClock(0, 1_000_000)
  private readonly random: SeededRandom
  private readonly owners = new Map<string, LateOwner>()
  private readonly quotas: AccountQuota[][]
  readonly seconds: QuotaSecond[] = []

  constructor (private readonly options: LateOwnersOptions) {
    const { seed, vms, accounts: accountCount, perSecond } = options
    this.random = new SeededRandom(seed)
    const accounts: AccountPolicy[] = Array.from({ length: accountCount }, (_, index) => ({ name: `account-${index}`, keyDigests: [], priority: undefined, quota: { ratePerSecond: perSecond, burst: perSecond }, homeRegions: [] }))
    const domains = [...REGIONS.keys()]
    for (const domain of domains) this.owners.set(domain, new LateOwner(this.clock, domain, accounts, options))
    this.quotas = Array.from({ length: vms }, (_, index) => this.createQuotas(domains[index % domains.length]!, accounts))
  }

  /** Pauses all owners, as a start of their processes does. */
  pauseOwners (spanMs: number): void {
    for (const owner of this.owners.values()) owner.pause(spanMs)
  }

  /** Lets callers send requests for a while. */
  async run (spanMs: number): Promise<void> {
    const until = this.clock.now() + spanMs
    while (this.clock.now() < until) {
      for (let due = this.options.perSecond * STEP_MS / 1_000; this.random.next() < due; due--) this.sendRequest(true)
      await this.clock.runFor(STEP_MS)
    }
  }

  /** @returns the share of the requests that were granted of those sent in the last seconds */
  getGrantedShare (seconds: number): number {
    const last = this.seconds.slice(-seconds)
    return last.reduce((sum, { granted }) => sum + granted, 0) / last.reduce((sum, { sent }) => sum + sent, 0)
  }

  private sendRequest (mayReturn: boolean): void {
    const vm = this.quotas[Math.floor(this.random.next() * this.quotas.length)]!
    const quota = vm[Math.floor(this.random.next() * vm.length)]!
    const second = this.getSecond()
    second.sent++
    quota.take(({ outcome, waitMs }) => {
      if (outcome === QuotaOutcome.Granted) second.granted++
      else if (mayReturn) this.clock.schedule(this.clock.now() + waitMs + RETURN_DELAY_MS, () => { this.sendRequest(false) })
    })
  }

  private getSecond (): QuotaSecond {
    const index = Math.floor(this.clock.now() / 1_000)
    while (this.seconds.length <= index) this.seconds.push({ sent: 0, granted: 0 })
    return this.seconds[index]!
  }

  private createQuotas (domain: string, accounts: readonly AccountPolicy[]): AccountQuota[] {
    const client = new QuotaClient(this.clock, NULL_LOGGER, new SimulatedTransport(this.clock, this.owners))
    const parameters = new QuotaBucketTable(TOLERANCE, REGIONS)
    parameters.setAccounts(accounts, 0)
    return accounts.map(({ name }) => new AccountQuota(name, {
      now: () => this.clock.now(),
      listGroups: () => splitByDistance(listAccountShares(name, REGIONS), domain, REGIONS),
      getTokenLifetimeMs: () => parameters.getBucketParameters(name)!.maxTokenAgeMs,
      schedule: (at, callback) => this.clock.schedule(at, callback),
      ask: async (request, onLate) => await client.ask(request.share.slice(0, request.share.lastIndexOf('-')), request, LINK_MS * 2, onLate)
    }))
  }
}
