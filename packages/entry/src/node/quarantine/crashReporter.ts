/**
 * Writes this VM's crash reports, and quarantines that it decided on, to the store.
 * The records outlive the process: a request that took three workers down must not
 * be forgotten because the VM that knew of it was restarted.
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

/** Reports of one crash come together. */
const BATCH_DELAY_MS = 100
const RETRY_DELAY_MS = 500
/** Bounds the record, which reaches every entry VM whole; a report takes about 80 bytes. */
const MAX_REPORTS = 128

/** What it is built from. */
export interface ReporterParts {
  readonly clock: IClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly writer: IRecordWriter
  /** This VM's name. */
  readonly node: string
  readonly reportSpanMs: number
}

/** A report with the wall time at which it expires. */
interface Timed<T> {
  readonly report: T
  readonly expiresAt: number
}

/** The writer of one VM's reports. */
export class CrashReporter implements IClosable {
  private crashes: Array<Timed<CrashReport>> = []
  private answers: Array<Timed<AnswerReport>> = []
  private readonly quarantines = new Map<string, Quarantine>()
  /** Requests whose quarantine this VM refuted. */
  private readonly releases = new Set<string>()
  private hasFormer = false
  private isChanged = false
  private isWriting = false
  private isClosed = false
  private timer: ITimer | undefined
  private dueAt: Deadline = Infinity

  /** @param parts what it is built from */
  constructor (private readonly parts: ReporterParts) {}

  /** Reports a crash soon. */
  addCrash (report: CrashReport): void {
    this.crashes = [...this.crashes, this.addExpiry(report)].slice(-MAX_REPORTS)
    this.isChanged = true
    this.schedule(BATCH_DELAY_MS)
  }

  /** Reports soon that a worker answered a request, and ends a quarantine of it. */
  addAnswer (report: AnswerReport): void {
    this.answers = [...this.answers, this.addExpiry(report)].slice(-MAX_REPORTS)
    this.crashes = this.crashes.filter((crash) => crash.report.digest !== report.digest)
    this.quarantines.delete(report.digest)
    this.releases.add(report.digest)
    this.isChanged = true
    this.schedule(BATCH_DELAY_MS)
  }

  /** Writes a quarantine, as often as it takes to succeed. */
  putQuarantine (quarantine: Quarantine): void {
    this.quarantines.set(quarantine.digest, quarantine)
    this.releases.delete(quarantine.digest)
    this.schedule(0)
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private addExpiry<T> (report: T): Timed<T> {
    return { report, expiresAt: this.parts.clock.getWallTime() + this.parts.reportSpanMs }
  }

  private schedule (delayMs: number): void {
    const { clock } = this.parts
    const dueAt = clock.now() + delayMs
    // A later report must not put off what is due.
    if (this.isWriting || this.isClosed || dueAt >= this.dueAt) return
    this.timer?.close()
    this.dueAt = dueAt
    this.timer = clock.schedule(dueAt, () => {
      this.dueAt = Infinity
      runDetached(() => this.writeAll(), this.parts.logger, 'report-crashes')
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
    const { view, writer, logger } = this.parts
    for (const quarantine of [...this.quarantines.values()]) {
      const known = view.quarantines.get(quarantine.digest)
      const written = await writer.putQuarantine(quarantine, known?.revision ?? 0)
      // Another VM came first.
      if (written.ok || written.val.code === ErrorCode.Conflict) this.quarantines.delete(quarantine.digest)
      else {
        logError(logger, LogLevel.Warn, written.val)
        return false
      }
    }
    return true
  }

  private async writeReports (): Promise<boolean> {
    const { writer, logger, node, clock } = this.parts
    if (!this.isChanged) return true
    this.mergeFormer()
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
    const { view, writer, logger } = this.parts
    for (const digest of [...this.releases]) {
      const known = view.quarantines.get(digest)
      const removed = known === undefined ? undefined : await writer.remove(known)
      if (removed !== undefined && !removed.ok && removed.val.code !== ErrorCode.Conflict) {
        logError(logger, LogLevel.Warn, removed.val)
        return false
      }
      this.releases.delete(digest)
    }
    return true
  }

  /** What a former process of this VM reported goes on standing in the record. */
  private mergeFormer (): void {
    const { view, node } = this.parts
    if (this.hasFormer) return
    this.hasFormer = true
    const former = view.crashReports.get(node)?.value
    if (former === undefined) return
    const { expiresAt } = former
    this.crashes = [...former.crashes.map((report) => ({ report, expiresAt })), ...this.crashes].slice(-MAX_REPORTS)
    this.answers = [...former.answers.map((report) => ({ report, expiresAt })), ...this.answers].slice(-MAX_REPORTS)
  }
}
