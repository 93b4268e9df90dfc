/**
 * Checks the retry budget that all entry VMs share: how many arrivals at workers beyond the first
 * of each request a service gets in a sliding window.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** The configured retry budget. */
export interface RetryBudgetLimit {
  /** Retries per request. */
  readonly ratio: number
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number
  /** Retries beyond the ratio that all entry VMs together may send in a window. */
  readonly slack: number
}

interface ServiceTraffic {
  requestTimes: Instant[]
  retryTimes: Instant[]
}

/** Checks one run. */
export class RetryBudgetChecker {
  private readonly trafficByService = new Map<string, ServiceTraffic>()
  private readonly arrivedRequests = new Set<string>()

  /** @param limit the configured budget */
  constructor (private readonly limit: RetryBudgetLimit) {}

  /** Records a request that a caller sends. */
  recordRequest (service: string, at: Instant): void {
    this.getTraffic(service).requestTimes.push(at)
  }

  /**
   * Records the arrival of a request at a worker, whether it runs or is refused.
   * @returns what breaks the budget; undefined if nothing does
   */
  checkArrival (service: string, requestId: string, at: Instant): string | undefined {
    if (!this.arrivedRequests.has(requestId)) {
      this.arrivedRequests.add(requestId)
      return undefined
    }
    const traffic = this.getTraffic(service)
    const { ratio, windowMs, slack } = this.limit
    traffic.requestTimes = traffic.requestTimes.filter((time) => time > at - 2 * windowMs)
    traffic.retryTimes = [...traffic.retryTimes.filter((time) => time > at - windowMs), at]
    // Retries may arrive after the requests that earned them: the window before and the one in between count as well.
    const requests = Math.max(...[0, windowMs / 2, windowMs].map((offsetMs) => traffic.requestTimes.filter((time) => time > at - windowMs - offsetMs && time <= at - offsetMs).length))
    const allowed = ratio * requests + slack
    return traffic.retryTimes.length > allowed ? `${traffic.retryTimes.length} retries in ${windowMs} ms for ${requests} requests, limit ${allowed}` : undefined
  }

  private getTraffic (service: string): ServiceTraffic {
    let traffic = this.trafficByService.get(service)
    if (traffic === undefined) {
      traffic = { requestTimes: [], retryTimes: [] }
      this.trafficByService.set(service, traffic)
    }
    return traffic
  }
}
