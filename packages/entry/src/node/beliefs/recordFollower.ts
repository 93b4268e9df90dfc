/**
 * Chooses the source of this VM's records. A VM that is one of its region's followers
 * watches the store; other VMs subscribe to two VMs, and watch the store only while
 * none of their sources is current.
 *
 * Guards against two failures. If every VM watched the store, each change would cost as
 * many billed calls as there are VMs, which exceeds the store's rate limits in a large
 * fleet. And a VM whose sources are down, partitioned or refused by the store would keep
 * sending requests to workers that have left; so it tries other VMs at once, and
 * the store about a second later.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { type FollowPlan, planFollowing, type RegionByDomain } from '@umberspar/steering/common/entry/followPlan'
import type { RevisionReading } from '@umberspar/steering/common/entry/recordProof'
import type { EntryNode, RecordChanges, RecordSnapshot } from '@umberspar/steering/common/entry/records'
import type { ISteeringSource, SteeringListener } from '@umberspar/steering/common/ports/steeringSource'
import type { RecordLine } from '../../common/recordLines.js'
import { RecordSubscriber } from '../peers/recordHearer.js'
import { RecordPublisher } from '../peers/recordTeller.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import type { BeliefKeeper } from './beliefKeeper.js'
import { FreshnessTracker } from './proofKeeper.js'

/** Combines changes of the VM list that arrive together into one new plan. */
const PLAN_DEBOUNCE_MS = 200
/**
 * Delay before a VM that found no others reads the store a second time. VMs that start
 * together then know each other, at the cost of two cheap reads instead of a watch each.
 */
const REREAD_DELAY_MS = 1_000
const REREAD_JITTER_RATIO = 0.3
/**
 * Without a current source for this long, a VM watches the store itself: a worker that
 * leaves must get no new requests after 2 s.
 */
const FALLBACK_DELAY_MS = 800
/** Spreads the load of VMs that lost the same sources. */
const FALLBACK_JITTER_RATIO = 0.25

/** This VM and the other entry VMs of the deployment. */
export interface FleetInfo {
  readonly self: EntryNode
  readonly regionOf: RegionByDomain
  /** @returns the known entry VMs */
  listNodes(): Iterable<EntryNode>
  /** @returns `host:port` of the seed VMs, which are tried last */
  listSeeds(): readonly string[]
  /** @returns whether a configuration has been read */
  hasConfiguration(): boolean
}

/** Options of a {@link RecordFollower}. */
export interface RecordSynchronizerOptions {
  readonly clock: IClock
  readonly elapsed: ElapsedClock
  readonly random: IRandomSource
  readonly telemetry: EntryTelemetry
  readonly source: ISteeringSource
  readonly keeper: BeliefKeeper
  readonly place: FleetInfo
  /** Called once, when records have been read for the first time. */
  onRead(): void
}

/** Keeps the records of one process in sync with the store, directly or through other VMs. */
export class RecordFollower implements SteeringListener, IClosable {
  readonly teller: RecordPublisher
  private readonly subscriber: RecordSubscriber
  /** How fresh the records certainly are. */
  readonly proof: FreshnessTracker
  private plan: FollowPlan = { isFollower: false, sources: [] }
  /** Whether this VM knows enough others to determine the region's followers. */
  private isFleetKnown = false
  private hasReread = false
  private hasRead = false
  /** Whether the store responds to this VM; undefined before the first response or failure. */
  private isStoreReachable: boolean | undefined
  /** Whether this VM watches the store and has read it since the watch began. */
  private isWatchCurrent = false
  private isWatching = false
  private isFallbackActive = false
  private loggedPath = ''
  private planTimer: ITimer | undefined
  private rereadTimer: ITimer | undefined
  private fallbackTimer: ITimer | undefined

  constructor (private readonly options: RecordSynchronizerOptions) {
    const { clock, elapsed, random, telemetry, keeper: viewUpdater, place: fleet } = options
    const freshness = new FreshnessTracker(elapsed, () => viewUpdater.revision)
    this.proof = freshness
    const getPath = (): readonly string[] | undefined => this.via
    this.teller = new RecordPublisher(clock, {
      get revision () { return viewUpdater.revision },
      get via () { return getPath() },
      get holdMs () { return viewUpdater.holdMs },
      get proofAgeMs () { return freshness.getPublishedAgeMs() },
      readUpdateAfter: (revision) => viewUpdater.readUpdateAfter(revision)
    }, telemetry)
    this.subscriber = new RecordSubscriber(fleet.self.name, clock, elapsed, random, telemetry.logger, {
      getRevision: () => viewUpdater.revision,
      onLine: (line, freshAsOf) => this.handleLine(line, freshAsOf),
      onSourcesChanged: () => { this.update() }
    })
  }

  /** @returns the VMs that the records pass through, from the one that watches the store to this one; undefined if the records are not current */
  get via (): readonly string[] | undefined {
    const { name } = this.options.place.self
    if (this.isWatchCurrent) return [name]
    const { via } = this.subscriber
    return via === undefined ? undefined : [...via, name]
  }

  /** @returns whether this VM watches the store */
  get isFollowing (): boolean {
    return this.isWatching
  }

  /** @returns the number of current sources among other VMs */
  countSources (): number {
    return this.subscriber.countSources()
  }

  /** Starts reading the store. */
  start (): void {
    this.options.source.start(this)
  }

  /** Plans the sources again, after entry VMs have been added or removed. */
  handleNodesChanged (): void {
    if (!this.isFleetKnown) return
    this.planTimer ??= this.options.clock.schedule(this.options.clock.now() + PLAN_DEBOUNCE_MS, () => {
      this.planTimer = undefined
      this.updatePlan()
    })
  }

  getRevision (): number {
    return this.options.keeper.revision
  }

  onSnapshot (snapshot: RecordSnapshot): void {
    this.options.keeper.applySnapshot(snapshot)
    this.handleStoreRead()
    this.checkFleetKnown()
  }

  onChanges (changes: RecordChanges): void {
    this.options.keeper.applyChanges(changes)
    this.handleStoreRead()
  }

  onReading (reading: RevisionReading): void {
    this.proof.recordReading(reading)
    this.teller.publish()
  }

  onLost (reason: string, currentAsOf: Instant): void {
    const { telemetry: { logger }, keeper: viewUpdater } = this.options
    logger.log(LogLevel.Warn, { step: 'follow-store', peer: 'store', reason, revision: viewUpdater.revision }, 'the store does not answer this VM')
    this.isStoreReachable = false
    this.isWatchCurrent = false
    if (this.via === undefined) viewUpdater.markStale(currentAsOf)
    this.update()
  }

  onRegained (): void {
    const { telemetry: { logger }, keeper: viewUpdater } = this.options
    const { ageMs } = viewUpdater.getRecordsAge()
    logger.log(LogLevel.Info, { step: 'follow-store', peer: 'store', ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, revision: viewUpdater.revision }, 'the store answers this VM')
    this.isStoreReachable = true
    this.update()
  }

  /** Stops publishing and subscribing. */
  close (): void {
    for (const timer of [this.planTimer, this.rereadTimer, this.fallbackTimer]) timer?.close()
    this.subscriber.close()
    this.teller.close()
  }

  private handleStoreRead (): void {
    const { clock, keeper: viewUpdater } = this.options
    this.isWatchCurrent = this.isWatching
    viewUpdater.setCurrent(this.via !== undefined, clock.now())
    this.logPath()
    this.handleRead()
  }

  private handleLine ({ via, holdMs, news, revision }: RecordLine, freshAsOf: Instant): boolean {
    const { clock, keeper: viewUpdater } = this.options
    // Set before the update is applied, so that records which the publisher has finally removed are not held back here.
    if (via !== undefined) viewUpdater.setCurrent(true, clock.now(), holdMs)
    if (news !== undefined && !viewUpdater.applyUpdate(news)) return false
    // The publisher's records are complete up to the revision of the line.
    this.proof.recordPeerFreshness(revision, freshAsOf)
    if (news === undefined) {
      this.teller.publish()
      return true
    }
    // While the store is unreachable there is no second read, so the other VM's list of VMs is used.
    if (!this.isFleetKnown && this.isStoreReachable === false) {
      this.isFleetKnown = true
      this.updatePlan()
    }
    this.handleRead()
    return true
  }

  private handleRead (): void {
    this.proof.handleRevision()
    this.teller.publish()
    if (this.hasRead) return
    this.hasRead = true
    this.options.onRead()
  }

  /** Checks whether the other VMs are known, and schedules a second read of the store if not. */
  private checkFleetKnown (): void {
    if (this.isFleetKnown) return
    const { clock, random, source, place: fleet } = this.options
    const names = new Set([...fleet.listNodes()].map(({ name }) => name))
    // A read may be seconds old. After the second one this VM goes on without others, and watches the store until it learns of them.
    this.isFleetKnown = this.hasReread || names.has(fleet.self.name) || (fleet.hasConfiguration() && names.size > 0)
    if (this.isFleetKnown) {
      this.updatePlan()
      return
    }
    this.rereadTimer = clock.schedule(clock.now() + addJitter(random, REREAD_DELAY_MS, REREAD_JITTER_RATIO), () => {
      this.hasReread = true
      source.readAgain()
    })
  }

  private updatePlan (): void {
    const { place: fleet } = this.options
    this.plan = planFollowing(fleet.listNodes(), fleet.self, fleet.regionOf)
    this.update()
  }

  private update (): void {
    this.updateSubscriber()
    this.updateFallback()
    this.updateWatch()
    this.options.keeper.setCurrent(this.via !== undefined, Number.NEGATIVE_INFINITY)
    this.logPath()
    this.teller.publish()
  }

  private updateSubscriber (): void {
    const { place: fleet } = this.options
    const needsPeers = this.isFleetKnown ? !this.plan.isFollower || this.isStoreReachable === false : this.isStoreReachable === false
    const planned = this.plan.sources.map(({ peerAddress }) => peerAddress)
    const seeds = fleet.listSeeds().filter((address) => address !== fleet.self.peerAddress)
    this.subscriber.subscribeTo(needsPeers ? [...planned, ...seeds] : [])
  }

  /** Starts watching the store when this VM has had no current source for a while. */
  private updateFallback (): void {
    const { clock, random } = this.options
    const lacksSource = this.isFleetKnown && !this.plan.isFollower && this.subscriber.via === undefined
    if (!lacksSource || this.isStoreReachable !== true) {
      this.fallbackTimer?.close()
      this.fallbackTimer = undefined
      this.isFallbackActive = false
      return
    }
    if (this.isFallbackActive) return
    this.fallbackTimer ??= clock.schedule(clock.now() + addJitter(random, FALLBACK_DELAY_MS, FALLBACK_JITTER_RATIO), () => {
      this.fallbackTimer = undefined
      this.isFallbackActive = true
      this.update()
    })
  }

  private updateWatch (): void {
    const isWatching = this.plan.isFollower || this.isFallbackActive
    if (isWatching === this.isWatching) return
    this.isWatching = isWatching
    if (!isWatching) this.isWatchCurrent = false
    this.options.source.setWatching(isWatching)
  }

  /** Logs each change of the path by which the records reach this VM. */
  private logPath (): void {
    const { telemetry: { logger }, keeper: viewUpdater } = this.options
    const via = this.via?.join(' > ')
    const path = `${String(this.isWatching)} ${via ?? ''}`
    if (!this.isFleetKnown || path === this.loggedPath) return
    this.loggedPath = path
    const message = via === undefined ? 'no source of current records' : 'current records reach this VM'
    logger.log(LogLevel.Info, { step: 'choose-source', via, isFollowing: this.isWatching, revision: viewUpdater.revision }, message)
  }
}
