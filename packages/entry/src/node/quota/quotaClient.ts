/** Requests tokens from share owners over HTTP. If a response is lost, its tokens are lost too, and never granted twice. */
import { Agent, request as sendRequest } from 'node:http'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import { splitAddress } from '../address.js'
import { NoGrantReason } from './accountQuota.js'
import { formatQuotaRequest, parseGrant, type QuotaRequest } from './quotaMessages.js'

/** The timeout in addition to the round trip. Owners respond from memory. */
const RESPONSE_MARGIN_MS = 150
/** Further requests to the same owner wait for a connection. */
const MAX_CONNECTIONS_PER_OWNER = 4
const OK = 200

/** Requests the tokens of one process. */
export class QuotaClient implements IClosable {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS_PER_OWNER })

  /** @param clock for timeouts */
  constructor (private readonly clock: IClock) {}

  /**
   * @param address `host:port` of the owner's listener for other entry VMs
   * @param quotaRequest the number of tokens, and of which share
   * @param roundTripMs the network round trip to the owner, in milliseconds
   * @returns the owner's grant, or why there is none
   */
  async ask (address: string, quotaRequest: QuotaRequest, roundTripMs: number): Promise<QuotaGrant | NoGrantReason> {
    return await new Promise((resolve) => {
      const request = sendRequest({ ...splitAddress(address), path: formatQuotaRequest(quotaRequest), method: 'POST', agent: this.agent, headers: { 'Content-Length': 0 } }, (response) => {
        let text = ''
        response.setEncoding('utf8')
        response.on('data', (chunk: string) => { text += chunk })
        response.on('end', () => { settle(response.statusCode === OK ? parseGrant(text) ?? NoGrantReason.Unresponsive : NoGrantReason.NotOwned) })
        response.on('error', () => { settle(NoGrantReason.Unresponsive) })
      })
      const timer = this.clock.schedule(this.clock.now() + roundTripMs + RESPONSE_MARGIN_MS, () => { request.destroy() })
      const settle = (grant: QuotaGrant | NoGrantReason): void => {
        timer.close()
        resolve(grant)
      }
      // Not logged: the caller skips an unresponsive owner and continues with the next one.
      request.on('error', () => { settle(NoGrantReason.Unresponsive) })
      request.on('close', () => { settle(NoGrantReason.Unresponsive) })
      request.end()
    })
  }

  /** Closes all connections. */
  close (): void {
    this.agent.destroy()
  }
}
