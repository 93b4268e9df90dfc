/**
 * Protects workers from requests that crash every worker that runs them: records crashes,
 * shares the reports with all entry VMs through the store, and blocks quarantined requests.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { ViewChange, type ViewEvent } from '@umberspar/steering/common/entry/viewEvent'
import type { UpstreamRegistration } from '@umberspar/steering/common/entry/records'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'
import type { CrashReport } from '@umberspar/steering/common/quarantine/crashReport'
import { ReportState, SuspectTable, toDeadline } from '@umberspar/steering/common/quarantine/suspectTable'
import type { UpstreamPools } from '../upstream/upstreamPools.js'
import type { RequestDigest } from '../front/requestDigest.js'
import { CrashReporter } from './crashReporter.js'
import { RecordSweeper } from './recordSweeper.js'

/** How long a crash counts as evidence against the requests that were running on the worker. */
const REPORT_LIFETIME_MS = 120_000
/** An answer to a request with fewer crashed workers is not reported, as the request is far from a quarantine. */
const MIN_REPORTED_WORKERS = 2
const CLEAN_UP_INTERVAL_MS = 10_000
/** The retry delay of a request that is blocked by pending crash reports. By then the workers have been checked. */
const PENDING_RETRY_DELAY_MS = 1_000
/** A worker that accepts no connection within this time counts as crashed. */
const CHECK_TIMEOUT_MS = 500
/** Workers without failures that must not be reachable either before a failed connection counts as the VM's own. */
const COMPARED_WORKERS = 3

/** Dependencies of a {@link RequestQuarantine}. */
export interface RequestQuarantineDependencies {
  readonly clock: IClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly writer: IRecordWriter
  /** This VM's name. */
  readonly node: string
  /** How long a request stays quarantined, in milliseconds. */
  readonly quarantineDurationMs: number
  readonly pools: UpstreamPools
  /** Tells whether this VM reaches workers at all. */
  readonly links: WorkerLinks
}

/** An attempt that ended because the connection to the worker broke. */
export interface BrokenAttempt {
  readonly digest: string
  readonly service: string
  readonly worker: UpstreamRegistration
  /** The result of {@link RequestQuarantine.getNextRound} when the request was sent. */
  readonly round: number
}

/** The quarantine at one entry VM. */
export class RequestQuarantine implements IClosable {
  private readonly table = new SuspectTable()
  private readonly reporter: CrashReporter
  private readonly sweeper: RecordSweeper
  private readonly checks = new Map<string, Array<(isListening: boolean) => void>>()
  private timer: ITimer | undefined
  private isClosed = false

  constructor (private readonly dependencies: RequestQuarantineDependencies) {
    this.reporter = new CrashReporter({ ...dependencies, reportLifetimeMs: REPORT_LIFETIME_MS })
    this.sweeper = new RecordSweeper(dependencies)
  }

  /**
   * @param digest identifies the request
   * @returns how long the request is blocked, in milliseconds; 0 if it may be sent
   */
  getBlockedMs (digest: RequestDigest): number {
    if (this.table.isEmpty) return 0
    const now = this.dependencies.clock.now()
    const until = this.table.getBlockedUntil(digest.read(), now)
    return until === undefined ? 0 : Math.max(PENDING_RETRY_DELAY_MS, until - now)
  }

  /** @returns the round in which a crash counts if it is caused by a request that is sent now */
  getNextRound (digest: RequestDigest): number {
    return this.table.isEmpty ? 1 : this.table.getNextRound(digest.read(), this.dependencies.clock.now())
  }

  /** Handles a broken connection to a worker. A new connection determines whether the worker has crashed. */
  handleBrokenConnection (attempt: BrokenAttempt): void {
    const { clock } = this.dependencies
    const { digest, worker, round } = attempt
    const report: CrashReport = { digest, workerId: getWorkerInstanceId(worker), round }
    this.putCrash(report, ReportState.Pending, clock.now())
    // Connections that break because this process ends say nothing about workers.
    if (this.isClosed) return
    this.checkWorker(worker, (isListening) => {
      if (this.isClosed) return
      if (isListening) this.table.removeCrash(digest, report.workerId)
      else this.confirmCrash(report, attempt.service)
    })
  }

  /** Handles a response of a worker, which refutes the crash reports about the request. */
  handleResponse (digest: RequestDigest): void {
    if (this.table.isEmpty) return
    const { clock } = this.dependencies
    const text = digest.read()
    const now = clock.now()
    const workerIds = this.table.listWorkers(text, now)
    if (workerIds.length === 0) return
    this.table.putAnswer(text, workerIds, now, createDeadline(now, REPORT_LIFETIME_MS))
    this.table.removeQuarantine(text)
    if (workerIds.length >= MIN_REPORTED_WORKERS) this.reporter.addAnswer({ digest: text, workerIds })
  }

  /** Handles a change of the records. */
  handleChange ({ change, subject }: ViewEvent): void {
    if (change === ViewChange.CrashesReported) this.applyReports(subject)
    if (change === ViewChange.RequestQuarantined) this.applyQuarantine(subject)
    if (change === ViewChange.RequestReleased) this.table.removeQuarantine(subject)
    if (change === ViewChange.EraBegan) this.reporter.writeAgain()
  }

  /** @returns the numbers of quarantined and suspected requests, for metrics */
  readCounts (): { readonly quarantined: number, readonly suspects: number } {
    return { quarantined: this.table.countQuarantined(this.dependencies.clock.now()), suspects: this.table.countSuspects() }
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.reporter.close()
    this.sweeper.close()
  }

  private checkWorker (worker: UpstreamRegistration, onResult: (isListening: boolean) => void): void {
    const key = getWorkerInstanceId(worker)
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
    const { view, pools, clock, links } = this.dependencies
    // A removed worker has no pool any more and needs no check.
    if (!view.getPool(worker.service).has(worker.id)) return settle(false)
    const startedAt = clock.now()
    pools.getPool(worker).probe(createDeadline(startedAt, CHECK_TIMEOUT_MS), (isListening) => {
      if (isListening || links.hasContactSince(startedAt)) settle(isListening)
      else this.checkOthers(worker, (isAnyListening) => { settle(!isAnyListening) })
    })
  }

  /** A VM that reaches no other worker either has lost its links; the worker may well be running. */
  private checkOthers ({ id }: UpstreamRegistration, onResult: (isAnyListening: boolean) => void): void {
    const { view, pools, clock } = this.dependencies
    const now = clock.now()
    const others = [...view.listTrackers()]
      .filter(({ isDraining, registration }) => !isDraining && registration.id !== id)
      .sort((left, right) => left.getFailureRate(now) - right.getFailureRate(now))
      .slice(0, COMPARED_WORKERS)
    // A failure of the only worker can't be told from one of its link.
    if (others.length === 0) return onResult(false)
    let failed = 0
    let isSettled = false
    for (const { registration } of others) {
      pools.getPool(registration).probe(createDeadline(now, CHECK_TIMEOUT_MS), (isListening) => {
        if (!isListening) failed++
        if (isSettled || (!isListening && failed < others.length)) return
        isSettled = true
        onResult(isListening)
      })
    }
  }

  private confirmCrash (report: CrashReport, service: string): void {
    const now = this.dependencies.clock.now()
    this.putCrash(report, ReportState.Confirmed, now)
    this.reporter.addCrash(report)
    this.checkEvidence(report.digest, now, service)
  }

  private putCrash (report: CrashReport, state: ReportState, now: Instant): void {
    this.table.putCrash(report, state, now, createDeadline(now, REPORT_LIFETIME_MS))
    this.scheduleCleanUp()
  }

  private applyReports (node: string): void {
    const { view, clock } = this.dependencies
    const reports = view.crashReports.get(node)
    if (reports === undefined) return
    const now = clock.now()
    const expiresAt = toDeadline(reports.value.expiresAt, clock.getWallTime(), now, REPORT_LIFETIME_MS)
    for (const { digest, workerIds } of reports.value.answers) {
      this.table.putAnswer(digest, workerIds, now, expiresAt)
      this.releaseIfRefuted(digest)
    }
    const added = reports.value.crashes.filter((report) => this.table.putCrash(report, ReportState.Confirmed, now, expiresAt))
    for (const { digest } of added) this.checkEvidence(digest, now)
    this.scheduleCleanUp()
    this.sweeper.schedule()
  }

  /** @param service undefined if only other VMs reported the crashes, so that one of them writes the record */
  private checkEvidence (digest: string, now: Instant, service?: string): void {
    const { clock, quarantineDurationMs } = this.dependencies
    if (!this.table.hasConfirmedEvidence(digest, now)) return
    const isNew = this.table.getBlockedUntil(digest, now) === now
    if (!isNew) return
    this.table.putQuarantine(digest, createDeadline(now, quarantineDurationMs), now)
    const workerIds = this.table.listWorkers(digest, now)
    this.logQuarantine(digest, 'crash-reports', workerIds)
    if (service === undefined) return
    this.reporter.putQuarantine({ digest, service, workerIds, expiresAt: clock.getWallTime() + quarantineDurationMs })
  }

  private applyQuarantine (digest: string): void {
    const { view, clock, quarantineDurationMs } = this.dependencies
    const quarantine = view.quarantines.get(digest)
    if (quarantine === undefined) return
    const now = clock.now()
    const isNew = this.table.getBlockedUntil(digest, now) === undefined
    // An answer may have been reported before the quarantine that it refutes.
    if (this.table.isRefuted(digest, quarantine.value.workerIds)) return
    this.table.putQuarantine(digest, toDeadline(quarantine.value.expiresAt, clock.getWallTime(), now, quarantineDurationMs), now)
    if (isNew) this.logQuarantine(digest, 'record', quarantine.value.workerIds)
    this.scheduleCleanUp()
    this.sweeper.schedule()
  }

  private releaseIfRefuted (digest: string): void {
    const quarantine = this.dependencies.view.quarantines.get(digest)
    if (quarantine !== undefined && this.table.isRefuted(digest, quarantine.value.workerIds)) this.table.removeQuarantine(digest)
  }

  private logQuarantine (digest: string, source: string, workerIds: readonly string[]): void {
    this.dependencies.logger.log(LogLevel.Warn, { step: 'quarantine-request', digest, source, workers: workerIds.join(' ') }, 'quarantined a request that crashes workers')
  }

  private scheduleCleanUp (): void {
    const { clock } = this.dependencies
    if (this.isClosed) return
    this.timer ??= clock.schedule(clock.now() + CLEAN_UP_INTERVAL_MS, () => {
      this.timer = undefined
      this.table.removeExpired(clock.now())
      if (!this.table.isEmpty) this.scheduleCleanUp()
    })
  }
}

/** @returns an identifier of one start of a worker, also if workers keep their id when they restart */
function getWorkerInstanceId ({ id, startedAt }: UpstreamRegistration): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`
}
