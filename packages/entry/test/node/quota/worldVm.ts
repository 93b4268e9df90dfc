/** One entry VM of a simulated world: the product's quotas over links and a store that fail. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import type { ManualClock } from '@umberspar/base/common/manualClock'
import type { SeededRandom } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { DomainDistances } from '@umberspar/steering/common/entry/domainDistances'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type EntryNode, RecordKind, type ShareKeeper, type SteeringRecord } from '@umberspar/steering/common/entry/records'
import type { AccountPolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { INodeRegistration, Tenure } from '@umberspar/steering/common/ports/steeringSource'
import type { QuotaTolerance } from '@umberspar/steering/common/quota/quotaBudget'
import { QuotaBuckets, type QuotaGrant } from '@umberspar/steering/common/quota/quotaBuckets'
import { listAccountShares, splitByNearness } from '@umberspar/steering/common/quota/quotaShares'
import { AccountQuota, NoGrant, QuotaEnd } from '../../../src/node/quota/accountQuota.js'
import type { QuotaQuestion } from '../../../src/node/quota/quotaMessages.js'
import { ShareClaimer } from '../../../src/node/quota/shareClaimer.js'
import { LEASE_MS, type WorldStore } from './worldStore.js'

/** What is left out, to show that the check finds what it guards against. */
export interface QuotaWorldFlaws {
  /** A keeper goes on after its lease may have ended. */
  readonly ignoresLeaseEnd?: boolean
  /** VMs keep what they were given for ever. */
  readonly keepsStock?: boolean
}

export const REGIONS: ReadonlyMap<string, string> = new Map([['n-1', 'n'], ['n-2', 'n'], ['s-1', 's']])
export const TOLERANCE: QuotaTolerance = { windowMs: 5_000, over: 0.1, slack: 20 }
export const ACCOUNT = 'families'
const RENEW_MS = 2_200
const ANSWER_MS = 220
const SILENT_LOGGER: ILogger = { log: () => {}, createChild: () => SILENT_LOGGER }

/** One request that was sent and has run. */
export interface Run {
  readonly sentAt: Instant
  readonly ranAt: Instant
}

/** What a VM lives in. */
export interface IWorld {
  readonly clock: ManualClock
  readonly random: SeededRandom
  readonly store: WorldStore
  readonly account: AccountPolicy
  readonly flaws: QuotaWorldFlaws
  readonly runs: Run[]
  readonly lostPart: number
  refused: number
  send(from: string, to: string, deliver: (vm: WorldVm) => void): void
  returnTo<T>(vm: WorldVm, handle: (value: T) => void): (value: T) => void
}

/** One VM: a process with a clock that stands still for nobody, and timers that wait while it is paused. */
export class WorldVm implements IClock, INodeRegistration {
  private life = 0
  private lease: number | undefined
  private leaseUntil = 0
  private deferred: Array<() => void> = []
  private isPaused = false
  isDead = false
  isCut = false
  readonly cutFrom = new Set<string>()
  private view!: EntryView
  private buckets!: QuotaBuckets
  private claimer!: ShareClaimer
  private quota!: AccountQuota
  private elapsed!: ElapsedClock

  constructor (private readonly world: IWorld, readonly node: EntryNode) {
    this.startProcess()
  }

  now (): Instant { return this.world.clock.now() }

  getWallTime (): number { return this.world.clock.getWallTime() }

  schedule (at: Instant, callback: () => void): ITimer {
    return this.world.clock.schedule(at, this.keepIn(callback))
  }

  /** @returns what runs only in the process that made it, and not while that is paused */
  keepIn (callback: () => void): () => void {
    const { life } = this
    const run = (): void => {
      if (this.isDead || life !== this.life) return
      if (this.isPaused) this.deferred.push(run)
      else callback()
    }
    return run
  }

  startProcess (): void {
    this.life++
    this.isDead = false
    this.lease = undefined
    this.elapsed = new ElapsedClock(this)
    this.view = new EntryView({ node: this.node.name, domain: this.node.domain, regionOf: REGIONS, distances: new DomainDistances(this.node.domain, REGIONS), coldTolerance: { factor: 1, slack: 1 }, rateTolerance: { factor: 1.5, slack: 5 }, budget: { ratio: 1, windowMs: 1, slack: 1 } })
    this.buckets = new QuotaBuckets(TOLERANCE, REGIONS)
    this.buckets.setAccounts([this.world.account], this.elapsed.now())
    this.claimer = new ShareClaimer({ clock: this, elapsed: this.elapsed, logger: SILENT_LOGGER, view: this.view, self: this.node, life: String(this.life), regionOf: REGIONS, registration: this, buckets: this.buckets, startedAt: this.elapsed.now(), isLeaving: () => this.isDead })
    this.quota = new AccountQuota(ACCOUNT, {
      now: () => this.elapsed.now(),
      listGroups: () => splitByNearness(listAccountShares(ACCOUNT, REGIONS), this.node.domain, REGIONS),
      getStockMs: () => this.world.flaws.keepsStock === true ? Infinity : this.buckets.readPart(ACCOUNT)!.stockMs,
      ask: async (question) => await this.ask(question)
    })
    this.keepLease()
    this.readStore()
  }

  stopProcess (): void {
    this.isDead = true
    this.isPaused = false
    this.deferred = []
  }

  pause (spanMs: number): void {
    if (this.isDead || this.isPaused) return
    this.isPaused = true
    this.world.clock.schedule(this.now() + spanMs, () => {
      this.isPaused = false
      const { deferred } = this
      this.deferred = []
      for (const run of deferred) run()
    })
  }

  /** A caller sends a request here. */
  sendRequest (): void {
    const sentAt = this.now()
    this.keepIn(() => {
      this.quota.take(({ end, token }) => {
        if (end !== QuotaEnd.Given) {
          this.world.refused++
          return
        }
        // Some are not sent after all, and what they were given goes back.
        if (this.world.random.next() < 0.1 && token !== undefined) this.quota.return(token)
        else this.schedule(this.now() + this.world.random.next() * 40, () => { this.world.runs.push({ sentAt, ranAt: this.now() }) })
      })
    })()
  }

  countKept (): number {
    return this.claimer.countKept()
  }

  // The registration.

  get tenure (): Tenure | undefined {
    if (this.lease === undefined) return undefined
    return { id: this.lease, until: this.world.flaws.ignoresLeaseEnd === true ? Infinity : this.leaseUntil }
  }

  async claimShare (keeper: ShareKeeper, expectedRevision: number): Promise<Result<number, StepError>> {
    const { lease } = this
    const key = `share/${keeper.share}`
    const written = await this.callStore(() => {
      const known = this.world.store.records.get(key)?.record.revision ?? 0
      if (lease === undefined || !this.world.store.leases.has(lease) || known !== expectedRevision) return false
      this.world.store.put({ kind: RecordKind.Share, key, revision: 0, value: keeper }, lease)
      return true
    })
    if (written === true) return Ok(lease!)
    return Err(new StepError({ code: ErrorCode.Conflict, step: 'claim-share', peer: 'store', message: 'lost or refused' }))
  }

  start (): void {}

  register (): void {}

  withdraw (): void {}

  close (): void {}

  private keepLease (): void {
    const askedAt = this.elapsed.now()
    const lease = this.lease
    const run = this.keepIn(() => {
      this.callStore(() => {
        if (lease !== undefined && this.world.store.leases.has(lease)) {
          this.world.store.leases.get(lease)!.endsAt = this.now() + LEASE_MS
          return lease
        }
        const made = this.world.store.createLease()
        this.world.store.put({ kind: RecordKind.Node, key: `vm/${this.node.name}`, revision: 0, value: this.node }, made)
        return made
      }).then(this.world.returnTo(this, (id) => {
        if (id === undefined) return
        this.lease = id
        this.leaseUntil = askedAt + LEASE_MS
      }), () => {})
    })
    run()
    this.schedule(this.now() + RENEW_MS, () => { this.keepLease() })
  }

  /** Takes over everything that the store holds, late and not while it is cut off. */
  private readStore (): void {
    this.callStore(() => [...this.world.store.records.values()].map(({ record }) => record)).then(this.world.returnTo(this, (records) => {
      if (records !== undefined) this.applyRecords(records)
    }), () => {})
    this.schedule(this.now() + 100 + this.world.random.next() * 300, () => { this.readStore() })
  }

  private applyRecords (records: readonly SteeringRecord[]): void {
    const shares = new Set(records.map((record) => record.kind === RecordKind.Share ? record.value.share : ''))
    const nodes = new Set(records.map((record) => record.kind === RecordKind.Node ? record.value.name : ''))
    for (const name of [...this.view.shares.keys()]) {
      if (!shares.has(name)) this.view.shares.delete(name)
    }
    for (const name of [...this.view.nodes.keys()]) {
      if (!nodes.has(name)) this.view.removeNode(name)
    }
    for (const record of records) this.view.apply({ record, previous: undefined }, this.now())
    this.claimer.handleChange()
  }

  /** @returns what the store answers; undefined if the call or its answer is lost */
  private async callStore<T> (call: () => T): Promise<T | undefined> {
    const { clock, random } = this.world
    return await new Promise((resolve) => {
      clock.schedule(clock.now() + 2 + random.next() * 60, () => {
        if (this.isCut) return resolve(undefined)
        this.world.store.endDueLeases()
        const answer = call()
        const isLost = random.next() < this.world.lostPart
        clock.schedule(clock.now() + 2 + random.next() * 60, () => { resolve(isLost || this.isCut ? undefined : answer) })
      })
    })
  }

  // The keeper and who asks it.

  private async ask (question: QuotaQuestion): Promise<QuotaGrant | NoGrant> {
    const keeper = this.view.shares.get(question.share)?.keeper
    if (keeper === undefined) return NoGrant.NotKept
    return await new Promise((resolve) => {
      const settle = this.world.returnTo(this, resolve)
      this.schedule(this.now() + ANSWER_MS, () => { resolve(NoGrant.Silent) })
      this.world.send(this.node.name, keeper.node, (vm) => {
        const grant = vm.answer(question)
        this.world.send(keeper.node, this.node.name, () => { settle(grant ?? NoGrant.NotKept) })
      })
    })
  }

  answer ({ share, account, wanted, unused }: QuotaQuestion): QuotaGrant | undefined {
    return this.claimer.isKept(share) ? this.buckets.take(share, account, wanted, unused, this.elapsed.now()) : undefined
  }
}
