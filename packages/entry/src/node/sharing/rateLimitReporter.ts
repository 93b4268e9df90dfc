/**
 * Writes the rate limits that workers announce to this VM to the store, so that VMs that have not been told, such as
 * those that start, keep them as well. One VM of those that have been told writes; the others wait for its record.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode, type StepError } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { Result } from '@umberspar/base/common/result'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { UpstreamTracker } from '@umberspar/steering/common/entry/workers/upstreamTracker'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'

/** VMs wait for their turn, by rank; the later ones all at once. */
const TURN_MS = 150
const MAX_TURNS = 8
/** Also limits how often the record of a limit that keeps changing is written. */
const RECHECK_INTERVAL_MS = 1_000
/** A limit is removed if its worker was registered at neither of two sweeps. */
const SWEEP_INTERVAL_MS = 60_000

/** Dependencies of a {@link RateLimitReporter}. */
export interface RateLimitReporterDependencies {
  readonly clock: IClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly writer: IRecordWriter
}

/** Reports the observations of one VM. */
export class RateLimitReporter implements IClosable {
  private readonly timers = new Map<string, ITimer>()
  private sweepTimer: ITimer | undefined
  /** The workers with a limit that were not registered at the last sweep. */
  private missingBefore: ReadonlySet<string> = new Set()
  private isClosed = false

  constructor (private readonly dependencies: RateLimitReporterDependencies) {}

  /** Handles that a worker has announced another limit to this VM, or none any more. */
  handleObserved (workerId: string): void {
    const { view } = this.dependencies
    this.schedule(workerId, Math.min(MAX_TURNS, view.sharers.fleet.getRank(workerId)) * TURN_MS)
  }

  /** Handles that another VM has passed on a limit, which this VM may have to remove some day. */
  handleReported (): void {
    const { clock, logger } = this.dependencies
    if (this.isClosed) return
    this.sweepTimer ??= clock.schedule(clock.now() + SWEEP_INTERVAL_MS, () => {
      this.sweepTimer = undefined
      runDetached(() => this.removeObsolete(), logger, 'report-rate-limit')
    })
  }

  /** Checks all observations again, as the store may have lost the records. */
  handleEraStart (): void {
    for (const { registration, rate } of this.dependencies.view.listTrackers()) if (rate.isOwnObservation) this.handleObserved(registration.id)
  }

  close (): void {
    this.isClosed = true
    for (const timer of this.timers.values()) timer.close()
    this.timers.clear()
    this.sweepTimer?.close()
  }

  private async removeObsolete (): Promise<void> {
    const { view, writer, logger } = this.dependencies
    const limits = [...view.rateLimits.list()]
    const missing = limits.filter(({ value }) => view.findUpstream(value.workerId) === undefined)
    const obsolete = missing.filter(({ value }) => this.missingBefore.has(value.workerId) && view.sharers.fleet.getRank(value.workerId) === 0)
    this.missingBefore = new Set(missing.map(({ value }) => value.workerId))
    for (const record of obsolete) {
      const removed = await writer.remove(record)
      if (!removed.ok && removed.val.code !== ErrorCode.Conflict) logError(logger, LogLevel.Warn, removed.val)
    }
    if (limits.length > 0) this.handleReported()
  }

  private schedule (workerId: string, delayMs: number): void {
    const { clock, logger } = this.dependencies
    // A call to the store may end after the close.
    if (this.isClosed || this.timers.has(workerId)) return
    this.timers.set(workerId, clock.schedule(clock.now() + delayMs, () => { runDetached(() => this.report(workerId), logger, 'report-rate-limit') }))
  }

  private async report (workerId: string): Promise<void> {
    const { view, logger } = this.dependencies
    const tracker = view.findUpstream(workerId)
    const written = tracker === undefined ? undefined : await this.write(tracker)
    this.timers.delete(workerId)
    if (written === undefined) return
    if (!written.ok && written.val.code !== ErrorCode.Conflict) logError(logger, LogLevel.Warn, written.val)
    this.schedule(workerId, RECHECK_INTERVAL_MS)
  }

  /** @returns the outcome; undefined if the record is up to date */
  private async write ({ rate, registration: { id, startedAt } }: UpstreamTracker): Promise<Result<number, StepError> | undefined> {
    const { view, writer } = this.dependencies
    const known = view.rateLimits.find(id)
    const isSame = known?.value.perSecond === rate.perSecond && (known === undefined || known.value.startedAt === startedAt)
    if (!rate.isOwnObservation || isSame) return undefined
    if (rate.perSecond !== undefined) return await writer.putRateLimit({ workerId: id, startedAt, perSecond: rate.perSecond }, known?.revision ?? 0)
    return known === undefined ? undefined : await writer.remove(known)
  }
}
