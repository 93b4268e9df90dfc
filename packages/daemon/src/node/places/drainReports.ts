/**
 * What a lender passes on to borrowers: that a worker whose slots it lent drains,
 * or does no longer. Borrowers are in other regions or hold no part; probers do
 * not know of them, and only their lender does.
 */
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { Instant } from '@umberspar/base/common/clock'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'

/** A drain that ended is passed on for so long, to those who borrow again. */
const REMEMBERED_SPAN_MS = 60_000

interface KeptReport {
  report: WorkerReport
  forgetAt: Deadline
}

/** The newest report of each worker that drains or drained lately. */
export class DrainReports {
  private readonly kept = new Map<string, KeptReport>()

  /**
   * Takes in a report, first-hand or from a peer.
   * @param report what was found
   * @param now the present
   * @returns whether borrowers should hear of it at once
   */
  observe (report: WorkerReport, now: Instant): boolean {
    const known = this.kept.get(report.workerId)
    if (known === undefined && !report.isDraining) return false
    if (known !== undefined && report.measuredAt <= known.report.measuredAt) return false
    // Only a probe tells that a drain is over; a load from an answer does not.
    if (known !== undefined && !report.isDraining && !report.isProbed) return false
    const isNews = known?.report.isDraining !== report.isDraining
    this.kept.set(report.workerId, { report, forgetAt: createDeadline(now, REMEMBERED_SPAN_MS) })
    return isNews
  }

  /**
   * @param isLent whether the peer about to be spoken to borrows slots of the worker at an address
   * @param now the present
   * @returns what to tell it
   */
  listFor (isLent: (address: string) => boolean, now: Instant): WorkerReport[] {
    const reports: WorkerReport[] = []
    for (const [address, { report, forgetAt }] of this.kept) {
      if (hasPassed(forgetAt, now)) this.kept.delete(address)
      else if (isLent(address)) reports.push(report)
    }
    return reports
  }
}
