/** Requests tokens from share owners. If a response is lost, its tokens are lost too, and never granted twice. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import { NoGrantReason } from './accountQuota.js'
import { formatQuotaRequest, parseGrant, type QuotaRequest } from './quotaMessages.js'
import { HttpQuotaTransport, type IQuotaTransport } from './quotaTransport.js'

/** The timeout in addition to the round trip. Owners respond from memory. */
const RESPONSE_MARGIN_MS = 150
const OK = 200

/** Requests the tokens of one process. */
export class QuotaClient implements IClosable {
  /**
   * @param clock for timeouts
   * @param transport sends the requests
   */
  constructor (private readonly clock: IClock, private readonly transport: IQuotaTransport = new HttpQuotaTransport()) {}

  /**
   * @param address `host:port` of the owner's listener for other entry VMs
   * @param quotaRequest the number of tokens, and of which share
   * @param roundTripMs the network round trip to the owner, in milliseconds
   * @returns the owner's grant, or why there is none
   */
  async ask (address: string, quotaRequest: QuotaRequest, roundTripMs: number): Promise<QuotaGrant | NoGrantReason> {
    const request = this.transport.send(address, formatQuotaRequest(quotaRequest))
    const timer = this.clock.schedule(this.clock.now() + roundTripMs + RESPONSE_MARGIN_MS, () => { request.cancel() })
    const response = await request.response
    timer.close()
    if (response === undefined) return NoGrantReason.Unresponsive
    return response.status === OK ? parseGrant(response.text) ?? NoGrantReason.Unresponsive : NoGrantReason.NotOwned
  }

  /** Closes all connections. */
  close (): void {
    this.transport.close()
  }
}
