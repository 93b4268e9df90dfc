/**
 * Keeps the view in line with the records: from the store while it answers, else
 * from entry VMs that it still answers. A VM that the store refuses would go on
 * sending to workers that have left; the others know.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { LogLevel } from '@umberspar/base/common/logger'
import { type EntryView, ViewChange, type ViewEvent } from '@umberspar/steering/common/entry/entryView'
import type { RecordChange, RecordChanges, RecordSnapshot } from '@umberspar/steering/common/entry/records'
import { RecordTable } from '@umberspar/steering/common/entry/recordTable'
import type { SteeringListener } from '@umberspar/steering/common/ports/steeringSource'
import type { VouchedSnapshot } from '../peers/vouchedSnapshot.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import type { RecordsAge } from './recordsAge.js'
import type { PeerReader } from '../peers/peerReader.js'

/** How often what disappeared during an outage is looked at, in milliseconds. */
const HELD_CHECK_MS = 250

/** Who follows the view's changes. */
export type ViewListener = (event: ViewEvent) => void

/** Keeps one process's view. */
export class BeliefKeeper implements SteeringListener, IClosable {
  private readonly table = new RecordTable()
  private heldTimer: ITimer | undefined
  private isInTouch = false
  private knownAt: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param clock for holding back
   * @param view what is kept
   * @param telemetry told of each change
   * @param peers asked while the store does not answer
   * @param onChange told of each change
   */
  constructor (
    private readonly clock: IClock,
    private readonly view: EntryView,
    private readonly telemetry: EntryTelemetry,
    private readonly peers: PeerReader,
    private readonly onChange: ViewListener
  ) {}

  /** @returns how new the records are */
  getRecordsAge (): RecordsAge {
    return { revision: this.table.revision, ageMs: this.isInTouch ? 0 : Math.max(0, this.clock.now() - this.knownAt) }
  }

  /** @returns what this VM knows, for a peer */
  readSnapshot (): VouchedSnapshot {
    return { revision: this.table.revision, records: this.table.list(), isVouched: this.isInTouch }
  }

  getRevision (): number {
    return this.table.revision
  }

  onSnapshot (snapshot: RecordSnapshot): void {
    this.apply(this.table.applySnapshot(snapshot, this.clock.now()))
  }

  onChanges (changes: RecordChanges): void {
    this.apply(this.table.applyChanges(changes, this.clock.now()))
  }

  onLost (reason: string, since: Instant): void {
    this.knownAt = Math.max(this.knownAt, since)
    this.isInTouch = false
    this.table.recordStoreLost(since)
    this.telemetry.logger.log(LogLevel.Warn, { step: 'follow-store', peer: 'store', reason, revision: this.table.revision }, 'the store does not answer this VM')
    this.peers.start({
      getRevision: () => this.table.revision,
      onSnapshot: (snapshot) => { this.handlePeerSnapshot(snapshot) },
      onVouched: (revision) => { if (!this.isInTouch && revision === this.table.revision) this.knownAt = this.clock.now() }
    })
  }

  onRegained (): void {
    const { ageMs } = this.getRecordsAge()
    this.isInTouch = true
    this.table.recordStoreRegained(this.clock.now())
    this.peers.stop()
    this.telemetry.logger.log(LogLevel.Info, { step: 'follow-store', peer: 'store', ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, revision: this.table.revision }, 'the store answers this VM')
    this.scheduleHeld()
  }

  /** Follows nothing more. */
  close (): void {
    this.heldTimer?.close()
    this.peers.stop()
  }

  private handlePeerSnapshot (snapshot: VouchedSnapshot): void {
    if (this.isInTouch || !snapshot.isVouched) return
    this.knownAt = this.clock.now()
    this.apply(this.table.applySnapshot(snapshot, this.clock.now(), true))
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
