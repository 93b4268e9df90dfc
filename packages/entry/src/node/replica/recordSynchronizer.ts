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
import { type ReplicationPlan, planReplication } from '@umberspar/steering/common/entry/replicationPlan'
import type { PositionReading } from '@umberspar/steering/common/entry/freshnessProof'
import type { RecordChanges, RecordSnapshot } from '@umberspar/steering/common/entry/records'
import type { StorePosition } from '@umberspar/steering/common/entry/storePosition'
import type { ISteeringSource, SteeringSourceListener } from '@umberspar/steering/common/ports/steeringSource'
import type { RecordLine } from '../../common/recordLines.js'
import { RecordSubscriber } from '../peers/recordSubscriber.js'
import { RecordPublisher } from '../peers/recordPublisher.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { type FleetInfo, listNewerSources } from './fleetInfo.js'
import { PublishedRecords } from './publishedRecords.js'
import type { ViewUpdater } from './viewUpdater.js'
import { FreshnessTracker } from './freshnessTracker.js'

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

/** Dependencies of a {@link RecordSynchronizer}. */
export interface RecordSynchronizerDependencies {
  readonly clock: IClock
  /** For timeouts of other VMs. */
  readonly timeoutClock: IClock
  readonly elapsed: ElapsedClock
  readonly random: IRandomSource
  readonly telemetry: EntryTelemetry
  readonly source: ISteeringSource
  readonly viewUpdater: ViewUpdater
  readonly fleet: FleetInfo
  /** Called once, when records have been read for the first time. */
  onFirstRead(): void
}

/** Keeps the records of one process in sync with the store, directly or through other VMs. */
export class RecordSynchronizer implements SteeringSourceListener, IClosable {
  readonly publisher: RecordPublisher
  private readonly subscriber: RecordSubscriber
  /** How fresh the records certainly are. */
  readonly freshness: FreshnessTracker
  private plan: ReplicationPlan = { isFollower: false, sources: [] }
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
  /** Whether this VM subscribes to others because they have a newer configuration. */
  private isFetchingConfiguration = false
  private loggedPath = ''
  private planTimer: ITimer | undefined
  private rereadTimer: ITimer | undefined
  private fallbackTimer: ITimer | undefined

  constructor (private readonly dependencies: RecordSynchronizerDependencies) {
    const { clock, timeoutClock, elapsed, random, telemetry, viewUpdater, fleet } = dependencies
    const freshness = new FreshnessTracker(elapsed, () => viewUpdater.position)
    this.freshness = freshness
    this.publisher = new RecordPublisher(clock, new PublishedRecords(viewUpdater, freshness, () => this.via), telemetry)
    this.subscriber = new RecordSubscriber(fleet.self.name, timeoutClock, elapsed, random, telemetry.logger, (event) => { telemetry.metrics.countRecordSubscription(event) }, {
      getPosition: () => viewUpdater.position,
      onLine: (line, freshAsOf) => this.handleLine(line, freshAsOf),
      onSourcesChanged: () => { this.update() }
    })
  }

  /** @returns the VMs that the records pass through, from the one that watches the store to this one; undefined if the records are not current */
  get via (): readonly string[] | undefined {
    const { name } = this.dependencies.fleet.self
    if (this.isWatchCurrent) return [name]
    const { via } = this.subscriber
    return via === undefined ? undefined : [...via, name]
  }

  /** @returns whether this VM watches the store */
  get isFollowing (): boolean {
    return this.isWatching
  }

  /** @returns whether a newer proof that the records are current is expected within moments */
  get isProofExpected (): boolean {
    return this.via !== undefined && this.freshness.mayProve
  }

  /** @returns the number of current sources among other VMs */
  countSources (): number {
    return this.subscriber.countSources()
  }

  /** Starts reading the store. */
  start (): void {
    this.dependencies.source.start(this)
  }

  /** Plans the sources again, after entry VMs have been added or removed. */
  handleNodesChanged (): void {
    if (!this.isFleetKnown) return
    this.planTimer ??= this.dependencies.clock.schedule(this.dependencies.clock.now() + PLAN_DEBOUNCE_MS, () => {
      this.planTimer = undefined
      this.updatePlan()
    })
  }

  /** Ends the subscriptions that were needed for a newer configuration only. */
  handleConfigurationChanged (): void {
    if (this.isFetchingConfiguration) this.handleNodesChanged()
  }

  getPosition (): StorePosition { return this.dependencies.viewUpdater.position }

  onSnapshot (snapshot: RecordSnapshot): void {
    this.dependencies.viewUpdater.applySnapshot(snapshot)
    this.handleStoreRead()
    this.checkFleetKnown()
  }

  onChanges (changes: RecordChanges): void {
    this.dependencies.viewUpdater.applyChanges(changes)
    this.handleStoreRead()
  }

  onPositionRead (reading: PositionReading): void {
    this.freshness.recordReading(reading)
    // What other VMs know beyond the store is needed at the start of an era only.
    if (this.isFleetKnown) this.updateSubscriber()
    this.publisher.publish()
  }

  onStoreLost (reason: string, currentAsOf: Instant): void {
    const { telemetry: { logger }, viewUpdater } = this.dependencies
    logger.log(LogLevel.Warn, { step: 'follow-store', peer: 'store', reason, ...viewUpdater.position }, 'the store does not answer this VM')
    this.isStoreReachable = false
    this.isWatchCurrent = false
    if (this.via === undefined) viewUpdater.markStale(currentAsOf)
    this.update()
  }

  onStoreRecovered (): void {
    const { telemetry: { logger }, viewUpdater } = this.dependencies
    const { ageMs } = viewUpdater.getRecordsAge()
    logger.log(LogLevel.Info, { step: 'follow-store', peer: 'store', ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, ...viewUpdater.position }, 'the store answers this VM')
    this.isStoreReachable = true
    this.update()
  }

  /** Stops publishing and subscribing. */
  close (): void {
    for (const timer of [this.planTimer, this.rereadTimer, this.fallbackTimer]) timer?.close()
    this.subscriber.close()
    this.publisher.close()
  }

  private handleStoreRead (): void {
    const { clock, viewUpdater } = this.dependencies
    this.isWatchCurrent = this.isWatching
    viewUpdater.setCurrent(this.via !== undefined, clock.now())
    this.logPath()
    this.handleRead()
  }

  private handleLine ({ via, holdMs, news, era, revision, configurationVersion = 0 }: RecordLine, freshAsOf: Instant): boolean {
    const { clock, viewUpdater } = this.dependencies
    // Set before the update is applied, so that records which the publisher has finally removed are not held back here.
    if (via !== undefined) viewUpdater.setCurrent(true, clock.now(), holdMs)
    if (news !== undefined && !viewUpdater.applyUpdate(news)) return false
    // Positions prove nothing about a configuration that the store has lost.
    if (configurationVersion > (viewUpdater.configurationVersion ?? 0)) return news?.isWhole === true || era !== viewUpdater.position.era
    // The publisher's records are complete up to the revision of the line.
    this.freshness.recordPeerFreshness({ era, revision }, freshAsOf)
    if (news === undefined) {
      this.publisher.publish()
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
    this.freshness.handlePosition()
    this.publisher.publish()
    if (this.hasRead) return
    this.hasRead = true
    this.dependencies.onFirstRead()
  }

  /** Checks whether the other VMs are known, and schedules a second read of the store if not. */
  private checkFleetKnown (): void {
    if (this.isFleetKnown) return
    const { clock, random, source, fleet } = this.dependencies
    const names = new Set([...fleet.listNodes()].map(({ name }) => name))
    // A read may be seconds old. After the second one this VM goes on without others, and watches the store until it learns of them.
    this.isFleetKnown = this.hasReread || names.has(fleet.self.name) || (fleet.hasConfiguration() && names.size > 0)
    if (this.isFleetKnown) {
      this.updatePlan()
      return
    }
    this.rereadTimer = clock.schedule(clock.now() + addJitter(random, REREAD_DELAY_MS, REREAD_JITTER_RATIO), () => {
      this.hasReread = true
      source.readSnapshot()
    })
  }

  private updatePlan (): void {
    const { fleet } = this.dependencies
    this.plan = planReplication(fleet.listNodes(), fleet.self, fleet.regionByDomain)
    this.update()
  }

  private update (): void {
    this.updateSubscriber()
    this.updateFallback()
    this.updateWatch()
    this.dependencies.viewUpdater.setCurrent(this.via !== undefined, Number.NEGATIVE_INFINITY)
    this.logPath()
    this.publisher.publish()
  }

  private updateSubscriber (): void {
    const { fleet } = this.dependencies
    const needsPeers = this.isStoreReachable === false || (this.isFleetKnown && (!this.plan.isFollower || this.freshness.needsPeerProof))
    const planned = this.plan.sources.map(({ peerAddress }) => peerAddress)
    const seeds = fleet.listSeeds().filter((address) => address !== fleet.self.peerAddress)
    const newerSources = listNewerSources(fleet)
    this.isFetchingConfiguration = newerSources.length > 0
    this.subscriber.subscribeTo(needsPeers ? [...newerSources, ...planned, ...seeds] : newerSources)
  }

  /** Starts watching the store when this VM has had no current source for a while. */
  private updateFallback (): void {
    const { clock, random } = this.dependencies
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
    this.dependencies.source.setWatching(isWatching)
  }

  /** Logs each change of the path by which the records reach this VM. */
  private logPath (): void {
    const { telemetry: { logger }, viewUpdater } = this.dependencies
    const via = this.via?.join(' > ')
    const path = `${String(this.isWatching)} ${via ?? ''}`
    if (!this.isFleetKnown || path === this.loggedPath) return
    this.loggedPath = path
    const message = via === undefined ? 'no source of current records' : 'current records reach this VM'
    logger.log(LogLevel.Info, { step: 'choose-source', via, isFollowing: this.isWatching, ...viewUpdater.position }, message)
  }
}
