/** State that all requests of one service share on this entry VM: the retry budget and the observed latency. */
import { LatencyEstimate } from '@umberspar/steering/common/request/latencyEstimate'
import { RetryBudget } from '@umberspar/steering/common/request/retryBudget'

/** Retry budget and latency of one service. */
export interface ServiceStatistics {
  readonly budget: RetryBudget
  readonly latency: LatencyEstimate
}

/** Statistics by service. They are kept across configuration changes. */
export class ServiceStatisticsTable {
  private readonly byService = new Map<string, ServiceStatistics>()

  /**
   * @param service the service's name
   * @param retryBudget the currently configured ratio of retries to first attempts
   * @returns the service's statistics, created at first use
   */
  get (service: string, retryBudget: number): ServiceStatistics {
    const existing = this.byService.get(service)
    if (existing !== undefined) {
      existing.budget.setTokensPerRequest(retryBudget)
      return existing
    }
    const created = { budget: new RetryBudget(retryBudget), latency: new LatencyEstimate() }
    this.byService.set(service, created)
    return created
  }
}
