/** What all requests of one service share at this entry VM: the retry budget and the observed latency. */
import { LatencyEstimate } from '@umberspar/steering/common/request/latencyEstimate'
import { RetryBudget } from '@umberspar/steering/common/request/retryBudget'

/** One service's budget and latency. */
export interface ServiceStatistics {
  readonly budget: RetryBudget
  readonly latency: LatencyEstimate
}

/** Statistics by service; they outlive changes of the configuration. */
export class ServiceStatisticsTable {
  private readonly byService = new Map<string, ServiceStatistics>()

  /**
   * @param service a service of the configuration
   * @param retryBudget its fraction of repetitions, as configured now
   * @returns its statistics
   */
  get (service: string, retryBudget: number): ServiceStatistics {
    const known = this.byService.get(service)
    if (known !== undefined) {
      known.budget.setFraction(retryBudget)
      return known
    }
    const created = { budget: new RetryBudget(retryBudget), latency: new LatencyEstimate() }
    this.byService.set(service, created)
    return created
  }
}
