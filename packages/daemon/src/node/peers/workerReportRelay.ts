/**
 * Hands on what other nodes' probes found. A node speaks to a few neighbours
 * only, so that word of a worker that drains must pass through others.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'

/** A report older than this has reached everybody, or is of no use any more. */
const RELAY_AGE_MS = 5000
/** Reports in one digest. */
const RELAY_LIMIT = 128

function compareUrgency (left: WorkerReport, right: WorkerReport): number {
  if (left.isDraining !== right.isDraining) return left.isDraining ? -1 : 1
  return right.measuredAt - left.measuredAt
}

/** The newest report of each worker. */
export class WorkerReportRelay {
  private readonly newest = new Map<string, WorkerReport>()

  constructor (private readonly clock: IClock) {}

  /**
   * @param reports what a peer found or heard
   */
  observe (reports: readonly WorkerReport[]): void {
    for (const report of reports) {
      const known = this.newest.get(report.workerId)
      if (known === undefined || known.measuredAt < report.measuredAt) this.newest.set(report.workerId, report)
    }
  }

  /**
   * @param own what this node's probes found
   * @returns own and relayed reports that are still of use, draining workers first, at most 128
   */
  list (own: readonly WorkerReport[]): WorkerReport[] {
    this.observe(own)
    this.removeOld(this.clock.now())
    const all = [...this.newest.values()]
    return all.length <= RELAY_LIMIT ? all : all.sort(compareUrgency).slice(0, RELAY_LIMIT)
  }

  private removeOld (now: Instant): void {
    for (const [workerId, report] of this.newest) {
      if (now - report.measuredAt > RELAY_AGE_MS) this.newest.delete(workerId)
    }
  }
}
