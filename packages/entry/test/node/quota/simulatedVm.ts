/** An entry VM of a simulation: the quotas of the product, with links and a store that fail. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import type { ManualClock } from '@umberspar/base/common/manualClock'
import type { SeededRandom } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type EntryNode, RecordKind, type ShareOwner, type SteeringRecord } from '@umberspar/steering/common/entry/records'
import type { AccountPolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { INodeRegistration, RegistrationLease } from '@umberspar/steering/common/ports/steeringSource'
import type { QuotaTolerance } from '@umberspar/steering/common/quota/bucketParameters'
import { QuotaBucketTable, type QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import { listAccountShares, splitByDistance } from '@umberspar/steering/common/quota/quotaShares'
import { AccountQuota, NoGrantReason, QuotaOutcome } from '../../../src/node/quota/accountQuota.js'
import type { QuotaRequest } from '../../../src/node/quota/quotaMessages.js'
import { ShareClaimer } from '../../../src/node/quota/shareClaimer.js'
import { LEASE_MS, type SimulatedStore } from './simulatedStore.js'

/** Deliberate flaws, which show that the tests detect what they guard against. */
export interface SimulationFlaws {
  /** A share owner continues to grant tokens after its lease may have ended. */
  readonly ignoresLeaseEnd?: boolean
  /** VMs keep granted tokens forever. */
  readonly keepsTokens?: boolean
}

export const REGIONS: ReadonlyMap<string, string> = new Map([['n-1', 'n'], ['n-2', 'n'], ['s-1', 's']])
export const TOLERANCE: QuotaTolerance = { windowMs: 5_000, over: 0.1, slack: 20 }
export const ACCOUNT = 'families'
const RENEWAL_INTERVAL_MS = 2_200
const LATE_MS = 220
const RESPONSE_TIMEOUT_MS = 4_070
const SILENT_LOGGER: ILogger = { log: () => {}, createChild: () => SILENT_LOGGER }

/** A request that was sent and has run. */
export interface Run {
  readonly sentAt: Instant
  readonly ranAt: Instant
}

/** The simulation as its VMs see it. */
export interface ISimulation {
  readonly clock: ManualClock
  readonly random: SeededRandom
  readonly store: SimulatedStore
  readonly account: AccountPolicy
  readonly flaws: SimulationFlaws
  readonly runs: Run[]
  readonly lossRatio: number
  refused: number
  send(from: string, to: string, deliver: (vm: SimulatedVm) => void): void
  createReplyCallback<T>(vm: SimulatedVm, handle: (value: T) => void): (value: T) => void
}

/** A VM with one process at a time. Its clock advances while the process is paused; its timers are deferred. */
export class SimulatedVm implements IClock, INodeRegistration {
  private processNumber = 0
  private lease: number | undefined
  private leaseUntil = 0
  private deferred: Array<() => void> = []
  private isPaused = false
  isDead = false
  isCutFromStore = false
  readonly cutFrom = new Set<string>()
  private view!: EntryView
  private buckets!: QuotaBucketTable
  private claimer!: ShareClaimer
  private quota!: AccountQuota
  private elapsed!: ElapsedClock

  constructor (private readonly simulation: ISimulation, readonly node: EntryNode) {
    this.startProcess()
  }

  now (): Instant { return this.simulation.clock.now() }

  getWallTime (): number { return this.simulation.clock.getWallTime() }

  schedule (at: Instant, callback: () => void): ITimer {
    return this.simulation.clock.schedule(at, this.createProcessCallback(callback))
  }

  /** @returns a callback that runs only in the process that created it, deferred while that is paused */
  createProcessCallback (callback: () => void): () => void {
    const { processNumber } = this
    const run = (): void => {
      if (this.isDead || processNumber !== this.processNumber) return
      if (this.isPaused) this.deferred.push(run)
      else callback()
    }
    return run
  }

  startProcess (): void {
    this.processNumber++
    this.isDead = false
    this.lease = undefined
    this.elapsed = new ElapsedClock(this)
    this.view = new EntryView({ mayShare: () => true, node: this.node.name, domain: this.node.domain, regionByDomain: REGIONS, roundTrips: new DomainRoundTrips(this.node.domain, REGIONS), coldTolerance: { factor: 1, slack: 1 }, rateTolerance: { factor: 1.5, slack: 5 }, retryBudget: { ratio: 1, windowMs: 1, slack: 1 }, startedAt: 0 })
    this.buckets = new QuotaBucketTable(TOLERANCE, REGIONS)
    this.buckets.setAccounts([this.simulation.account], this.elapsed.now())
    this.claimer = new ShareClaimer({ clock: this, elapsed: this.elapsed, logger: SILENT_LOGGER, view: this.view, self: this.node, life: String(this.processNumber), regionByDomain: REGIONS, registration: this, buckets: this.buckets, startedAt: this.elapsed.now(), isLeaving: () => this.isDead })
    this.quota = new AccountQuota(ACCOUNT, {
      now: () => this.elapsed.now(),
      listGroups: () => splitByDistance(listAccountShares(ACCOUNT, REGIONS), this.node.domain, REGIONS),
      getTokenLifetimeMs: () => this.simulation.flaws.keepsTokens === true ? Infinity : this.buckets.getBucketParameters(ACCOUNT)!.maxTokenAgeMs,
      schedule: (at, callback) => this.schedule(at, callback),
      ask: async (request, onLate) => await this.ask(request, onLate)
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
    this.simulation.clock.schedule(this.now() + spanMs, () => {
      this.isPaused = false
      const { deferred } = this
      this.deferred = []
      for (const callback of deferred) callback()
    })
  }

  /** Sends a request from a caller to this VM. */
  sendRequest (): void {
    const sentAt = this.now()
    this.createProcessCallback(() => {
      this.quota.take(({ outcome: end, token }) => {
        if (end !== QuotaOutcome.Granted) {
          this.simulation.refused++
          return
        }
        // Some requests are not sent after all, and return their token.
        if (this.simulation.random.next() < 0.1 && token !== undefined) this.quota.return(token)
        else this.schedule(this.now() + this.simulation.random.next() * 40, () => { this.simulation.runs.push({ sentAt, ranAt: this.now() }) })
      })
    })()
  }

  countOwned (): number {
    return this.claimer.countOwned()
  }

  // INodeRegistration.

  get currentLease (): RegistrationLease | undefined {
    if (this.lease === undefined) return undefined
    return { id: this.lease, until: this.simulation.flaws.ignoresLeaseEnd === true ? Infinity : this.leaseUntil, era: 1 }
  }

  async claimShare (owner: ShareOwner, expectedRevision: number): Promise<Result<number, StepError>> {
    const { lease } = this
    const key = `share/${owner.share}`
    const written = await this.callStore(() => {
      const known = this.simulation.store.records.get(key)?.record.revision ?? 0
      if (lease === undefined || !this.simulation.store.leases.has(lease) || known !== expectedRevision) return false
      this.simulation.store.put({ kind: RecordKind.Share, key, revision: 0, value: owner }, lease)
      return true
    })
    if (written === true) return Ok(lease!)
    return Err(new StepError({ code: ErrorCode.Conflict, step: 'claim-share', peer: 'store', message: 'claim was lost or refused' }))
  }

  readonly earlierLeasesEndAt = Number.NEGATIVE_INFINITY

  checkLease (): void {}

  getLeaseEnd (id: number): number {
    return this.currentLease?.id === id ? this.currentLease.until : Number.NEGATIVE_INFINITY
  }

  start (): void {}

  register (): void {}

  update (): void {}

  withdraw (): void {}

  close (): void {}

  private keepLease (): void {
    const askedAt = this.elapsed.now()
    const lease = this.lease
    const callback = this.createProcessCallback(() => {
      this.callStore(() => {
        if (lease !== undefined && this.simulation.store.leases.has(lease)) {
          this.simulation.store.leases.get(lease)!.endsAt = this.now() + LEASE_MS
          return lease
        }
        const created = this.simulation.store.createLease()
        this.simulation.store.put({ kind: RecordKind.Node, key: `vm/${this.node.name}`, revision: 0, value: this.node }, created)
        return created
      }).then(this.simulation.createReplyCallback(this, (id) => {
        if (id === undefined) return
        this.lease = id
        this.leaseUntil = askedAt + LEASE_MS
      }), () => {})
    })
    callback()
    this.schedule(this.now() + RENEWAL_INTERVAL_MS, () => { this.keepLease() })
  }

  /** Reads all records of the store, after a delay, and not while the VM is disconnected from it. */
  private readStore (): void {
    this.callStore(() => [...this.simulation.store.records.values()].map(({ record }) => record)).then(this.simulation.createReplyCallback(this, (records) => {
      if (records !== undefined) this.applyRecords(records)
    }), () => {})
    this.schedule(this.now() + 100 + this.simulation.random.next() * 300, () => { this.readStore() })
  }

  private applyRecords (records: readonly SteeringRecord[]): void {
    const shares = new Set(records.map((record) => record.kind === RecordKind.Share ? record.value.share : ''))
    const nodes = new Set(records.map((record) => record.kind === RecordKind.Node ? record.value.name : ''))
    for (const name of [...this.view.shares.keys()]) {
      if (!shares.has(name)) this.view.shares.delete(name)
    }
    for (const name of [...this.view.nodes.keys()]) {
      if (!nodes.has(name)) this.view.removeNode(name, this.now())
    }
    for (const record of records) this.view.applyChange({ record, previous: undefined }, this.now())
    this.claimer.handleChange()
  }

  /** @returns the store's response; undefined if the call or its response is lost */
  private async callStore<T> (call: () => T): Promise<T | undefined> {
    const { clock, random } = this.simulation
    return await new Promise((resolve) => {
      clock.schedule(clock.now() + 2 + random.next() * 60, () => {
        if (this.isCutFromStore) return resolve(undefined)
        this.simulation.store.endDueLeases()
        const answer = call()
        const isLost = random.next() < this.simulation.lossRatio
        clock.schedule(clock.now() + 2 + random.next() * 60, () => { resolve(isLost || this.isCutFromStore ? undefined : answer) })
      })
    })
  }

  // Requests to share owners, and grants.

  private async ask (request: QuotaRequest, onLate: () => void): Promise<QuotaGrant | NoGrantReason> {
    const owner = this.view.shares.get(request.share)?.owner
    if (owner === undefined) return NoGrantReason.NotOwned
    return await new Promise((resolve) => {
      const lateTimer = this.schedule(this.now() + LATE_MS, onLate)
      const end = (grant: QuotaGrant | NoGrantReason): void => {
        lateTimer.close()
        resolve(grant)
      }
      const settle = this.simulation.createReplyCallback(this, end)
      this.schedule(this.now() + RESPONSE_TIMEOUT_MS, () => { end(NoGrantReason.Unresponsive) })
      this.simulation.send(this.node.name, owner.node, (vm) => {
        const grant = vm.answer(request)
        this.simulation.send(owner.node, this.node.name, () => { settle(grant ?? NoGrantReason.NotOwned) })
      })
    })
  }

  answer ({ share, account, wanted, unused }: QuotaRequest): QuotaGrant | undefined {
    return this.claimer.isOwned(share) ? this.buckets.take(share, account, wanted, unused, this.elapsed.now()) : undefined
  }
}
