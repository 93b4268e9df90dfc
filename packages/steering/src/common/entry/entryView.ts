/**
 * An entry VM's view of the deployment, on which all its decisions are based: the
 * configuration in force, the workers and what was observed of them, evacuated failure
 * domains, and the other entry VMs. It is updated from the records, one change at a time.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { applyRecord } from './applyRecord.js'
import { AccountTable } from './accountTable.js'
import { WeightedRoundRobin } from './weightedRoundRobin.js'
import type { EntryNode, RecordChange, UpstreamRegistration } from './records.js'
import type { ShareClaim, StoredRecord } from './storedRecord.js'
import type { CrashReports, Quarantine } from '../quarantine/crashReport.js'
import { CallerReturns } from './retry/callerReturns.js'
import { SharedRetryBudget, type RetryBudgetSettings } from './retry/sharedRetryBudget.js'
import { EntryNodeLists } from './entryNodeLists.js'
import { RouteTable } from './routeTable.js'
import { ObservedRateLimits } from './sharing/observedRateLimits.js'
import { Sharers } from './sharing/sharers.js'
import { type PoolContext, WorkerPool } from './workers/workerPool.js'
import type { RoutePolicy, ServicePolicy, SteeringDocument } from './steeringDocument.js'
import { UpstreamTracker } from './workers/upstreamTracker.js'
import { type UpstreamChange, ViewChange, type ViewEvent } from './viewEvent.js'
import { DepartedWorkers } from './workers/departedWorkers.js'
import { type ServiceTimeEstimate, ServiceTimeTable } from './workers/serviceTimeEstimate.js'
import type { WorkerAdvisory } from './workers/workerAdvisory.js'

/** Properties of this VM and settings that don't change while the process runs. */
export interface ViewContext extends Omit<PoolContext, 'sharers'> {
  /** This VM's name. */
  readonly node: string
  readonly retryBudget: RetryBudgetSettings
  /** When this process started. */
  readonly startedAt: Instant
}

/** The view of one entry VM. */
export class EntryView {
  readonly pools = new Map<string, WorkerPool>()
  readonly nodes = new Map<string, EntryNode>()
  /** What follows from the nodes. */
  readonly nodeLists: EntryNodeLists
  /** All VMs that may spend a part of a limit. */
  readonly sharers: Sharers
  /** Rate limits that entry VMs have observed. */
  readonly rateLimits = new ObservedRateLimits((id) => this.trackers.get(id))
  readonly evacuatedDomains = new Set<string>()
  /** Claims of quota shares, by the share's name. */
  readonly shares = new Map<string, ShareClaim>()
  /** Reports of crashed workers, by the reporting entry VM's name. */
  readonly crashReports = new Map<string, StoredRecord<CrashReports>>()
  /** Quarantined requests, by the request's digest. */
  readonly quarantines = new Map<string, StoredRecord<Quarantine>>()
  readonly callerReturns = new CallerReturns()
  private readonly trackers = new Map<string, UpstreamTracker>()
  private readonly departedWorkers = new DepartedWorkers()
  private readonly retryBudgets = new Map<string, SharedRetryBudget>()
  private readonly serviceTimes = new ServiceTimeTable()
  private currentDocument: SteeringDocument | undefined
  private routeTable: RouteTable | undefined
  private accountTable: AccountTable | undefined
  private policiesByService: ReadonlyMap<string, ServicePolicy> = new Map()
  roundRobin = new WeightedRoundRobin()

  /** @param context properties of this VM and settings */
  constructor (private readonly context: ViewContext) {
    this.nodeLists = new EntryNodeLists(context.node, context.domain, this.nodes)
    this.sharers = new Sharers({ name: context.node, domain: context.domain }, this.nodes, context.retryBudget.windowMs)
  }

  /** @returns the configuration in force; undefined before one was read */
  get document (): SteeringDocument | undefined {
    return this.currentDocument
  }

  /** @returns the configuration in force; undefined before one was read, and while another entry VM has a newer one */
  get newestDocument (): SteeringDocument | undefined {
    return this.isConfigurationOutdated ? undefined : this.currentDocument
  }

  /** @returns whether another entry VM has a newer configuration, which the store may have lost */
  get isConfigurationOutdated (): boolean {
    return this.nodeLists.newestVersion > (this.currentDocument?.version ?? 0)
  }

  /** @returns the client accounts; undefined where callers need no keys */
  get accounts (): AccountTable | undefined {
    return this.accountTable
  }

  /** @returns all known workers */
  listTrackers (): Iterable<UpstreamTracker> {
    return this.trackers.values()
  }

  /**
   * @param id a worker's id
   * @returns the worker; undefined if it is not registered
   */
  findUpstream (id: string): UpstreamTracker | undefined {
    return this.trackers.get(id)
  }

  /** @returns the number of entry VMs, this one included */
  countNodes (): number {
    return this.nodeLists.names.length
  }

  /**
   * @param host the request's host
   * @param target the request's target
   * @returns its route, if there is one
   */
  findRoute (host: string, target: string): RoutePolicy | undefined {
    return this.routeTable?.find(host, target)
  }

  /**
   * @param service a service
   * @returns its workers
   */
  getPool (service: string): WorkerPool {
    let pool = this.pools.get(service)
    if (pool === undefined) {
      pool = new WorkerPool({ ...this.context, sharers: this.sharers })
      pool.policy = this.policiesByService.get(service)
      this.pools.set(service, pool)
    }
    return pool
  }

  /**
   * @param service a service
   * @returns the budget for its retries
   */
  getRetryBudget (service: string): SharedRetryBudget {
    let retryBudget = this.retryBudgets.get(service)
    if (retryBudget === undefined) {
      retryBudget = new SharedRetryBudget(this.context.retryBudget, (now) => this.sharers.getRecentCount(now), this.context.startedAt)
      this.retryBudgets.set(service, retryBudget)
    }
    return retryBudget
  }

  /** @returns the retry budgets of the services that had requests */
  listRetryBudgets (): Iterable<readonly [string, SharedRetryBudget]> {
    return this.retryBudgets
  }

  /**
   * @param route a route
   * @param service the service that the request goes to
   * @returns the service times of the route's requests there
   */
  getServiceTimes (route: RoutePolicy, service: string): ServiceTimeEstimate {
    return this.serviceTimes.get(route, service)
  }

  /**
   * Applies the writing or removal of one record.
   * @param change the present and the previous record
   * @param now the current time
   * @returns the changes of the view
   */
  applyChange (change: RecordChange, now: Instant): ViewEvent[] {
    return applyRecord(this, change, now)
  }

  /** @param document the configuration that is in force from now on */
  setDocument (document: SteeringDocument): void {
    this.currentDocument = document
    this.routeTable = new RouteTable(document)
    this.accountTable = document.accounts === undefined ? undefined : new AccountTable(document.accounts)
    this.roundRobin = new WeightedRoundRobin()
    this.policiesByService = new Map(document.services.map((policy) => [policy.name, policy]))
    for (const [service, pool] of this.pools) pool.policy = this.policiesByService.get(service)
    this.callerReturns.keep(new Set(document.routes.map(({ name }) => name)), new Set(this.policiesByService.keys()))
  }

  /**
   * @param registration a worker's registration
   * @param now the current time
   * @returns the change of the view; undefined if the registration is from an earlier process
   *   than the worker's present one
   */
  putUpstream (registration: UpstreamRegistration, now: Instant): UpstreamChange | undefined {
    const known = this.trackers.get(registration.id)
    if (known !== undefined && known.isEarlierStart(registration)) return undefined
    const isRestart = known !== undefined && known.isOtherStart(registration)
    if (known !== undefined && (isRestart || known.registration.service !== registration.service)) this.removeUpstream(registration.id, now)
    const tracker = this.trackers.get(registration.id) ?? this.createTracker(registration, now, isRestart ? known.listStartTimes() : [])
    tracker.update(registration, now)
    this.trackers.set(registration.id, tracker)
    this.getPool(registration.service).put(tracker)
    if (known === undefined) return ViewChange.UpstreamJoined
    return isRestart ? ViewChange.UpstreamRestarted : ViewChange.UpstreamChanged
  }

  /**
   * @param id a worker that is no longer registered
   * @param now the current time
   */
  removeUpstream (id: string, now: Instant): void {
    const tracker = this.trackers.get(id)
    if (tracker === undefined) return
    this.departedWorkers.put(tracker.registration, tracker, now)
    this.trackers.delete(id)
    this.pools.get(tracker.registration.service)?.remove(id)
  }

  /**
   * Records that a worker announced in a response that it drains.
   * @param worker the worker as it was known when the connection was opened
   * @returns whether this was not known before
   */
  recordDrain (worker: UpstreamRegistration): boolean {
    if (this.findAdvisory(worker)?.recordDrain() !== true) return false
    const service = this.trackers.get(worker.id)?.registration.service
    if (service !== undefined) this.getPool(service).clearRankings()
    return true
  }

  /**
   * Records that a worker asked for no requests from this VM for a while.
   * @param worker the worker as it was known when the connection was opened
   * @param until when it may get requests again
   * @param now the current time
   * @returns whether the worker was not cooling down before
   */
  recordCoolDown (worker: UpstreamRegistration, until: Deadline, now: Instant): boolean {
    return this.findAdvisory(worker)?.recordCoolDown(until, now) ?? false
  }

  /** @param domain a failure domain that gets no requests from now on */
  putEvacuation (domain: string): void {
    this.evacuatedDomains.add(domain)
    for (const pool of this.pools.values()) pool.clearRankings()
  }

  /**
   * Ends the evacuation of a failure domain. Its workers may have lost their caches, and the
   * operator's record doesn't say so. All of them are treated as just started, since the full
   * load of a domain at once would crash cold ones.
   * @param domain the failure domain
   * @param now the current time
   */
  removeEvacuation (domain: string, now: Instant): void {
    this.evacuatedDomains.delete(domain)
    for (const pool of this.pools.values()) {
      for (const tracker of pool.listTrackers()) {
        if (tracker.registration.domain !== domain) continue
        tracker.markCold(createDeadline(now, pool.policy?.coldMs ?? 0))
        pool.cacheAffinity.removeWorker(tracker.registration.id)
      }
      pool.clearRankings()
    }
  }

  /**
   * @param node an entry VM that registered itself
   * @param now the current time
   */
  putNode (node: EntryNode, now: Instant): void {
    this.nodes.set(node.name, node)
    this.handleNodesChanged(now)
  }

  /**
   * @param name an entry VM that is no longer registered
   * @param now the current time
   */
  removeNode (name: string, now: Instant): void {
    this.nodes.delete(name)
    this.handleNodesChanged(now)
  }

  private handleNodesChanged (now: Instant): void {
    this.nodeLists.clear()
    this.sharers.handleNodesChanged(now)
  }

  private createTracker (registration: UpstreamRegistration, now: Instant, earlierStartTimes: readonly number[]): UpstreamTracker {
    const departed = this.departedWorkers.find(registration)
    // Without the start time, the next process under the same id would pass for this one.
    const startedAt = registration.startedAt ?? departed?.startedAt
    const tracker = new UpstreamTracker({ ...registration, startedAt }, now, earlierStartTimes, departed?.advisory, departed?.rate)
    this.rateLimits.applyTo(tracker, now)
    return tracker
  }

  /** @returns the announcements of the worker's incarnation; undefined if it has been replaced by another one */
  private findAdvisory (worker: UpstreamRegistration): WorkerAdvisory | undefined {
    const tracker = this.trackers.get(worker.id)
    return tracker === undefined || tracker.isOtherStart(worker) ? this.departedWorkers.find(worker)?.advisory : tracker.advisory
  }
}
