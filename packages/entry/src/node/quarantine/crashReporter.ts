/**
 * Writes this VM's crash reports, and the quarantines that it decided on, to the store.
 * The records outlive the process: a request that has crashed three workers must stay
 * known when the VM that reported it is restarted.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Deadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'
import type { AnswerReport, CrashReport, Quarantine } from '@umberspar/steering/common/quarantine/crashReport'

/** Combines the reports of one crash into one write. */
const BATCH_DELAY_MS = 100
const RETRY_DELAY_MS = 500
/** Limits the size of the record, which is sent to every entry VM. A report takes about 80 bytes. */
const MAX_REPORTS = 128

/** Dependencies of a {@link CrashReporter}. */
export interface CrashReporterDependencies {
  readonly clock: IClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly writer: IRecordWriter
  /** This VM's name. */
  readonly node: string
  readonly reportLifetimeMs: number
}

/** A report with the wall time at which it expires. */
interface Expiring<T> {
  readonly report: T
  readonly expiresAt: number
}

/** Writes the reports of one VM. */
export class CrashReporter implements IClosable {
  private crashes: Array<Expiring<CrashReport>> = []
  private answers: Array<Expiring<AnswerReport>> = []
  private readonly quarantines = new Map<string, Quarantine>()
  /** Quarantines that this VM has written, to write them again if the store loses them. */
  private readonly writtenQuarantines = new Map<string, Quarantine>()
  /** Requests whose quarantine is to be removed, as a worker has answered them. */
  private readonly pendingReleases = new Set<string>()
  private hasMergedPrevious = false
  private isChanged = false
  private isWriting = false
  private isClosed = false
  private timer: ITimer | undefined
  private dueAt: Deadline = Infinity

  constructor (private readonly dependencies: CrashReporterDependencies) {}

  /** Schedules the report of a crash. */
  addCrash (report: CrashReport): void {
    this.crashes = [...this.crashes, this.addExpiry(report)].slice(-MAX_REPORTS)
    this.isChanged = true
    this.schedule(BATCH_DELAY_MS)
  }

  /** Schedules the report that a worker answered a request, and removes a quarantine of that request. */
  addAnswer (report: AnswerReport): void {
    this.answers = [...this.answers, this.addExpiry(report)].slice(-MAX_REPORTS)
    this.crashes = this.crashes.filter((crash) => crash.report.digest !== report.digest)
    this.quarantines.delete(report.digest)
    this.writtenQuarantines.delete(report.digest)
    this.pendingReleases.add(report.digest)
    this.isChanged = true
    this.schedule(BATCH_DELAY_MS)
  }

  /** Writes a quarantine, with retries until it succeeds. */
  putQuarantine (quarantine: Quarantine): void {
    this.quarantines.set(quarantine.digest, quarantine)
    this.writtenQuarantines.delete(quarantine.digest)
    this.pendingReleases.delete(quarantine.digest)
    this.schedule(0)
  }

  /** Writes everything once more, after the store has come back from an older copy. */
  writeAgain (): void {
    const wallTime = this.dependencies.clock.getWallTime()
    for (const [digest, quarantine] of this.writtenQuarantines) {
      if (quarantine.expiresAt > wallTime) this.quarantines.set(digest, quarantine)
      else this.writtenQuarantines.delete(digest)
    }
    this.isChanged ||= this.crashes.length > 0 || this.answers.length > 0
    if (this.isChanged || this.quarantines.size > 0) this.schedule(BATCH_DELAY_MS)
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private addExpiry<T> (report: T): Expiring<T> {
    return { report, expiresAt: this.dependencies.clock.getWallTime() + this.dependencies.reportLifetimeMs }
  }

  private schedule (delayMs: number): void {
    const { clock } = this.dependencies
    const dueAt = clock.now() + delayMs
    // A later report must not delay a write that is already scheduled.
    if (this.isWriting || this.isClosed || dueAt >= this.dueAt) return
    this.timer?.close()
    this.dueAt = dueAt
    this.timer = clock.schedule(dueAt, () => {
      this.dueAt = Infinity
      runDetached(() => this.writeAll(), this.dependencies.logger, 'report-crashes')
    })
  }

  private async writeAll (): Promise<void> {
    this.isWriting = true
    const isDone = await this.writeQuarantines() && await this.writeReports() && await this.removeReleased()
    this.isWriting = false
    if (!isDone) this.schedule(RETRY_DELAY_MS)
    else if (this.isChanged || this.quarantines.size > 0) this.schedule(BATCH_DELAY_MS)
  }

  private async writeQuarantines (): Promise<boolean> {
    const { view, writer, logger } = this.dependencies
    for (const quarantine of [...this.quarantines.values()]) {
      const known = view.quarantines.get(quarantine.digest)
      // The store does not hold what it has lost, at whatever revision it was known.
      const expectedRevision = this.writtenQuarantines.has(quarantine.digest) ? 0 : known?.revision ?? 0
      const written = await writer.putQuarantine(quarantine, expectedRevision)
      // After a conflict, another VM has already written it.
      if (written.ok || written.val.code === ErrorCode.Conflict) {
        this.quarantines.delete(quarantine.digest)
        this.writtenQuarantines.set(quarantine.digest, quarantine)
        continue
      }
      logError(logger, LogLevel.Warn, written.val)
      return false
    }
    return true
  }

  private async writeReports (): Promise<boolean> {
    const { writer, logger, node, clock } = this.dependencies
    if (!this.isChanged) return true
    this.mergePrevious()
    const wallTime = clock.getWallTime()
    this.crashes = this.crashes.filter(({ expiresAt }) => expiresAt > wallTime)
    this.answers = this.answers.filter(({ expiresAt }) => expiresAt > wallTime)
    const all = [...this.crashes, ...this.answers]
    this.isChanged = false
    const written = await writer.putCrashReports({
      node,
      crashes: this.crashes.map(({ report }) => report),
      answers: this.answers.map(({ report }) => report),
      expiresAt: Math.max(wallTime, ...all.map(({ expiresAt }) => expiresAt))
    })
    if (written.ok) return true
    this.isChanged = true
    logError(logger, LogLevel.Warn, written.val)
    return false
  }

  private async removeReleased (): Promise<boolean> {
    const { view, writer, logger } = this.dependencies
    for (const digest of [...this.pendingReleases]) {
      const known = view.quarantines.get(digest)
      const removed = known === undefined ? undefined : await writer.remove(known)
      if (removed !== undefined && !removed.ok && removed.val.code !== ErrorCode.Conflict) {
        logError(logger, LogLevel.Warn, removed.val)
        return false
      }
      this.pendingReleases.delete(digest)
    }
    return true
  }

  /** Keeps the reports of a previous process of this VM in the record. */
  private mergePrevious (): void {
    const { view, node } = this.dependencies
    if (this.hasMergedPrevious) return
    this.hasMergedPrevious = true
    const previous = view.crashReports.get(node)?.value
    if (previous === undefined) return
    const { expiresAt } = previous
    this.crashes = [...previous.crashes.map((report) => ({ report, expiresAt })), ...this.crashes].slice(-MAX_REPORTS)
    this.answers = [...previous.answers.map((report) => ({ report, expiresAt })), ...this.answers].slice(-MAX_REPORTS)
  }
}
