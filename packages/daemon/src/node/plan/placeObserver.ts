/** Finds failed and overloaded places from what probes found, this node's and its peers'. */
import type { Instant } from '@umberspar/base/common/clock'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { PlaceObservation } from '@umberspar/steering/common/plan/plannerState'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'

/** A place has failed once every worker was out for so long; one lost probe is not enough. */
const FAILED_SPAN_MS = 1500
/** Reports older than this say nothing. */
const REPORT_SPAN_MS = 5000

interface WorkerNews {
  readonly report: WorkerReport
  /** Since when it has taken no work; undefined if it takes some. */
  readonly outSince: Instant | undefined
}

/** Keeps the newest report of each worker. */
export class PlaceObserver {
  private readonly news = new Map<string, WorkerNews>()

  /**
   * @param reports reports whose worker ids are addresses
   */
  observe (reports: readonly WorkerReport[]): void {
    for (const report of reports) {
      const known = this.news.get(report.workerId)
      if (known !== undefined && known.report.measuredAt >= report.measuredAt) continue
      const isOut = !report.isHealthy || report.isDraining
      const outSince = isOut ? known?.outSince ?? report.measuredAt : undefined
      this.news.set(report.workerId, { report, outSince })
    }
  }

  /**
   * @param configuration places and workers
   * @param now the present
   * @returns every place as it is now
   */
  list (configuration: SteeringConfiguration, now: Instant): PlaceObservation[] {
    return Object.entries(configuration.services).flatMap(([service, { places }]) =>
      Object.entries(places).map(([failureDomain, { workers }]) => {
        const addresses = Object.values(workers).map(({ address }) => address)
        return { service, failureDomain, isFailed: this.hasFailed(addresses, now), utilization: this.computeUtilization(addresses, now) }
      }))
  }

  /** @param configuration whose workers are kept; all others are forgotten */
  update (configuration: SteeringConfiguration): void {
    const known = new Set(Object.values(configuration.services).flatMap(({ places }) =>
      Object.values(places).flatMap(({ workers }) => Object.values(workers).map(({ address }) => address))))
    for (const address of this.news.keys()) {
      if (!known.has(address)) this.news.delete(address)
    }
  }

  private hasFailed (addresses: readonly string[], now: Instant): boolean {
    if (addresses.length === 0) return false
    return addresses.every((address) => {
      const news = this.news.get(address)
      return news?.outSince !== undefined && now - news.outSince >= FAILED_SPAN_MS && now - news.report.measuredAt <= REPORT_SPAN_MS
    })
  }

  private computeUtilization (addresses: readonly string[], now: Instant): number | undefined {
    const fresh = addresses.flatMap((address) => this.news.get(address)?.report ?? []).filter((report) => now - report.measuredAt <= REPORT_SPAN_MS)
    if (fresh.length === 0) return undefined
    return fresh.reduce((sum, report) => sum + report.utilization, 0) / fresh.length
  }
}
