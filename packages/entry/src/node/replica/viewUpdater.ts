/** Applies records from the store and from other VMs to the {@link EntryView}. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { ViewChange, type ViewEvent } from '@umberspar/steering/common/entry/viewEvent'
import type { RecordChange, RecordChanges, RecordSnapshot } from '@umberspar/steering/common/entry/records'
import { isEraStart, type StorePosition } from '@umberspar/steering/common/entry/storePosition'
import type { RecordUpdate } from '@umberspar/steering/common/entry/recordUpdate'
import { RecordReplica } from '@umberspar/steering/common/entry/recordReplica'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import type { RecordsAge } from './recordsAge.js'

/** How often the records that disappeared during an outage are checked for release. */
const HOLD_CHECK_INTERVAL_MS = 250

/** Receives each change of the view. */
export type ViewChangeListener = (event: ViewEvent) => void

/** Keeps the view of one process up to date. */
export class ViewUpdater implements IClosable {
  private readonly table = new RecordReplica()
  private holdTimer: ITimer | undefined
  private isCurrent = false
  private currentAsOf: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param clock for hold periods and the age of the records
   * @param view receives the records
   * @param telemetry counts and logs each change
   * @param onChange called for each change
   */
  constructor (
    private readonly clock: IClock,
    private readonly view: EntryView,
    private readonly telemetry: EntryTelemetry,
    private readonly onChange: ViewChangeListener
  ) {}

  /** @returns the position of the records */
  get position (): StorePosition {
    return this.table.position
  }

  /** @returns the version of the configuration in force; undefined before one was read */
  get configurationVersion (): number | undefined {
    return this.view.document?.version
  }

  /** @returns whether the configuration in force is newer than the one that the store holds */
  get isConfigurationUnconfirmed (): boolean {
    return this.table.isDocumentUnconfirmed
  }

  /** @returns whether records are known that the store has lost and that have not been written again yet */
  get hasUnconfirmed (): boolean {
    return this.table.unconfirmed.hasAwaited(this.clock.now())
  }

  /** @returns for how much longer records that disappear are held back, in milliseconds */
  get holdMs (): number {
    return this.table.getRemovalHoldMs(this.clock.now())
  }

  /** @returns the position and age of the records */
  getRecordsAge (): RecordsAge {
    return { ...this.table.position, ageMs: this.isCurrent ? 0 : Math.max(0, this.clock.now() - this.currentAsOf) }
  }

  /** @returns the update for a VM that has the given position; undefined if there is nothing new */
  readUpdateAfter (position: StorePosition): RecordUpdate | undefined {
    const update = this.table.buildUpdateAfter(position)
    return update?.isWhole === true ? { ...update, unconfirmed: this.table.unconfirmed.list(this.clock.now()) } : update
  }

  /**
   * Sets whether the records are current.
   * @param isCurrent whether the store, or a VM with current records, reports changes to this VM
   * @param currentAsOf the latest instant at which the records are known to have been current
   * @param holdMs if the source is another VM: for how much longer it holds back records that disappeared in an outage, in milliseconds
   */
  setCurrent (isCurrent: boolean, currentAsOf: Instant, holdMs?: number): void {
    const now = this.clock.now()
    this.currentAsOf = Math.max(this.currentAsOf, currentAsOf)
    if (isCurrent && holdMs !== undefined) this.table.updateRemovalHold(now, holdMs)
    if (isCurrent === this.isCurrent) return
    if (!isCurrent) {
      this.markStale(currentAsOf)
      return
    }
    this.isCurrent = true
    this.table.recordStoreRecovered(now, holdMs)
    this.scheduleRelease()
  }

  /**
   * Marks the records as stale, as no source reports changes any more. For a VM that has
   * only read the store so far no hold period begins: records that its next read lacks are
   * removed, not held back.
   * @param currentAsOf the latest instant at which the records are known to have been current
   */
  markStale (currentAsOf: Instant): void {
    this.currentAsOf = Math.max(this.currentAsOf, currentAsOf)
    this.isCurrent = false
    this.table.recordStoreLost(this.currentAsOf)
  }

  /** Applies a full snapshot of the store. */
  applySnapshot (snapshot: RecordSnapshot): void {
    const previous = this.table.position
    this.apply(this.table.applySnapshot(snapshot, this.clock.now()))
    this.logEra(previous)
  }

  /** Applies changes from the store. */
  applyChanges (changes: RecordChanges): void {
    this.apply(this.table.applyChanges(changes, this.clock.now()))
  }

  /**
   * Applies an update from another VM.
   * @returns false if the update does not apply to the present records, so that a full snapshot is needed
   */
  applyUpdate (news: RecordUpdate): boolean {
    const previous = this.table.position
    const changes = this.table.applyUpdate(news, this.clock.now())
    if (changes !== undefined) this.apply(changes)
    this.logEra(previous)
    return changes !== undefined
  }

  /** Stops releasing held records. */
  close (): void {
    this.holdTimer?.close()
  }

  private logEra (previous: StorePosition): void {
    const { era, revision } = this.table.position
    if (!isEraStart(previous, this.table.position)) return
    this.telemetry.logger.log(LogLevel.Warn, { step: 'begin-era', peer: 'store', era, previousEra: previous.era, revision }, 'the store has come back from an older copy')
    this.logEvent({ change: ViewChange.EraBegan, subject: String(era), revision })
  }

  private apply (changes: readonly RecordChange[]): void {
    const now = this.clock.now()
    const wasOutdated = this.view.isConfigurationOutdated
    for (const change of changes) {
      for (const event of this.view.applyChange(change, now)) this.logEvent(event)
    }
    if (this.view.isConfigurationOutdated !== wasOutdated) this.logConfigurationState(!wasOutdated)
    this.scheduleRelease()
  }

  private logConfigurationState (isOutdated: boolean): void {
    const context = { step: 'compare-configurations', version: this.configurationVersion, newestVersion: this.view.nodeLists.newestVersion, ...this.table.position }
    const message = isOutdated ? 'another entry VM has a newer configuration than this one' : 'no other entry VM has a newer configuration any more'
    this.telemetry.logger.log(isOutdated ? LogLevel.Warn : LogLevel.Info, context, message)
  }

  private logEvent (event: ViewEvent): void {
    this.telemetry.metrics.countChange(event.change)
    const level = event.change === ViewChange.RecordUnreadable ? LogLevel.Warn : LogLevel.Info
    this.telemetry.logger.log(level, { step: 'update-view', ...event }, 'the view changed')
    this.onChange(event)
  }

  private scheduleRelease (): void {
    if (this.holdTimer !== undefined || !this.table.hasHeldRemovals) return
    this.holdTimer = this.clock.schedule(this.clock.now() + HOLD_CHECK_INTERVAL_MS, () => {
      this.holdTimer = undefined
      this.apply(this.table.applyDueRemovals(this.clock.now()))
    })
  }
}
