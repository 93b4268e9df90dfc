/**
 * All that an entry VM decides by: the configuration in force, the workers and
 * what was seen of them, evacuated failure domains, the other entry VMs. It is
 * brought up to date from the records, one change at a time.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { applyRecord } from './applyRecord.js'
import { AccountTable } from './accountTable.js'
import { PartChooser } from './partChooser.js'
import type { EntryNode, RecordChange, ShareKeeper, UpstreamEntry } from './records.js'
import type { CrashReports, Quarantine } from '../quarantine/crashReport.js'
import { RepeatWindow, type RepeatBudget } from './repeatWindow.js'
import type { SendingNode } from '../rateLimits/rateAllowance.js'
import { RouteTable } from './routeTable.js'
import { type RosterPlace, ServiceRoster } from './serviceRoster.js'
import type { RoutePolicy, ServicePolicy, SteeringDocument } from './steeringDocument.js'
import { UpstreamTracker } from './upstreamTracker.js'
import { type UpstreamChange, ViewChange, type ViewEvent } from './viewEvent.js'
import { WorkEstimate } from './workEstimate.js'

/** A share's keeper, and the revision of its claim. */
export interface ShareClaim {
  readonly keeper: ShareKeeper
  readonly revision: number
}

/** A record's value, with what it takes to replace or remove the record. */
export interface Stored<T> {
  readonly key: string
  readonly revision: number
  readonly value: T
}

/** What does not change while the process lives. */
export interface ViewPlace extends Omit<RosterPlace, 'listNodes' | 'listSendingNodes'> {
  readonly budget: RepeatBudget
}

/** The view of one entry VM. */
export class EntryView {
  readonly rosters = new Map<string, ServiceRoster>()
  readonly nodes = new Map<string, EntryNode>()
  readonly evacuated = new Set<string>()
  /** Who keeps which share of the quotas, by the share's name. */
  readonly shares = new Map<string, ShareClaim>()
  /** What entry VMs report of crashes, by their names. */
  readonly crashReports = new Map<string, Stored<CrashReports>>()
  /** By the request's digest. */
  readonly quarantines = new Map<string, Stored<Quarantine>>()
  private readonly trackers = new Map<string, UpstreamTracker>()
  private readonly repeatWindows = new Map<string, RepeatWindow>()
  private readonly workByRoute = new Map<string, WorkEstimate>()
  /** Sorted; undefined after a change, so that a start with hundreds of VMs sorts them once. */
  private nodeNames: readonly string[] | undefined
  /** The same with their failure domains. */
  private sendingNodes: readonly SendingNode[] | undefined
  private current: SteeringDocument | undefined
  private table: RouteTable | undefined
  private accountTable: AccountTable | undefined
  private policies: ReadonlyMap<string, ServicePolicy> = new Map()
  parts = new PartChooser()

  /** @param place where this VM is and what it was set to */
  constructor (private readonly place: ViewPlace) {}

  /** @returns the configuration in force; undefined before one was read */
  get document (): SteeringDocument | undefined {
    return this.current
  }

  /** @returns the client accounts; undefined where callers need no keys */
  get accounts (): AccountTable | undefined {
    return this.accountTable
  }

  /** @returns all workers known */
  listTrackers (): Iterable<UpstreamTracker> {
    return this.trackers.values()
  }

  /** @returns how many entry VMs there are, this one included */
  countNodes (): number {
    return this.listNodeNames().length
  }

  /**
   * @param host the request's host
   * @param target the request's target
   * @returns its route, if there is one
   */
  findRoute (host: string, target: string): RoutePolicy | undefined {
    return this.table?.find(host, target)
  }

  /**
   * @param service a service
   * @returns its workers
   */
  readRoster (service: string): ServiceRoster {
    let roster = this.rosters.get(service)
    if (roster === undefined) {
      roster = new ServiceRoster({ ...this.place, listNodes: () => this.listNodeNames(), listSendingNodes: () => this.listSendingNodes() })
      roster.policy = this.policies.get(service)
      this.rosters.set(service, roster)
    }
    return roster
  }

  /**
   * @param service a service
   * @returns the repeats that may be sent for it
   */
  readRepeats (service: string): RepeatWindow {
    let window = this.repeatWindows.get(service)
    if (window === undefined) {
      window = new RepeatWindow(this.place.budget, () => this.countNodes())
      this.repeatWindows.set(service, window)
    }
    return window
  }

  /** @returns the repeats of each service that had requests */
  listRepeats (): Iterable<readonly [string, RepeatWindow]> {
    return this.repeatWindows
  }

  /**
   * @param route a route
   * @param service the service that the request goes to
   * @returns how long its requests take there
   */
  readWork (route: RoutePolicy, service: string): WorkEstimate {
    const name = `${route.name} ${service}`
    let work = this.workByRoute.get(name)
    if (work === undefined) {
      work = new WorkEstimate(route)
      this.workByRoute.set(name, work)
    }
    return work
  }

  /**
   * Takes one record over, or its disappearance.
   * @param change what stands there now and what stood there before
   * @param now the present
   * @returns what changed
   */
  apply (change: RecordChange, now: Instant): ViewEvent[] {
    return applyRecord(this, change, now)
  }

  /** @param document the configuration that is in force from now on */
  setDocument (document: SteeringDocument): void {
    this.current = document
    this.table = new RouteTable(document)
    this.accountTable = document.accounts === undefined ? undefined : new AccountTable(document.accounts)
    this.parts = new PartChooser()
    this.policies = new Map(document.services.map((policy) => [policy.name, policy]))
    for (const [service, roster] of this.rosters) roster.policy = this.policies.get(service)
  }

  /**
   * @param entry a worker's registration
   * @param now the present
   * @returns what it changes; undefined if it is of an earlier life than the worker's present one
   */
  putUpstream (entry: UpstreamEntry, now: Instant): UpstreamChange | undefined {
    const known = this.trackers.get(entry.id)
    if (known !== undefined && known.isFormerLife(entry)) return undefined
    const isNewLife = known !== undefined && known.isOtherLife(entry)
    if (known !== undefined && (isNewLife || known.entry.service !== entry.service)) this.removeUpstream(entry.id)
    const tracker = this.trackers.get(entry.id) ?? new UpstreamTracker(entry, now, isNewLife ? known.listLives() : [])
    tracker.update(entry, now)
    this.trackers.set(entry.id, tracker)
    this.readRoster(entry.service).put(tracker)
    if (known === undefined) return ViewChange.UpstreamJoined
    return isNewLife ? ViewChange.UpstreamRestarted : ViewChange.UpstreamChanged
  }

  /** @param id a worker that is gone */
  removeUpstream (id: string): void {
    const tracker = this.trackers.get(id)
    if (tracker === undefined) return
    this.trackers.delete(id)
    this.rosters.get(tracker.entry.service)?.remove(id)
  }

  /** @param domain a failure domain that gets nothing from now on */
  putEvacuation (domain: string): void {
    this.evacuated.add(domain)
    for (const roster of this.rosters.values()) roster.clearRankings()
  }

  /**
   * Takes a failure domain back. Its workers may have lost what they kept in memory,
   * and the operator's record does not say so: all count as just started, since the
   * full load of a domain at once would crash cold ones.
   * @param domain the failure domain
   * @param now the present
   */
  removeEvacuation (domain: string, now: Instant): void {
    this.evacuated.delete(domain)
    for (const roster of this.rosters.values()) {
      for (const tracker of roster.list()) {
        if (tracker.entry.domain !== domain) continue
        tracker.markCold(createDeadline(now, roster.policy?.coldMs ?? 0))
        roster.warmth.removeWorker(tracker.entry.id)
      }
      roster.clearRankings()
    }
  }

  /** @param node an entry VM that registered itself */
  putNode (node: EntryNode): void {
    this.nodes.set(node.name, node)
    this.nodeNames = undefined
    this.sendingNodes = undefined
  }

  /** @param name an entry VM that is gone */
  removeNode (name: string): void {
    this.nodes.delete(name)
    this.nodeNames = undefined
    this.sendingNodes = undefined
  }

  private listNodeNames (): readonly string[] {
    this.nodeNames ??= [...new Set([this.place.node, ...this.nodes.keys()])].sort()
    return this.nodeNames
  }

  private listSendingNodes (): readonly SendingNode[] {
    const { node, domain } = this.place
    this.sendingNodes ??= this.listNodeNames().map((name) => ({ name, domain: name === node ? domain : this.nodes.get(name)?.domain ?? '' }))
    return this.sendingNodes
  }
}
