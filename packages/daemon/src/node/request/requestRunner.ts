/** Carries requests to upstreams: one `RequestRun` for each, over statistics that all requests of a service share. */
import type { Result } from '@umberspar/base/common/result'
import type { RequestBody } from './requestBody.js'
import type { RequestContext } from './requestContext.js'
import type { RequestFailure, RunningAnswer } from './requestEnds.js'
import { RequestRun, type RunParts } from './requestRun.js'
import { ServiceStatisticsTable } from './serviceStatistics.js'

/** Runs requests against the places of the plan. */
export class RequestRunner {
  private readonly statistics = new ServiceStatisticsTable()

  constructor (private readonly parts: RunParts) {}

  /**
   * @param context the request
   * @param headers its headers, without the hop-by-hop ones
   * @param body its body
   * @returns an upstream's answer, or whether the request may have run
   */
  run (context: RequestContext, headers: Record<string, string | string[]>, body: RequestBody): Promise<Result<RunningAnswer, RequestFailure>> {
    const statistics = this.statistics.get(context.service, context.settings.retryBudget)
    return new RequestRun(this.parts, { context, headers, body, statistics }).run()
  }
}
