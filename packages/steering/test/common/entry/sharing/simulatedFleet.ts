/**
 * A fleet of entry VMs in simulated time, on the product's decisions: each VM follows the records with a delay
 * of its own, may lose the store, its peers or its process, and sends a worker with a rate limit as many requests as
 * its decisions allow. Counts by the users' rule: requests from VMs that had been told of the limit.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { EntryView } from '../../../../src/common/entry/entryView.js'
import { RecordKind, type SteeringRecord, UpstreamState } from '../../../../src/common/entry/records.js'
import { Membership } from '../../../../src/common/entry/sharing/membership.js'
import { RouteKind } from '../../../../src/common/entry/steeringDocument.js'
import { ServiceTimeEstimate } from '../../../../src/common/entry/workers/serviceTimeEstimate.js'

export const TICK_MS = 100
const SERVICE = 'archive'
export const LIMITED_WORKER = 'w-limited'
const STABILITY_MS = 3_000
const MS_PER_SECOND = 1_000
/** How long after its last renewal a registration is removed. */
const LEASE_MS = 4_500
const RESPONSE_MS = 200
/** How often a VM updates its membership. */
const MEMBERSHIP_INTERVAL_MS = 1_000
/** A VM writes what a worker announces this long after. */
const REPORT_DELAY_MS = 500
/** Requests per tick that reach a VM for the limited worker. */
const OFFERED_PER_TICK = 3
/** Objects that callers ask for. */
const KEYS = 400
const NO_WORKERS: ReadonlySet<string> = new Set()
const TOLERANCE = { factor: 1.5, slack: 5 }
const SERVICE_TIMES = new ServiceTimeEstimate({ name: 'route', host: 'host', prefix: '/', kind: RouteKind.Idempotent, parts: [], timeoutMs: 1_000, goalMs: 500, attempts: 1, priority: 1, isSticky: true, homeRegions: [], isOpen: false })

/** What can happen to a VM or to records. */
export enum FleetFault {
  /** The store answers the VM nothing; other VMs go on telling it of changes. */
  StoreSilent = 'store-silent',
  /** Neither the store nor other VMs reach the VM; callers and workers do. */
  CutOff = 'cut-off',
  /** The process is killed and starts again after the fault. */
  Down = 'down',
  /** The VM is gone for good. */
  Removed = 'removed',
  /** A VM is added. */
  Added = 'added',
  /** The registrations of all other workers are missing. */
  WorkersAway = 'workers-away',
  /** The registration of the limited worker is missing. */
  LimitedWorkerAway = 'limited-worker-away',
  /** The store answers nobody. */
  StoreDown = 'store-down'
}

/** What the limited worker limits. */
export enum LimitKind {
  /** It announces a rate limit in its responses; counted are requests of VMs that had been told. */
  Rate = 'rate',
  /** It starts cold; counted are all requests. */
  Cold = 'cold'
}

/** The spans in which operators count what a worker gets. */
const WINDOW_MS_BY_KIND: Readonly<Record<LimitKind, number>> = { [LimitKind.Rate]: 4_000, [LimitKind.Cold]: 1_000 }

/** A fault of the plan. */
export interface PlannedFault {
  readonly fault: FleetFault
  readonly atMs: number
  readonly spanMs: number
  /** Selects the VM. */
  readonly target: number
}

/** A fleet and what happens to it. */
export interface FleetPlan {
  readonly domains: number
  readonly vms: number
  readonly perSecond: number
  /** The delay with which each VM learns of changes; chosen in turn. */
  readonly delaysMs: readonly number[]
  readonly faults: readonly PlannedFault[]
  readonly durationMs: number
  readonly kind?: LimitKind
}

interface StoreChange {
  readonly at: Instant
  readonly record: SteeringRecord | undefined
  readonly previous: SteeringRecord | undefined
}

/** The records of the store and their changes, in order. */
class SimulatedStore {
  readonly records = new Map<string, SteeringRecord>()
  readonly changes: StoreChange[] = []

  put (record: SteeringRecord, at: Instant): void {
    const previous = this.records.get(record.key)
    this.records.set(record.key, record)
    this.changes.push({ at, record, previous })
  }

  remove (key: string, at: Instant): void {
    const previous = this.records.get(key)
    if (previous === undefined) return
    this.records.delete(key)
    this.changes.push({ at, record: undefined, previous })
  }
}

/** One VM; its process may be replaced. */
class SimulatedVm {
  isDown = false
  isRemoved = false
  isStoreSilent = false
  isCutOff = false
  isInformed = false
  private view!: EntryView
  private membership!: Membership
  private membershipDueAt: Instant = 0
  private reportDueAt: Instant = Infinity
  private currentAt: Instant = Number.NEGATIVE_INFINITY
  private appliedChanges = 0
  private renewedAt: Instant = Number.NEGATIVE_INFINITY
  private pendingResponses: Instant[] = []

  constructor (readonly name: string, readonly domain: string, private readonly delayMs: number, private readonly fleet: SimulatedFleet) {}

  start (): void {
    const { regionByDomain, store, now } = this.fleet
    this.isDown = false
    this.pendingResponses = []
    this.view = new EntryView({ mayShare: (windowMs) => this.membership.mayShare(windowMs), node: this.name, domain: this.domain, regionByDomain, roundTrips: new DomainRoundTrips(this.domain, regionByDomain), coldTolerance: TOLERANCE, rateTolerance: TOLERANCE, retryBudget: { ratio: 0.2, windowMs: 10_000, slack: 60 }, startedAt: now })
    this.view.getPool(SERVICE).policy = { name: SERVICE, healthPath: '/', coldMs: 0, coldPerSecond: this.fleet.plan.perSecond, maxConnections: 0 }
    for (const record of store.records.values()) this.view.applyChange({ record, previous: undefined }, now)
    this.appliedChanges = store.changes.length
    this.membership = new Membership(this.name, { nodes: this.view.nodes, members: this.view.sharers.members }, now, () => this.fleet.now)
    this.membershipDueAt = now
    this.reportDueAt = Infinity
    this.currentAt = Number.NEGATIVE_INFINITY
  }

  step (): void {
    if (this.isDown || this.isRemoved) return
    this.updateRecords()
    this.readResponses()
    const others = this.fleet.prefersOthers ? NO_WORKERS : this.fleet.listOtherWorkers()
    for (let offered = 0; offered < OFFERED_PER_TICK; offered++) this.sendIfAllowed(others)
  }

  private updateRecords (): void {
    const { now, isStoreDown } = this.fleet
    const isReached = !this.isCutOff && !isStoreDown
    const canWrite = isReached && !this.isStoreSilent
    if (!this.isCutOff) this.applyChanges()
    if (isReached) this.currentAt = now
    if (canWrite) this.renew()
    if (now >= this.membershipDueAt) this.updateMembership(canWrite)
    if (now >= this.reportDueAt && canWrite) this.reportLimit()
  }

  private readResponses (): void {
    const { now } = this.fleet
    const hasArrived = this.pendingResponses.some((at) => at <= now)
    this.pendingResponses = this.pendingResponses.filter((at) => at > now)
    if (hasArrived) this.readResponse()
  }

  /** Removes the registration if its lease has expired. */
  removeExpired (): void {
    const { now, store, isStoreDown } = this.fleet
    if (!isStoreDown && now >= this.renewedAt + LEASE_MS) store.remove(`entry-vms/${this.name}`, now)
  }

  private applyChanges (): void {
    const { now, store } = this.fleet
    for (;;) {
      const change = store.changes[this.appliedChanges]
      if (change === undefined || change.at > now - this.delayMs) return
      this.appliedChanges++
      this.view.applyChange({ record: change.record, previous: change.previous }, now)
    }
  }

  private renew (): void {
    const { now, store } = this.fleet
    this.renewedAt = now
    const key = `entry-vms/${this.name}`
    if (store.records.has(key)) return
    store.put({ kind: RecordKind.Node, key, revision: this.fleet.createRevision(), value: { name: this.name, address: this.name, peerAddress: this.name, domain: this.domain } }, now)
  }

  private updateMembership (canWrite: boolean): void {
    const { now, store } = this.fleet
    this.membershipDueAt = now + MEMBERSHIP_INTERVAL_MS
    const { mustJoin, absent } = this.membership.update(now - this.currentAt)
    if (!canWrite) return
    const key = `entry-members/${this.name}`
    if (mustJoin && !store.records.has(key)) store.put({ kind: RecordKind.Member, key, revision: this.fleet.createRevision(), value: { name: this.name, domain: this.domain } }, now)
    for (const record of absent) if (store.records.get(record.key)?.revision === record.revision) store.remove(record.key, now)
  }

  private reportLimit (): void {
    const { now, store, plan } = this.fleet
    this.reportDueAt = Infinity
    const key = `entry-rate-limits/${LIMITED_WORKER}`
    if (!store.records.has(key)) store.put({ kind: RecordKind.RateLimit, key, revision: this.fleet.createRevision(), value: { workerId: LIMITED_WORKER, startedAt: 1, perSecond: plan.perSecond } }, now)
  }

  private readResponse (): void {
    const tracker = this.view.findUpstream(LIMITED_WORKER)
    this.isInformed = this.fleet.isLimitAnnounced || this.isInformed
    if (tracker === undefined || !this.fleet.isLimitAnnounced) return
    if (tracker.rate.recordResponse(this.fleet.plan.perSecond, this.fleet.now)) this.reportDueAt = this.fleet.now + REPORT_DELAY_MS
  }

  private sendIfAllowed (triedWorkers: ReadonlySet<string>): void {
    const { now } = this.fleet
    const key = `key-${Math.floor(this.fleet.random.next() * KEYS)}`
    const candidates = this.view.getPool(SERVICE).listCandidates({ homeRegions: [], key, triedWorkers }, SERVICE_TIMES, NO_WORKERS, now)
    const limited = candidates.find(({ tracker }, index) => tracker.registration.id === LIMITED_WORKER && (index === 0 || !this.fleet.prefersOthers))
    if (limited === undefined) return
    limited.tracker.startRequest(now, RESPONSE_MS)
    this.pendingResponses.push(now + RESPONSE_MS)
    this.fleet.recordArrival(this)
  }
}

interface Arrival {
  readonly at: Instant
  readonly isInformed: boolean
}

/** The fleet, its store and the limited worker. */
export class SimulatedFleet {
  now: Instant = 0
  isStoreDown = false
  isLimitAnnounced = false
  readonly store = new SimulatedStore()
  readonly random = new SeededRandom(1)
  readonly regionByDomain: ReadonlyMap<string, string>
  /** The most requests of informed VMs in any window in which the limit applies. */
  busiest = 0
  private readonly vms: SimulatedVm[] = []
  private arrivals: Arrival[] = []
  private readonly arrivalTimes: Instant[] = []
  private revision = 0
  private announcedAt: Instant = Infinity

  /**
   * @param plan the fleet and what happens to it
   * @param prefersOthers whether requests that rank another worker first go there; otherwise all go to the limited one if it may get them
   */
  constructor (readonly plan: FleetPlan, readonly prefersOthers = false) {
    this.regionByDomain = new Map(Array.from({ length: plan.domains }, (_, index) => [`zone-${index}`, `region-${Math.floor(index / 2)}`]))
    this.setWorkers(true)
    if (!this.isCold) this.putLimitedWorker()
    for (let index = 0; index < plan.vms; index++) this.addVm()
  }

  createRevision (): number {
    return ++this.revision
  }

  private get isCold (): boolean {
    return this.plan.kind === LimitKind.Cold
  }

  private get windowMs (): number {
    return WINDOW_MS_BY_KIND[this.plan.kind ?? LimitKind.Rate]
  }

  /** @returns the requests that the users' rule allows in any window */
  get allowed (): number {
    return Math.floor(TOLERANCE.factor * this.plan.perSecond * this.windowMs / MS_PER_SECOND + TOLERANCE.slack)
  }

  /**
   * Runs the plan.
   * @param announcedAtMs when the worker begins to announce its limit
   */
  run (announcedAtMs: number): void {
    while (this.now < this.plan.durationMs) {
      if (this.now >= announcedAtMs && this.announcedAt === Infinity) {
        this.isLimitAnnounced = !this.isCold
        this.announcedAt = this.now
        if (this.isCold) this.putLimitedWorker()
      }
      for (const fault of this.plan.faults) this.applyFault(fault)
      for (const vm of [...this.vms]) {
        vm.removeExpired()
        vm.step()
      }
      this.now += TICK_MS
    }
  }

  /** @returns the ids of all registered workers but the limited one */
  listOtherWorkers (): ReadonlySet<string> {
    return new Set([...this.store.records.values()].flatMap((record) => record.kind === RecordKind.Upstream && record.value.id !== LIMITED_WORKER ? [record.value.id] : []))
  }

  /** @returns the requests that the limited worker has got since an instant */
  countArrivals (since: Instant): number {
    return this.arrivalTimes.filter((at) => at >= since).length
  }

  recordArrival ({ isInformed }: SimulatedVm): void {
    this.arrivalTimes.push(this.now)
    this.arrivals = this.arrivals.filter(({ at }) => at > this.now - this.windowMs)
    this.arrivals.push({ at: this.now, isInformed: isInformed || this.isCold })
    if (this.now < this.announcedAt + (this.isCold ? 0 : STABILITY_MS)) return
    this.busiest = Math.max(this.busiest, this.arrivals.filter((arrival) => arrival.isInformed).length)
  }

  private applyFault ({ fault, atMs, spanMs, target }: PlannedFault): void {
    const isStart = this.now >= atMs && this.now < atMs + TICK_MS
    const isEnd = this.now >= atMs + spanMs && this.now < atMs + spanMs + TICK_MS
    if (isStart || isEnd) this.setFault(fault, isStart, this.vms[target % this.vms.length]!)
  }

  private setFault (fault: FleetFault, isActive: boolean, vm: SimulatedVm): void {
    const setters: Readonly<Record<FleetFault, () => void>> = {
      [FleetFault.StoreSilent]: () => { vm.isStoreSilent = isActive },
      [FleetFault.CutOff]: () => { vm.isCutOff = isActive },
      [FleetFault.Down]: () => {
        if (isActive) vm.isDown = true
        else if (vm.isDown) vm.start()
      },
      [FleetFault.Removed]: () => { vm.isRemoved = true },
      [FleetFault.Added]: () => { if (isActive) this.addVm() },
      [FleetFault.WorkersAway]: () => { this.setWorkers(!isActive) },
      [FleetFault.LimitedWorkerAway]: () => {
        if (this.announcedAt === Infinity) return
        if (isActive) this.store.remove(`servers/${LIMITED_WORKER}`, this.now)
        else this.putLimitedWorker()
      },
      [FleetFault.StoreDown]: () => { this.isStoreDown = isActive }
    }
    setters[fault]()
  }

  private addVm (): void {
    const { vms, plan } = this
    const index = vms.length
    const vm = new SimulatedVm(`vm-${index}`, `zone-${index % plan.domains}`, plan.delaysMs[index % plan.delaysMs.length]!, this)
    vms.push(vm)
    vm.start()
  }

  private setWorkers (areRegistered: boolean): void {
    for (let index = 0; index < this.plan.domains * 2; index++) {
      if (areRegistered) this.putWorker(`w-${index}`, `zone-${index % this.plan.domains}`)
      else this.store.remove(`servers/w-${index}`, this.now)
    }
  }

  private putLimitedWorker (): void {
    this.putWorker(LIMITED_WORKER, 'zone-0', this.isCold ? this.plan.durationMs : 0)
  }

  private putWorker (id: string, domain: string, coldMs = 0): void {
    this.store.put({ kind: RecordKind.Upstream, key: `servers/${id}`, revision: this.createRevision(), value: { id, startedAt: 1, service: SERVICE, address: id, domain, slots: 4, state: UpstreamState.Ready, coldMs } }, this.now)
  }
}
