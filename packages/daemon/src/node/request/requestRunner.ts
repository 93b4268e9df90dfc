/** Sends requests to upstreams: one `RequestRun` each, with statistics shared by all requests of a service. */
import type { Result } from '@umberspar/base/common/result'
import type { RequestBody } from './requestBody.js'
import type { RequestContext } from './requestContext.js'
import type { RequestFailure, PendingResponse } from './requestResult.js'
import { RequestRun, type RequestRunDependencies } from './requestRun.js'
import { ServiceStatisticsTable } from './serviceStatistics.js'

/** Runs requests on the upstreams that the plan assigns. */
export class RequestRunner {
  private readonly statistics = new ServiceStatisticsTable()

  constructor (private readonly dependencies: RequestRunDependencies) {}

  /**
   * @param context the request
   * @param headers the request's headers without the hop-by-hop ones
   * @param body the request's body
   * @returns an upstream's response, or the failure with whether the request may have run
   */
  run (context: RequestContext, headers: Record<string, string | string[]>, body: RequestBody): Promise<Result<PendingResponse, RequestFailure>> {
    const statistics = this.statistics.get(context.service, context.settings.retryBudget)
    return new RequestRun(this.dependencies, { context, headers, body, statistics }).run()
  }
}
