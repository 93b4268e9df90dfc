/**
 * What is running and waiting at one worker: the reports that this VM got with responses, those that
 * other VMs passed on, and the requests that this VM has sent since.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** The load that a worker reported with a response. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How many times longer than usual work takes on the worker's machine at this moment; undefined if the worker doesn't say. */
  readonly pace?: number
}

/** How long a load report is used as it is; a request or two later the queue has changed. */
export const REPORT_VALIDITY_MS = 1_000
/** How long a reported pace is used; slow phases of a machine are hardly longer than half a second. */
export const PACE_VALIDITY_MS = 400
/** Bounds of the pace that decisions rely on; beyond these a report says more about an outlier than about the next request. */
export const MIN_PACE = 0.5
export const MAX_PACE = 4
/** Weight of the newest report in the mean load, which is used once the last report is too old. */
const LOAD_SMOOTHING_FACTOR = 0.3
/**
 * The mean load halves in this time without a report. In a large fleet a VM gets a report from
 * a worker every few seconds only; if it considered the worker idle in between, it would send
 * to full workers again and again.
 */
const LOAD_HALF_LIFE_MS = 4_000

interface DatedReport extends LoadReport {
  readonly at: Instant
}

/**
 * @param report a report; undefined if there is none
 * @returns the pace within its bounds; 1 if it isn't known
 */
export function getBoundedPace (report: LoadReport | undefined): number {
  return Math.min(MAX_PACE, Math.max(MIN_PACE, report?.pace ?? 1))
}

/** The load of one worker. */
export class WorkerLoad {
  private ownReport: DatedReport | undefined
  /** The newest report that another VM passed on. It never changes the mean load, so it has no effect after its lifetime. */
  private sharedReport: DatedReport | undefined
  private meanLoad = 0
  /** When requests were sent since this VM's last report, within the time for which a report is used. */
  private readonly sendInstants: Instant[] = []

  /** @param now when a request is sent to the worker */
  recordSend (now: Instant): void {
    while (this.sendInstants.length > 0 && now - this.sendInstants[0]! > REPORT_VALIDITY_MS) this.sendInstants.shift()
    this.sendInstants.push(now)
  }

  /**
   * @param report the load reported with a response to this VM
   * @param now when the response arrived
   */
  recordOwn (report: LoadReport, now: Instant): void {
    this.meanLoad += LOAD_SMOOTHING_FACTOR * (report.running + report.waiting - this.meanLoad)
    this.ownReport = { ...report, at: now }
    this.sendInstants.length = 0
  }

  /**
   * @param report the load reported with a response to another VM
   * @param at when that response arrived, not in the future; a report older than the known one is ignored
   */
  recordShared (report: LoadReport, at: Instant): void {
    if (this.sharedReport === undefined || at > this.sharedReport.at) this.sharedReport = { ...report, at }
  }

  /**
   * @param ownCount requests of this VM that are in flight at the worker, the lower bound
   * @param now the current time
   * @returns the estimated number of requests of all VMs that the worker is running or has queued
   */
  count (ownCount: number, now: Instant): number {
    const report = this.findCurrent(now)
    if (report !== undefined) return Math.max(ownCount, report.running + report.waiting + this.countSentSince(report))
    if (this.ownReport === undefined) return ownCount
    const expiredMs = now - this.ownReport.at - REPORT_VALIDITY_MS
    return Math.max(ownCount, this.meanLoad * 2 ** (-expiredMs / LOAD_HALF_LIFE_MS))
  }

  /**
   * @param now the current time
   * @returns how many times longer than usual work takes at the worker; 1 if that isn't known
   */
  getPace (now: Instant): number {
    const report = this.findCurrent(now)
    return report !== undefined && now - report.at <= PACE_VALIDITY_MS ? getBoundedPace(report) : 1
  }

  /**
   * @param now the current time
   * @returns whether another VM has passed on a report that still counts, so that the queue is known well enough to balance by it
   */
  isShared (now: Instant): boolean {
    return this.sharedReport !== undefined && now - this.sharedReport.at <= REPORT_VALIDITY_MS
  }

  /**
   * @param now the current time
   * @returns the age of the newest report, in milliseconds; undefined if there is none
   */
  getReportAgeMs (now: Instant): number | undefined {
    const report = this.findNewest()
    return report === undefined ? undefined : now - report.at
  }

  private findNewest (): DatedReport | undefined {
    const { ownReport, sharedReport } = this
    if (ownReport === undefined || sharedReport === undefined) return ownReport ?? sharedReport
    return sharedReport.at > ownReport.at ? sharedReport : ownReport
  }

  private findCurrent (now: Instant): DatedReport | undefined {
    const report = this.findNewest()
    return report !== undefined && now - report.at <= REPORT_VALIDITY_MS ? report : undefined
  }

  private countSentSince (report: DatedReport): number {
    if (report === this.ownReport) return this.sendInstants.length
    let count = 0
    for (let index = this.sendInstants.length - 1; index >= 0 && this.sendInstants[index]! >= report.at; index--) count++
    return count
  }
}
