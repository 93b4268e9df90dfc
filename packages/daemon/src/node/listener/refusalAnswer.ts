/** Answers requests that the gate refused. */
import { PROBLEM_MEDIA_TYPE } from '@umberspar/steering/common/request/requestProblem'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { type ServerResponse, STATUS_CODES } from 'node:http'
import type { GateRefusal } from './requestGate.js'

/** Written to a connection that asks for a tunnel. */
export const CONNECT_REFUSAL = 'HTTP/1.1 405 Method Not Allowed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/**
 * Answers with a problem document and closes the connection: what follows on it
 * can't be told from the refused request's own body.
 * @param response of the refused request
 * @param refusal status and reason
 */
export function answerRefusal (response: ServerResponse, refusal: GateRefusal): void {
  const { status, detail } = refusal
  const body = JSON.stringify({ type: 'about:blank', title: STATUS_CODES[status], status, detail, step: 'accept-request', peer: 'local', outcome: Outcome.NotRun })
  response.writeHead(status, { 'Content-Type': PROBLEM_MEDIA_TYPE, 'Content-Length': Buffer.byteLength(body), Connection: 'close' })
  response.end(body)
}
