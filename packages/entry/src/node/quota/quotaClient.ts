/** Asks the keepers of shares over HTTP. A question without answer costs what was given, never more. */
import { Agent, request as sendRequest } from 'node:http'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBuckets'
import { splitAddress } from '../address.js'
import { NoGrant } from './accountQuota.js'
import { formatQuestion, parseGrant, type QuotaQuestion } from './quotaMessages.js'

/** Beyond the way there and back; a keeper answers from memory, in milliseconds. */
const ANSWER_SLACK_MS = 150
/** Questions to one keeper at once; the next ones wait for a connection. */
const MOST_CONNECTIONS = 4
const OK = 200

/** The questions of one process. */
export class QuotaClient implements IClosable {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MOST_CONNECTIONS })

  /** @param clock for time limits */
  constructor (private readonly clock: IClock) {}

  /**
   * @param address `host:port` of the keeper's listener for other entry VMs
   * @param question what is asked
   * @param roundTripMs the way there and back, in milliseconds
   * @returns what it gives, or why it gives nothing
   */
  async ask (address: string, question: QuotaQuestion, roundTripMs: number): Promise<QuotaGrant | NoGrant> {
    return await new Promise((resolve) => {
      const request = sendRequest({ ...splitAddress(address), path: formatQuestion(question), method: 'POST', agent: this.agent, headers: { 'Content-Length': 0 } }, (response) => {
        let text = ''
        response.setEncoding('utf8')
        response.on('data', (chunk: string) => { text += chunk })
        response.on('end', () => { settle(response.statusCode === OK ? parseGrant(text) ?? NoGrant.Silent : NoGrant.NotKept) })
        response.on('error', () => { settle(NoGrant.Silent) })
      })
      const timer = this.clock.schedule(this.clock.now() + roundTripMs + ANSWER_SLACK_MS, () => { request.destroy() })
      const settle = (grant: QuotaGrant | NoGrant): void => {
        timer.close()
        resolve(grant)
      }
      // The asker counts keepers that do not answer and goes on to the next.
      request.on('error', () => { settle(NoGrant.Silent) })
      request.on('close', () => { settle(NoGrant.Silent) })
      request.end()
    })
  }

  /** Asks no more. */
  close (): void {
    this.agent.destroy()
  }
}
