/** Sends the requests for tokens to other VMs over HTTP. */
import { Agent, request as sendRequest } from 'node:http'
import type { IClosable } from '@umberspar/base/common/closing'
import { splitAddress } from '../address.js'

/** A longer response is invalid, in characters. */
const MAX_RESPONSE_LENGTH = 65_536

/** A response to a request for tokens. */
export interface QuotaTransportResponse {
  readonly status: number
  readonly text: string
}

/** A request that was sent. */
export interface SentQuotaRequest {
  /** Resolved with undefined if the other VM can't be reached, ends the connection, or the request was cancelled. */
  readonly response: Promise<QuotaTransportResponse | undefined>
  /** Gives up the response; the connection can't be used again. */
  cancel(): void
}

/** Sends requests for tokens. */
export interface IQuotaTransport extends IClosable {
  /**
   * @param address `host:port` of the other VM's listener for entry VMs
   * @param path path and query
   */
  send(address: string, path: string): SentQuotaRequest
}

/** Sends requests for tokens on kept connections. */
export class HttpQuotaTransport implements IQuotaTransport {
  private readonly agent = new Agent({ keepAlive: true })

  send (address: string, path: string): SentQuotaRequest {
    const request = sendRequest({ ...splitAddress(address), path, method: 'POST', agent: this.agent, headers: { 'Content-Length': 0 } })
    const response = new Promise<QuotaTransportResponse | undefined>((resolve) => {
      request.on('response', (message) => {
        let text = ''
        message.setEncoding('utf8')
        message.on('data', (chunk: string) => {
          text += chunk
          if (text.length > MAX_RESPONSE_LENGTH) request.destroy()
        })
        message.on('end', () => { resolve({ status: message.statusCode ?? 0, text }) })
        message.on('error', () => { resolve(undefined) })
      })
      // Not logged: the caller skips an unresponsive owner and continues with the next one.
      request.on('error', () => { resolve(undefined) })
      request.on('close', () => { resolve(undefined) })
    })
    request.end()
    return { response, cancel: () => { request.destroy() } }
  }

  close (): void {
    this.agent.destroy()
  }
}
