/**
 * Entry VMs that share out quotas over a store, in simulated time: messages are
 * late or lost, links and the way to the store are cut, VMs pause, die and come back.
 * The decisions are the product's; links and store are this file's.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { DomainDistances } from '@umberspar/steering/common/entry/domainDistances'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type EntryNode, RecordKind, type ShareKeeper, type SteeringRecord } from '@umberspar/steering/common/entry/records'
import type { AccountPolicy, AccountQuota as Quota } from '@umberspar/steering/common/entry/steeringDocument'
import type { INodeRegistration, Tenure } from '@umberspar/steering/common/ports/steeringSource'
import type { QuotaTolerance } from '@umberspar/steering/common/quota/quotaBudget'
import { QuotaBuckets, type QuotaGrant } from '@umberspar/steering/common/quota/quotaBuckets'
import { listAccountShares, splitByNearness } from '@umberspar/steering/common/quota/quotaShares'
import { AccountQuota, NoGrant, QuotaEnd } from '../../../src/node/quota/accountQuota.js'
import type { QuotaQuestion } from '../../../src/node/quota/quotaMessages.js'
import { ShareClaimer } from '../../../src/node/quota/shareClaimer.js'

/** What is left out, to show that the check finds what it guards against. */
export interface QuotaWorldFlaws {
  /** A keeper goes on after its lease may have ended. */
  readonly ignoresLeaseEnd?: boolean
  /** VMs keep what they were given for ever. */
  readonly keepsStock?: boolean
}

export const REGIONS: ReadonlyMap<string, string> = new Map([['n-1', 'n'], ['n-2', 'n'], ['s-1', 's']])
export const TOLERANCE: QuotaTolerance = { windowMs: 5_000, over: 0.1, slack: 20 }
const LEASE_MS = 5_500
const RENEW_MS = 2_200
const ANSWER_MS = 220
const ACCOUNT = 'families'
const SILENT_LOGGER: ILogger = { log: () => {}, createChild: () => SILENT_LOGGER }

/** One request that was sent and has run. */
interface Run {
  readonly sentAt: Instant
  readonly ranAt: Instant
}

interface Lease {
  endsAt: Instant
}

/** The store: claims under leases, one at a time. */
class WorldStore {
  readonly leases = new Map<number, Lease>()
  readonly records = new Map<string, { record: SteeringRecord, lease: number }>()
  revision = 1
  private lastLease = 0

  constructor (private readonly world: QuotaWorld) {}

  createLease (): number {
    this.leases.set(++this.lastLease, { endsAt: this.world.clock.now() + LEASE_MS })
    return this.lastLease
  }

  put (record: SteeringRecord, lease: number): void {
    this.records.set(record.key, { record: { ...record, revision: ++this.revision }, lease })
  }

  endDueLeases (): void {
    const now = this.world.clock.now()
    for (const [id, { endsAt }] of this.leases) {
      if (endsAt <= now) this.endLease(id)
    }
  }

  endLease (id: number): void {
    this.leases.delete(id)
    for (const [key, { lease }] of this.records) {
      if (lease === id) this.records.delete(key)
    }
    this.revision++
  }
}

/** One VM: a process with a clock that stands still for nobody, and timers that wait while it is paused. */
class WorldVm implements IClock, INodeRegistration {
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

  constructor (private readonly world: QuotaWorld, readonly node: EntryNode) {
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
    this.view = new EntryView({ node: this.node.name, domain: this.node.domain, regionOf: REGIONS, distances: new DomainDistances(this.node.domain, REGIONS), coldTolerance: { factor: 1, slack: 1 }, budget: { ratio: 1, windowMs: 1, slack: 1 } })
    this.buckets = new QuotaBuckets(TOLERANCE, REGIONS)
    this.buckets.setAccounts([this.world.account], this.elapsed.now())
    this.claimer = new ShareClaimer({ clock: this, elapsed: this.elapsed, logger: SILENT_LOGGER, view: this.view, self: this.node, life: String(this.life), regionOf: REGIONS, registration: this, buckets: this.buckets, isLeaving: () => this.isDead })
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

/** The world of one seed. */
export class QuotaWorld {
  readonly clock = new ManualClock(0, 1_000_000)
  readonly random: SeededRandom
  readonly store = new WorldStore(this)
  readonly runs: Run[] = []
  refused = 0
  /** The part of messages that get lost. */
  lostPart = 0
  readonly account: AccountPolicy
  private readonly vms: readonly WorldVm[]

  constructor (seed: number, private readonly quota: Quota, readonly flaws: QuotaWorldFlaws = {}, vmCount = 9) {
    this.random = new SeededRandom(seed)
    this.account = { name: ACCOUNT, keyDigests: [], priority: undefined, quota, homeRegions: [] }
    const domains = [...REGIONS.keys()]
    this.vms = Array.from({ length: vmCount }, (_, index) => new WorldVm(this, { name: `vm-${index}`, address: '', peerAddress: `vm-${index}`, domain: domains[index % domains.length]! }))
  }

  /** Delivers to another VM, late, unless one is dead or they are cut off from each other. */
  send (from: string, to: string, deliver: (vm: WorldVm) => void): void {
    const target = this.vms.find(({ node }) => node.name === to)!
    const guarded = target.keepIn(() => { deliver(target) })
    if (this.random.next() < this.lostPart) return
    this.clock.schedule(this.clock.now() + 1 + this.random.next() * 40, () => {
      if (!target.cutFrom.has(from)) guarded()
    })
  }

  /** @returns what hands an answer to the process that asked, when it is not paused */
  returnTo<T> (vm: WorldVm, handle: (value: T) => void): (value: T) => void {
    let passed: T
    const guarded = vm.keepIn(() => { handle(passed) })
    return (value) => {
      passed = value
      guarded()
    }
  }

  /**
   * Lets callers send for a while.
   * @param perSecond of all callers together
   * @param troubles a second
   */
  async run (spanMs: number, perSecond: number, troubles: number): Promise<void> {
    const until = this.clock.now() + spanMs
    const stepMs = 5
    while (this.clock.now() < until) {
      for (let due = perSecond * stepMs / 1_000; this.random.next() < due; due--) this.choose().sendRequest()
      if (this.random.next() < troubles * stepMs / 1_000) this.startTrouble()
      await this.clock.runFor(stepMs)
    }
  }

  /** @returns the most requests that were both sent and run within any window */
  findMostInWindow (): number {
    const runs = [...this.runs].sort((left, right) => left.sentAt - right.sentAt)
    let most = 0
    for (const [from, { sentAt }] of runs.entries()) {
      const until = sentAt + TOLERANCE.windowMs
      let count = 0
      for (let index = from; index < runs.length && runs[index]!.sentAt <= until; index++) {
        if (runs[index]!.ranAt <= until) count++
      }
      most = Math.max(most, count)
    }
    return most
  }

  /** @returns the most that the quota and its tolerance allow in a window */
  get allowed (): number {
    const { ratePerSecond, burst } = this.quota
    return (ratePerSecond * TOLERANCE.windowMs / 1_000 + burst) * (1 + TOLERANCE.over) + TOLERANCE.slack
  }

  /** Cuts the keeper of each share, and one VM that asks it, off from the store for good. */
  breakKeepers (): void {
    for (const domain of REGIONS.keys()) {
      const members = this.vms.filter(({ node }) => node.domain === domain)
      const keeper = members.find((vm) => vm.countKept() > 0)!
      keeper.isCut = true
      members.find((vm) => vm !== keeper)!.isCut = true
    }
  }

  private choose (): WorldVm {
    return this.vms[Math.floor(this.random.next() * this.vms.length)]!
  }

  private startTrouble (): void {
    const kinds = [() => { this.breakStoreLink() }, () => { this.breakLinks() }, () => { this.choose().pause(this.random.next() * 9_000) }, () => { this.closeForAWhile() }]
    kinds[Math.floor(this.random.next() * kinds.length)]!()
  }

  private breakStoreLink (): void {
    const vm = this.choose()
    vm.isCut = true
    this.clock.schedule(this.clock.now() + this.random.next() * 12_000, () => { vm.isCut = false })
  }

  private breakLinks (): void {
    const vm = this.choose()
    const others = this.vms.filter((other) => other !== vm && this.random.next() < 0.5)
    for (const other of others) vm.cutFrom.add(other.node.name)
    this.clock.schedule(this.clock.now() + this.random.next() * 9_000, () => { vm.cutFrom.clear() })
  }

  private closeForAWhile (): void {
    const vm = this.choose()
    if (vm.isDead) return
    vm.stopProcess()
    this.clock.schedule(this.clock.now() + 500 + this.random.next() * 8_000, () => { vm.startProcess() })
  }
}
