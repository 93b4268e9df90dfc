/**
 * Hands on what other nodes' probes found. A node speaks to a few neighbours
 * only, so that word of a worker that drains must pass through others. What has
 * not changed is handed on now and then, which keeps digests small.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'

/** A report older than this has reached everybody, or is of no use any more. */
const RELAY_AGE_MS = 5000
/** A change is in every digest for so long; by then it has reached all of a small fleet many times. */
const NEWS_SPAN_MS = 1500
/** What did not change is handed on again after so long. */
const REFRESH_SPAN_MS = 2000
/** A difference in load that counts as a change. */
const LOAD_CHANGE = 0.2
/** As long as a round of a small fleet. */
const ROUND_SPAN_MS = 500
/** Reports in one digest. */
const RELAY_LIMIT = 128

interface KnownReport {
  readonly report: WorkerReport
  /** When it last changed in a way that matters. */
  readonly changedAt: Instant
  /** When an unchanged report was last handed on. */
  refreshedAt: Instant
}

function isNews (known: WorkerReport, offered: WorkerReport): boolean {
  const isSame = known.isDraining === offered.isDraining && known.isHealthy === offered.isHealthy
  return !isSame || Math.abs(known.utilization - offered.utilization) > LOAD_CHANGE
}

function compareUrgency (left: WorkerReport, right: WorkerReport): number {
  if (left.isDraining !== right.isDraining) return left.isDraining ? -1 : 1
  return right.measuredAt - left.measuredAt
}

/** The newest report of each worker. */
export class WorkerReportRelay {
  private readonly newest = new Map<string, KnownReport>()

  constructor (private readonly clock: IClock) {}

  /**
   * @param reports what a peer found or heard
   */
  observe (reports: readonly WorkerReport[]): void {
    const now = this.clock.now()
    for (const report of reports) {
      const known = this.newest.get(report.workerId)
      if (known !== undefined && known.report.measuredAt >= report.measuredAt) continue
      const hasChanged = known === undefined || isNews(known.report, report)
      this.newest.set(report.workerId, { report, changedAt: hasChanged ? now : known.changedAt, refreshedAt: known?.refreshedAt ?? now })
    }
  }

  /**
   * @param own what this node's probes found
   * @returns what is worth telling now, draining workers first, at most 128
   */
  list (own: readonly WorkerReport[]): WorkerReport[] {
    this.observe(own)
    const now = this.clock.now()
    const due = [...this.newest.values()].filter((known) => this.isDue(known, now)).map((known) => known.report)
    return due.length <= RELAY_LIMIT ? due : due.sort(compareUrgency).slice(0, RELAY_LIMIT)
  }

  /** A refresh lasts for a whole round, so that every neighbour of the round gets it. */
  private isDue (known: KnownReport, now: Instant): boolean {
    if (now - known.report.measuredAt > RELAY_AGE_MS) {
      this.newest.delete(known.report.workerId)
      return false
    }
    if (now - known.changedAt < NEWS_SPAN_MS) return true
    const silentMs = now - known.refreshedAt
    if (silentMs < REFRESH_SPAN_MS) return false
    if (silentMs > REFRESH_SPAN_MS + ROUND_SPAN_MS) known.refreshedAt = now
    return true
  }
}
