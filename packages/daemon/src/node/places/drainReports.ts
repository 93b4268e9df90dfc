/**
 * Reports that a lender forwards to borrowers: that a worker whose slots it lent
 * has begun or stopped draining. Borrowers are in other regions or have no share
 * of the worker; its probers don't know them, only their lender does.
 */
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { Instant } from '@umberspar/base/common/clock'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'

/** The end of a drain is reported for this long, to peers that borrow again. */
const RETENTION_MS = 60_000

interface RetainedReport {
  report: WorkerReport
  expiresAt: Deadline
}

/** Keeps the newest report of each worker that is draining or was recently. */
export class DrainReports {
  private readonly retained = new Map<string, RetainedReport>()

  /**
   * Records a report of this node or of a peer.
   * @param report the report
   * @param now the current time
   * @returns whether borrowers should be told immediately
   */
  observe (report: WorkerReport, now: Instant): boolean {
    const previous = this.retained.get(report.workerId)
    if (previous === undefined && !report.isDraining) return false
    if (previous !== undefined && report.measuredAt <= previous.report.measuredAt) return false
    // Only a probe shows that a drain has ended; a load in an answer does not.
    if (previous !== undefined && !report.isDraining && !report.isProbed) return false
    const hasDrainChanged = previous?.report.isDraining !== report.isDraining
    this.retained.set(report.workerId, { report, expiresAt: createDeadline(now, RETENTION_MS) })
    return hasDrainChanged
  }

  /**
   * @param isLentToPeer whether the receiving peer borrows slots of the worker at an address
   * @param now the current time
   * @returns the reports to send to the peer
   */
  listFor (isLentToPeer: (address: string) => boolean, now: Instant): WorkerReport[] {
    const reports: WorkerReport[] = []
    for (const [address, { report, expiresAt: forgetAt }] of this.retained) {
      if (hasPassed(forgetAt, now)) this.retained.delete(address)
      else if (isLentToPeer(address)) reports.push(report)
    }
    return reports
  }
}
