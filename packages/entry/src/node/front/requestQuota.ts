/** What one request takes from the quota of its caller's client account. */
import { addRetryJitter } from '@umberspar/steering/common/entry/retry/retryDelay'
import type { QuotaToken } from '@umberspar/steering/common/quota/quotaTokenPool'
import { QuotaOutcome } from '../quota/accountQuota.js'
import { EndReason } from '../telemetry/requestOutcomes.js'
import type { BufferedRequest } from './bufferedRequest.js'
import type { EntryContext } from './entryContext.js'

/** The quota of one request. */
export class RequestQuota {
  /** Name of the caller's client account; undefined if it has none. */
  readonly accountName: string | undefined
  private token: QuotaToken | undefined

  /**
   * @param context the shared services of the process
   * @param request the request
   */
  constructor (private readonly context: EntryContext, private readonly request: BufferedRequest) {
    this.accountName = context.accessController.decide(request.route, request.keyDigest).account?.name
  }

  /**
   * Takes the request from the quota. Called once per request: retries don't count, and a relayed request was
   * counted where it came in.
   * @param onTaken called once, when the request may be sent
   * @param onRefused called instead with the reason and the delay before the caller's retry, in milliseconds
   */
  take (onTaken: () => void, onRefused: (reason: EndReason, retryAfterMs: number) => void): void {
    const { route, keyDigest, relayOrigin } = this.request
    const { account } = this.context.accessController.decide(route, keyDigest)
    if (account === undefined || relayOrigin !== undefined) return onTaken()
    this.context.quotas.take(account, ({ outcome, token, waitMs }) => {
      this.token = token
      if (outcome === QuotaOutcome.Granted) onTaken()
      else onRefused(outcome === QuotaOutcome.Exhausted ? EndReason.QuotaExhausted : EndReason.QuotaUnknown, addRetryJitter(waitMs, this.context.random))
    })
  }

  /** Returns what was taken, as the request has certainly not run. */
  return (): void {
    const { token, accountName } = this
    this.token = undefined
    if (token !== undefined && accountName !== undefined) this.context.quotas.return(accountName, token)
  }
}
