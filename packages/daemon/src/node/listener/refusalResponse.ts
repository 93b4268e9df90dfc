/** Sends responses to requests that were refused before routing. */
import { PROBLEM_MEDIA_TYPE } from '@umberspar/steering/common/request/requestProblem'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { type ServerResponse, STATUS_CODES } from 'node:http'
import type { RequestRefusal } from './requestChecks.js'

/** Response to a CONNECT request. */
export const CONNECT_REFUSAL_RESPONSE = 'HTTP/1.1 405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/**
 * Sends a problem document and closes the connection, because what follows on it
 * can't be distinguished from the refused request's body.
 * @param response the response to write
 * @param refusal the status and the reason
 */
export function sendRefusal (response: ServerResponse, refusal: RequestRefusal): void {
  const { status, detail } = refusal
  const body = JSON.stringify({ type: 'about:blank', title: STATUS_CODES[status], status, detail, step: 'accept-request', peer: 'local', outcome: Outcome.NotRun })
  response.writeHead(status, { 'Content-Type': PROBLEM_MEDIA_TYPE, 'Content-Length': Buffer.byteLength(body), Connection: 'close' })
  response.end(body)
}
