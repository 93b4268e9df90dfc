/** Keeps the view in line with the records, from whatever source they come. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { ViewChange, type ViewEvent } from '@umberspar/steering/common/entry/viewEvent'
import type { RecordChange, RecordChanges, RecordSnapshot } from '@umberspar/steering/common/entry/records'
import type { RecordNews } from '@umberspar/steering/common/entry/recordNews'
import { RecordTable } from '@umberspar/steering/common/entry/recordTable'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import type { RecordsAge } from './recordsAge.js'

/** How often what disappeared during an outage is looked at, in milliseconds. */
const HELD_CHECK_MS = 250

/** Who follows the view's changes. */
export type ViewListener = (event: ViewEvent) => void

/** Keeps one process's view. */
export class BeliefKeeper implements IClosable {
  private readonly table = new RecordTable()
  private heldTimer: ITimer | undefined
  private isCurrent = false
  private knownAt: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param clock for holding back
   * @param view what is kept
   * @param telemetry told of each change
   * @param onChange told of each change
   */
  constructor (
    private readonly clock: IClock,
    private readonly view: EntryView,
    private readonly telemetry: EntryTelemetry,
    private readonly onChange: ViewListener
  ) {}

  /** @returns the revision up to which everything is known */
  get revision (): number {
    return this.table.revision
  }

  /** @returns how much longer what disappears is held back, in milliseconds */
  get holdMs (): number {
    return this.table.getHoldMs(this.clock.now())
  }

  /** @returns how new the records are */
  getRecordsAge (): RecordsAge {
    return { revision: this.table.revision, ageMs: this.isCurrent ? 0 : Math.max(0, this.clock.now() - this.knownAt) }
  }

  /** @returns what a VM that knows a revision has to be told; undefined if nothing */
  readNewsAfter (revision: number): RecordNews | undefined {
    return this.table.readNewsAfter(revision)
  }

  /**
   * Takes over whether the records are known to be the newest.
   * @param isCurrent whether the store, or a VM that vouches for it, tells of changes
   * @param since until when they are known to have been the newest
   * @param holdMs for a VM that vouches: how much longer it holds back what disappeared in an outage, in milliseconds
   */
  setCurrent (isCurrent: boolean, since: Instant, holdMs?: number): void {
    const now = this.clock.now()
    this.knownAt = Math.max(this.knownAt, since)
    if (isCurrent && holdMs !== undefined) this.table.updateHold(now, holdMs)
    if (isCurrent === this.isCurrent) return
    if (!isCurrent) {
      this.recordLost(since)
      return
    }
    this.isCurrent = true
    this.table.recordStoreRegained(now, holdMs)
    this.scheduleHeld()
  }

  /**
   * Notes that nobody tells of changes any more. A VM that has only read the store so
   * far has lost nobody: what its next reading lacks is gone, not held back.
   * @param since until when the records are known to have been the newest
   */
  recordLost (since: Instant): void {
    this.knownAt = Math.max(this.knownAt, since)
    this.isCurrent = false
    this.table.recordStoreLost(this.knownAt)
  }

  /** Takes over everything that the store held as of a revision. */
  applySnapshot (snapshot: RecordSnapshot): void {
    this.apply(this.table.applySnapshot(snapshot, this.clock.now()))
  }

  /** Takes over what changed in the store. */
  applyChanges (changes: RecordChanges): void {
    this.apply(this.table.applyChanges(changes, this.clock.now()))
  }

  /**
   * Takes over what another VM tells.
   * @returns false if this VM has to be told everything instead
   */
  applyNews (news: RecordNews): boolean {
    const changes = this.table.applyNews(news, this.clock.now())
    if (changes !== undefined) this.apply(changes)
    return changes !== undefined
  }

  /** Follows nothing more. */
  close (): void {
    this.heldTimer?.close()
  }

  private apply (changes: readonly RecordChange[]): void {
    const now = this.clock.now()
    for (const change of changes) {
      for (const event of this.view.apply(change, now)) this.logEvent(event)
    }
    this.scheduleHeld()
  }

  private logEvent (event: ViewEvent): void {
    this.telemetry.metrics.countChange(event.change)
    const level = event.change === ViewChange.RecordUnreadable ? LogLevel.Warn : LogLevel.Info
    this.telemetry.logger.log(level, { step: 'update-view', ...event }, 'the view changed')
    this.onChange(event)
  }

  private scheduleHeld (): void {
    if (this.heldTimer !== undefined || !this.table.hasHeld) return
    this.heldTimer = this.clock.schedule(this.clock.now() + HELD_CHECK_MS, () => {
      this.heldTimer = undefined
      this.apply(this.table.releaseHeld(this.clock.now()))
    })
  }
}
