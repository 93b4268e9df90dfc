/** Detects failed places, and computes the utilization of places, from probe results of this node and its peers. */
import type { Instant } from '@umberspar/base/common/clock'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { PlaceObservation } from '@umberspar/steering/common/plan/plannerState'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'

/**
 * A place counts as failed once all its workers have been unavailable for this
 * long and in two probes. One lost probe followed by a late one only means a busy
 * machine, and moving traffic away for that would delay the next drain until the
 * traffic has moved back.
 */
const MIN_FAILED_MS = 1500
/** Reports of the same probe from two peers differ by their message delays and must not count as two probes. */
const MIN_PROBE_GAP_MS = 400
/** Older reports are ignored. */
const MAX_REPORT_AGE_MS = 5000

interface WorkerStatus {
  readonly report: WorkerReport
  /** When the worker stopped accepting work; undefined if it accepts work. */
  readonly unavailableSince: Instant | undefined
}

/** Keeps the newest report of each worker. */
export class PlaceObserver {
  private readonly statuses = new Map<string, WorkerStatus>()

  /**
   * @param reports worker reports, with addresses as worker ids
   */
  observe (reports: readonly WorkerReport[]): void {
    for (const report of reports) {
      const previous = this.statuses.get(report.workerId)
      if (previous !== undefined && previous.report.measuredAt >= report.measuredAt) continue
      const isUnavailable = !report.isHealthy || report.isDraining
      const unavailableSince = isUnavailable ? previous?.unavailableSince ?? report.measuredAt : undefined
      this.statuses.set(report.workerId, { report, unavailableSince })
    }
  }

  /**
   * @param configuration places and their workers
   * @param now the current time
   * @returns the current state of every place
   */
  listPlaces (configuration: SteeringConfiguration, now: Instant): PlaceObservation[] {
    return Object.entries(configuration.services).flatMap(([service, { places }]) =>
      Object.entries(places).map(([failureDomain, { workers }]) => {
        const addresses = Object.values(workers).map(({ address }) => address)
        return { service, failureDomain, isFailed: this.hasFailed(addresses, now), utilization: this.computeUtilization(addresses, now) }
      }))
  }

  /** @param configuration the configuration whose workers are kept; the reports of all others are removed */
  removeUnknownWorkers (configuration: SteeringConfiguration): void {
    const configuredAddresses = new Set(Object.values(configuration.services).flatMap(({ places }) =>
      Object.values(places).flatMap(({ workers }) => Object.values(workers).map(({ address }) => address))))
    for (const address of this.statuses.keys()) {
      if (!configuredAddresses.has(address)) this.statuses.delete(address)
    }
  }

  private hasFailed (addresses: readonly string[], now: Instant): boolean {
    if (addresses.length === 0) return false
    return addresses.every((address) => {
      const status = this.statuses.get(address)
      if (status?.unavailableSince === undefined || status.report.measuredAt < status.unavailableSince + MIN_PROBE_GAP_MS) return false
      return now - status.unavailableSince >= MIN_FAILED_MS && now - status.report.measuredAt <= MAX_REPORT_AGE_MS
    })
  }

  private computeUtilization (addresses: readonly string[], now: Instant): number | undefined {
    const freshReports = addresses.flatMap((address) => this.statuses.get(address)?.report ?? []).filter((report) => now - report.measuredAt <= MAX_REPORT_AGE_MS)
    if (freshReports.length === 0) return undefined
    return freshReports.reduce((sum, report) => sum + report.utilization, 0) / freshReports.length
  }
}
