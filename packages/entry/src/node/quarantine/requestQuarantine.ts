/**
 * Keeps requests that crash every worker that runs them from further workers: notes
 * workers that crash, shares what it notes with all entry VMs through the store, and
 * blocks what is quarantined.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { ViewChange, type ViewEvent } from '@umberspar/steering/common/entry/viewEvent'
import type { UpstreamEntry } from '@umberspar/steering/common/entry/records'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'
import type { CrashReport } from '@umberspar/steering/common/quarantine/crashReport'
import { ReportState, SuspectTable, toDeadline } from '@umberspar/steering/common/quarantine/suspectTable'
import type { UpstreamPools } from '../upstream/upstreamPools.js'
import type { RequestDigest } from '../front/requestDigest.js'
import { CrashReporter } from './crashReporter.js'
import { RecordSweeper } from './recordSweeper.js'

/** How long a crash speaks against the requests that the worker held. */
const REPORT_SPAN_MS = 120_000
/** An answer refutes fewer crashes than these without being reported: they are far from a quarantine. */
const MIN_REPORTED_WORKERS = 2
/** How often expired reports are dropped. */
const CLEAN_UP_INTERVAL_MS = 10_000
/** Blocked by reports that are still being checked: by then it is known. */
const PENDING_RETRY_MS = 1_000
/** A worker that takes no connection within this time counts as crashed. */
const CHECK_TIMEOUT_MS = 500

/** What it is built from. */
export interface QuarantineParts {
  readonly clock: IClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly writer: IRecordWriter
  /** This VM's name. */
  readonly node: string
  /** How long a request stays quarantined, in milliseconds. */
  readonly quarantineSpanMs: number
  readonly pools: UpstreamPools
}

/** A request that was sent to a worker that broke off. */
export interface BrokenOffer {
  readonly digest: string
  readonly service: string
  readonly worker: UpstreamEntry
  /** From `getNextRound`, when the request was sent. */
  readonly round: number
}

/** The quarantine as one entry VM keeps it. */
export class RequestQuarantine implements IClosable {
  private readonly table = new SuspectTable()
  private readonly reporter: CrashReporter
  private readonly sweeper: RecordSweeper
  private readonly checks = new Map<string, Array<(isListening: boolean) => void>>()
  private timer: ITimer | undefined
  private isClosed = false

  /** @param parts what it is built from */
  constructor (private readonly parts: QuarantineParts) {
    this.reporter = new CrashReporter({ ...parts, reportSpanMs: REPORT_SPAN_MS })
    this.sweeper = new RecordSweeper(parts)
  }

  /**
   * @param digest recognizes the request
   * @returns how long it must not be sent, in milliseconds; 0 if it may be
   */
  getBlockedMs (digest: RequestDigest): number {
    if (this.table.isEmpty) return 0
    const now = this.parts.clock.now()
    const until = this.table.getBlockedUntil(digest.read(), now)
    return until === undefined ? 0 : Math.max(PENDING_RETRY_MS, until - now)
  }

  /** @returns the round of a crash under a request that is sent now */
  getNextRound (digest: RequestDigest): number {
    return this.table.isEmpty ? 1 : this.table.getNextRound(digest.read(), this.parts.clock.now())
  }

  /** Notes that a worker broke off; whether it crashed is found out by connecting to it once more. */
  handleBreak (offer: BrokenOffer): void {
    const { clock } = this.parts
    const { digest, worker, round } = offer
    const report: CrashReport = { digest, workerId: getWorkerLife(worker), round }
    this.putCrash(report, ReportState.Pending, clock.now())
    // Connections that end with this process say nothing of workers.
    if (this.isClosed) return
    this.checkWorker(worker, (isListening) => {
      if (this.isClosed) return
      if (isListening) this.table.removeCrash(digest, report.workerId)
      else this.confirmCrash(report, offer.service)
    })
  }

  /** Notes that a worker answered a request. */
  handleAnswer (digest: RequestDigest): void {
    if (this.table.isEmpty) return
    const { clock } = this.parts
    const text = digest.read()
    const now = clock.now()
    const workerIds = this.table.listWorkers(text, now)
    if (workerIds.length === 0) return
    this.table.putAnswer(text, workerIds, now, createDeadline(now, REPORT_SPAN_MS))
    this.table.removeQuarantine(text)
    if (workerIds.length >= MIN_REPORTED_WORKERS) this.reporter.addAnswer({ digest: text, workerIds })
  }

  /** Takes over a change of the records. */
  handleChange ({ change, subject }: ViewEvent): void {
    if (change === ViewChange.CrashesReported) this.applyReports(subject)
    if (change === ViewChange.RequestQuarantined) this.applyQuarantine(subject)
    if (change === ViewChange.RequestReleased) this.table.removeQuarantine(subject)
  }

  /** @returns figures for the gauges */
  readCounts (): { readonly quarantined: number, readonly suspects: number } {
    return { quarantined: this.table.countQuarantined(this.parts.clock.now()), suspects: this.table.countSuspects() }
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.reporter.close()
    this.sweeper.close()
  }

  private checkWorker (worker: UpstreamEntry, onResult: (isListening: boolean) => void): void {
    const key = getWorkerLife(worker)
    const waiting = this.checks.get(key)
    if (waiting !== undefined) {
      waiting.push(onResult)
      return
    }
    const listeners = [onResult]
    this.checks.set(key, listeners)
    const settle = (isListening: boolean): void => {
      this.checks.delete(key)
      for (const listener of listeners) listener(isListening)
    }
    const { view, pools, clock } = this.parts
    // A worker that is gone has no pool any more, and needs none.
    if (view.readRoster(worker.service).has(worker.id)) pools.read(worker).probe(createDeadline(clock.now(), CHECK_TIMEOUT_MS), settle)
    else settle(false)
  }

  private confirmCrash (report: CrashReport, service: string): void {
    const now = this.parts.clock.now()
    this.putCrash(report, ReportState.Confirmed, now)
    this.reporter.addCrash(report)
    this.checkEvidence(report.digest, now, service)
  }

  private putCrash (report: CrashReport, state: ReportState, now: Instant): void {
    this.table.putCrash(report, state, now, createDeadline(now, REPORT_SPAN_MS))
    this.scheduleCleanUp()
  }

  private applyReports (node: string): void {
    const { view, clock } = this.parts
    const reports = view.crashReports.get(node)
    if (reports === undefined) return
    const now = clock.now()
    const expiresAt = toDeadline(reports.value.expiresAt, clock.getWallTime(), now, REPORT_SPAN_MS)
    for (const { digest, workerIds } of reports.value.answers) {
      this.table.putAnswer(digest, workerIds, now, expiresAt)
      this.releaseIfRefuted(digest)
    }
    const added = reports.value.crashes.filter((report) => this.table.putCrash(report, ReportState.Confirmed, now, expiresAt))
    for (const { digest } of added) this.checkEvidence(digest, now)
    this.scheduleCleanUp()
    this.sweeper.schedule()
  }

  /** @param service undefined if only others saw the crashes: then one of them writes the record */
  private checkEvidence (digest: string, now: Instant, service?: string): void {
    const { clock, quarantineSpanMs } = this.parts
    if (!this.table.isEvident(digest, now)) return
    const isNew = this.table.getBlockedUntil(digest, now) === now
    if (!isNew) return
    this.table.putQuarantine(digest, createDeadline(now, quarantineSpanMs), now)
    const workerIds = this.table.listWorkers(digest, now)
    this.logQuarantine(digest, 'crash-reports', workerIds)
    if (service === undefined) return
    this.reporter.putQuarantine({ digest, service, workerIds, expiresAt: clock.getWallTime() + quarantineSpanMs })
  }

  private applyQuarantine (digest: string): void {
    const { view, clock, quarantineSpanMs } = this.parts
    const quarantine = view.quarantines.get(digest)
    if (quarantine === undefined) return
    const now = clock.now()
    const isNew = this.table.getBlockedUntil(digest, now) === undefined
    // An answer may have been reported before the quarantine that it refutes.
    if (this.table.isRefuted(digest, quarantine.value.workerIds)) return
    this.table.putQuarantine(digest, toDeadline(quarantine.value.expiresAt, clock.getWallTime(), now, quarantineSpanMs), now)
    if (isNew) this.logQuarantine(digest, 'record', quarantine.value.workerIds)
    this.scheduleCleanUp()
    this.sweeper.schedule()
  }

  private releaseIfRefuted (digest: string): void {
    const quarantine = this.parts.view.quarantines.get(digest)
    if (quarantine !== undefined && this.table.isRefuted(digest, quarantine.value.workerIds)) this.table.removeQuarantine(digest)
  }

  private logQuarantine (digest: string, source: string, workerIds: readonly string[]): void {
    this.parts.logger.log(LogLevel.Warn, { step: 'quarantine-request', digest, source, workers: workerIds.join(' ') }, 'workers crash under a request; it is not sent any more')
  }

  private scheduleCleanUp (): void {
    const { clock } = this.parts
    if (this.isClosed) return
    this.timer ??= clock.schedule(clock.now() + CLEAN_UP_INTERVAL_MS, () => {
      this.timer = undefined
      this.table.removeExpired(clock.now())
      if (!this.table.isEmpty) this.scheduleCleanUp()
    })
  }
}

/** @returns what names one start of a worker, also where workers start again under their id */
function getWorkerLife ({ id, startedAt }: UpstreamEntry): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`
}
