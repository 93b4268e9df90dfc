/**
 * Keeps this VM subscribed to the records of two other entry VMs, the most preferred of
 * its sources that are current. A source that disconnects, stops sending or is no longer
 * current is replaced by the next one at once. A stale source is kept until another one is current.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { NO_POSITION, type StorePosition } from '@umberspar/steering/common/entry/storePosition'
import type { RecordLine } from '../../common/recordLines.js'
import { RecordSubscription } from './recordSubscription.js'

/** Two sources, so that updates continue while one of them stops sending. */
const TARGET_SOURCES = 2
/** Includes sources that have not responded yet or are being replaced. */
const MAX_SOURCES = 5
/** Delay before a failed source is tried again. */
const RETRY_DELAY_MS = 2_000
const RETRY_JITTER_RATIO = 0.3
/** While fewer than two sources are current, other ones are tried at this interval. */
const SEARCH_INTERVAL_MS = 1_000
/** Limits renewals of a subscription: right after many VMs start together, every response is late. Doubles while renewals do not help. */
const MIN_RENEWAL_INTERVAL_MS = 1_000
const MAX_RENEWAL_INTERVAL_MS = 4_000

/** Receives the records, and changes of the sources. */
export interface RecordSubscriberListener {
  /** @returns the position that this VM has */
  getPosition(): StorePosition
  /**
   * @param freshAsOf the latest instant at which the publisher's records were certainly up to date, on this VM's {@link ElapsedClock}
   * @returns false if the line does not apply to the records that this VM has, so that a full snapshot is needed
   */
  onLine(line: RecordLine, freshAsOf: Instant): boolean
  /** A source was added or removed, or it became current or stale. */
  onSourcesChanged(): void
}

/** An event of a subscription, for metrics. */
export enum SubscriptionEvent {
  Opened = 'opened',
  /** Opened beside the present one, to determine the freshness of the records more precisely. */
  Renewed = 'renewed',
  /** Opened again for a full snapshot, as a line did not apply. */
  Reread = 'reread',
  /** Not responded to in the usual time. */
  Late = 'late',
  /** Ended before its first line. */
  Failed = 'failed',
  /** Ended after its first line. */
  Ended = 'ended'
}

interface Source {
  readonly address: string
  subscription: RecordSubscription | undefined
  /** Replaces `subscription` once its first line has arrived; undefined while no renewal is in progress. */
  replacement: RecordSubscription | undefined
  /** The earliest time for the next renewal. */
  renewAt: Deadline
  /** Renewals in a row after which the clock was as uncertain as before. */
  futileRenewals: number
  /** The VMs that its records passed through; undefined while the source is not current. */
  via: readonly string[] | undefined
  /** Whether a first line has arrived. */
  hasResponded: boolean
  /** Whether the first line is late, so that others are tried meanwhile. */
  isLate: boolean
}

/** @returns whether the source is current, or may be so within moments */
function mayServe ({ via, hasResponded, isLate }: Source): boolean {
  return via !== undefined || (!hasResponded && !isLate)
}

/** Subscribes to other VMs from {@link RecordSubscriber.subscribeTo} until {@link RecordSubscriber.close}. */
export class RecordSubscriber implements IClosable {
  private readonly sources = new Map<string, Source>()
  private readonly retryTimes = new Map<string, Deadline>()
  private addresses: readonly string[] = []
  private timer: ITimer | undefined

  /**
   * @param node this VM's name
   * @param clock for timeouts
   * @param elapsed for the freshness of records
   * @param random jitter for retries
   * @param logger receives lines that cannot be parsed, as warnings
   * @param onEvent counts the events of subscriptions
   * @param listener receives the records
   */
  constructor (
    private readonly node: string,
    private readonly clock: IClock,
    private readonly elapsed: ElapsedClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger,
    private readonly onEvent: (event: SubscriptionEvent) => void,
    private readonly listener: RecordSubscriberListener
  ) {}

  /** @returns the shortest path by which current records reach this VM; undefined if no source is current */
  get via (): readonly string[] | undefined {
    let shortest: readonly string[] | undefined
    for (const { via } of this.sources.values()) {
      if (via !== undefined && (shortest === undefined || via.length < shortest.length)) shortest = via
    }
    return shortest
  }

  /** @returns the number of sources that are current */
  countSources (): number {
    return this.listCurrent().length
  }

  /** @param addresses `host:port` of the possible sources, in order of preference; an empty list ends all subscriptions */
  subscribeTo (addresses: readonly string[]): void {
    this.addresses = [...new Set(addresses)]
    this.update()
  }

  /** Ends all subscriptions. */
  close (): void {
    this.addresses = []
    this.timer?.close()
    this.retryTimes.clear()
    for (const address of [...this.sources.keys()]) this.remove(address)
  }

  private listCurrent (): Source[] {
    return [...this.sources.values()].filter(({ via }) => via !== undefined)
  }

  private update (): void {
    this.timer?.close()
    const now = this.clock.now()
    const candidates = this.addresses.filter((address) => hasPassed(this.retryTimes.get(address) ?? now, now))
    this.removeSurplus(candidates)
    let missing = TARGET_SOURCES - [...this.sources.values()].filter(mayServe).length
    if (missing > 0) this.removeStale(candidates, now)
    for (const address of candidates) {
      if (this.sources.size >= MAX_SOURCES) break
      if (this.sources.has(address) || (missing <= 0 && !this.isPreferred(address, candidates))) continue
      this.open(address)
      missing--
    }
    this.scheduleUpdate(now)
  }

  /** Removes stale sources when the limit is reached, so that others can be tried: one of them may have access to the store. */
  private removeStale (candidates: readonly string[], now: Instant): void {
    for (const source of [...this.sources.values()]) {
      if (this.sources.size < MAX_SOURCES) return
      if (mayServe(source) || this.isPreferred(source.address, candidates)) continue
      this.remove(source.address)
      this.markFailed(source.address, now)
    }
  }

  private isPreferred (address: string, candidates: readonly string[]): boolean {
    const rank = candidates.indexOf(address)
    return rank >= 0 && rank < TARGET_SOURCES
  }

  /** Keeps the two most preferred current sources, and the sources that are being tried in their place. */
  private removeSurplus (candidates: readonly string[]): void {
    const current = candidates.filter((address) => this.sources.get(address)?.via !== undefined)
    for (const address of [...this.sources.keys()]) {
      const isUnlisted = !this.addresses.includes(address)
      const rank = current.indexOf(address)
      const isReplaced = current.length >= TARGET_SOURCES && (rank < 0 || rank >= TARGET_SOURCES) && !this.isPreferred(address, candidates)
      if (isReplaced || (isUnlisted && current.length > 0) || this.addresses.length === 0) this.remove(address)
    }
  }

  private scheduleUpdate (now: Instant): void {
    for (const [address, retryAt] of this.retryTimes) {
      if (hasPassed(retryAt, now)) this.retryTimes.delete(address)
    }
    if (this.addresses.length === 0) return
    const searchAt = this.listCurrent().length < TARGET_SOURCES ? [now + SEARCH_INTERVAL_MS] : []
    const updateAt = Math.min(...searchAt, ...this.retryTimes.values())
    if (Number.isFinite(updateAt)) this.timer = this.clock.schedule(updateAt, () => { this.update() })
  }

  private markFailed (address: string, now: Instant): void {
    this.retryTimes.set(address, now + addJitter(this.random, RETRY_DELAY_MS, RETRY_JITTER_RATIO))
  }

  private open (address: string): void {
    const source: Source = { address, subscription: undefined, replacement: undefined, renewAt: 0, futileRenewals: 0, via: undefined, hasResponded: false, isLate: false }
    this.sources.set(address, source)
    source.subscription = this.createSubscription(source)
    this.onEvent(SubscriptionEvent.Opened)
  }

  private createSubscription (source: Source, position = this.listener.getPosition()): RecordSubscription {
    const subscription: RecordSubscription = new RecordSubscription(source.address, position, this.clock, this.elapsed, {
      onLine: (line, freshAsOf) => {
        if (source.replacement === subscription) this.setSubscription(source, subscription)
        this.handleLine(source, line, freshAsOf)
        if (Number.isFinite(freshAsOf)) this.renewUncertain(source)
      },
      onLate: () => { if (source.subscription === subscription) this.handleLate(source) },
      onEnd: (error) => {
        if (error !== undefined) logError(this.logger, LogLevel.Warn, error)
        if (source.replacement === subscription) source.replacement = undefined
        else this.handleEnd(source)
      }
    })
    return subscription
  }

  private setSubscription (source: Source, subscription: RecordSubscription): void {
    source.subscription?.close()
    source.subscription = subscription
    source.replacement = undefined
  }

  /** Renews the subscription if the source's clock is known so imprecisely that its records seem older than they are. */
  private renewUncertain (source: Source): void {
    const now = this.clock.now()
    if (this.sources.get(source.address) !== source || source.replacement !== undefined) return
    if (source.subscription?.isClockUncertain !== true) {
      source.futileRenewals = 0
      return
    }
    if (!hasPassed(source.renewAt, now)) return
    source.renewAt = createDeadline(now, Math.min(MAX_RENEWAL_INTERVAL_MS, MIN_RENEWAL_INTERVAL_MS * 2 ** source.futileRenewals))
    source.futileRenewals++
    source.replacement = this.createSubscription(source)
    this.onEvent(SubscriptionEvent.Renewed)
  }

  private handleLine (source: Source, line: RecordLine, freshAsOf: Instant): void {
    const wasCurrent = source.via !== undefined
    const isFirst = !source.hasResponded
    source.hasResponded = true
    // Prevents a cycle: two VMs subscribed to each other would otherwise keep each other current forever.
    const isCycle = line.via?.includes(this.node) === true
    const isEarlierEra = line.era < this.listener.getPosition().era
    source.via = isCycle || isEarlierEra ? undefined : line.via
    const isApplied = this.listener.onLine({ ...line, via: source.via }, freshAsOf)
    if (!isApplied) this.askForSnapshot(source)
    if (!isFirst && wasCurrent === (source.via !== undefined)) return
    this.listener.onSourcesChanged()
    this.update()
  }

  /** Resubscribes for a full snapshot, after a line that does not apply to the records that this VM has. */
  private askForSnapshot (source: Source): void {
    source.replacement?.close()
    source.replacement = undefined
    source.subscription?.close()
    source.subscription = this.createSubscription(source, NO_POSITION)
    this.onEvent(SubscriptionEvent.Reread)
  }

  private handleLate (source: Source): void {
    if (this.sources.get(source.address) !== source || source.hasResponded) return
    source.isLate = true
    this.onEvent(SubscriptionEvent.Late)
    this.update()
  }

  private handleEnd (source: Source): void {
    if (this.sources.get(source.address) !== source) return
    source.replacement?.close()
    this.onEvent(source.hasResponded ? SubscriptionEvent.Ended : SubscriptionEvent.Failed)
    this.sources.delete(source.address)
    this.markFailed(source.address, this.clock.now())
    this.listener.onSourcesChanged()
    this.update()
  }

  private remove (address: string): void {
    const source = this.sources.get(address)
    source?.subscription?.close()
    source?.replacement?.close()
    this.sources.delete(address)
  }
}
