/** Reads one answer to its end and says what the caller may conclude from it. */
import { createHash } from 'node:crypto'
import type { Dispatcher } from 'undici'
import { AnswerKind } from '../../common/history/historyEvent.js'
import { formatContentDigest, isItemWhole, parseItemSize } from '../standIns/upstream/itemBytes.js'

/** What one attempt gave. */
export interface AttemptResult {
  readonly answer: AnswerKind
  readonly status: number
  /** How long the answer asks the caller to wait before it asks again, in milliseconds; 0 if it does not say. */
  readonly retryAfterMs: number
  readonly detail: string
}

/** The request's id, on the way out and echoed by the worker. */
export const REQUEST_ID_HEADER = 'umberspar-request-id'
/** SHA-256 of the whole body, as RFC 9530 writes it. */
const DIGEST_HEADER = 'content-digest'
const PROBLEM_TYPE = 'application/problem+json'
const MS_PER_SECOND = 1000
const OK_STATUS = 200

/** The part of a problem body by which callers decide. */
interface ProblemBody {
  readonly title?: string
  readonly detail?: string
  readonly step?: string
  readonly peer?: string
  readonly outcome?: string
  readonly requestId?: string
}

const ANSWER_BY_OUTCOME: Readonly<Record<string, AnswerKind>> = {
  'not-run': AnswerKind.NotRun,
  done: AnswerKind.AlreadyRan,
  unknown: AnswerKind.Unknown
}

/** Errors of opening a connection: no byte of the request can have left. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

function getHeader (headers: Dispatcher.ResponseData['headers'], header: string): string | undefined {
  const value = headers[header]
  return Array.isArray(value) ? value[0] : value
}

function getErrorCode (thrown: unknown): string {
  if (typeof thrown === 'object' && thrown !== null && 'code' in thrown) return String(thrown.code)
  return 'no code'
}

/**
 * @param thrown what the HTTP client threw before or while an answer was read
 * @returns the attempt's result: not sent if the connection was never open, else failed
 */
export function classifyFailure (thrown: unknown): AttemptResult {
  const code = getErrorCode(thrown)
  const answer = NOT_SENT_CODES.has(code) ? AnswerKind.NotSent : AnswerKind.Failed
  const text = thrown instanceof Error ? thrown.message : String(thrown)
  return { answer, status: 0, retryAfterMs: 0, detail: `${code}: ${text}` }
}

/** What a caller sent, by which it knows its own answer. */
export interface SentRequest {
  readonly requestId: string
  readonly method: string
  /** The path below the service, with its query. */
  readonly path: string
  readonly body: Uint8Array
}

/** What a worker stand-in reports of a request that asked for no item. */
interface WorkerReport {
  readonly requestId?: string
  readonly path?: string
  readonly bytes?: number
  readonly sha256?: string
}

/** Why a well-formed answer is not the whole answer to this request. */
interface AnswerFault {
  readonly answer: AnswerKind.Truncated | AnswerKind.Mismatched
  readonly detail: string
}

/**
 * Reads an answer whole. An HTTP client already rejects a body that is short of
 * its Content-Length or of its last chunk; what is left to find here is an
 * answer that is well-formed and yet not the whole one, or not this request's.
 * @param response the answer as the HTTP client gives it
 * @param sent the request
 * @returns the attempt's result
 */
export async function readAnswer (response: Dispatcher.ResponseData, sent: SentRequest): Promise<AttemptResult> {
  const body = Buffer.from(await response.body.arrayBuffer())
  const status = response.statusCode
  const retryAfterMs = Number(getHeader(response.headers, 'retry-after') ?? 0) * MS_PER_SECOND || 0
  if (getHeader(response.headers, 'content-type')?.startsWith(PROBLEM_TYPE) === true) {
    return { ...classifyProblem(body, sent.requestId), status, retryAfterMs }
  }
  const fault = findEchoFault(response, sent) ?? (status === OK_STATUS ? findBodyFault(response, body, sent) : undefined)
  if (fault !== undefined) return { ...fault, status, retryAfterMs }
  return { answer: AnswerKind.Complete, status, retryAfterMs, detail: `status ${status}` }
}

function findEchoFault (response: Dispatcher.ResponseData, sent: SentRequest): AnswerFault | undefined {
  const echoed = getHeader(response.headers, REQUEST_ID_HEADER)
  if (echoed === sent.requestId) return undefined
  return { answer: AnswerKind.Mismatched, detail: `status ${response.statusCode}, id ${echoed ?? 'missing'}` }
}

/** Workers sign each good answer with its digest, so one without it lost something on the way. */
function findBodyFault (response: Dispatcher.ResponseData, body: Buffer, sent: SentRequest): AnswerFault | undefined {
  if (sent.method === 'HEAD') return undefined
  const digest = getHeader(response.headers, DIGEST_HEADER)
  if (digest !== formatContentDigest(body)) {
    return { answer: AnswerKind.Truncated, detail: `${body.length} bytes, digest ${digest === undefined ? 'missing' : 'differs'}` }
  }
  if (sent.method === 'GET' && parseItemSize(sent.path) !== undefined) {
    const isOwn = isItemWhole({ path: sent.path, requestId: sent.requestId, body })
    return isOwn ? undefined : { answer: AnswerKind.Mismatched, detail: 'the item of another request' }
  }
  return findReportFault(JSON.parse(body.toString('utf8')) as WorkerReport, sent)
}

function findReportFault (report: WorkerReport, sent: SentRequest): AnswerFault | undefined {
  if (report.requestId !== sent.requestId || report.path !== sent.path) {
    return { answer: AnswerKind.Mismatched, detail: `the report of ${report.requestId ?? '?'} ${report.path ?? '?'}` }
  }
  const sha256 = createHash('sha256').update(sent.body).digest('hex')
  if (report.bytes === sent.body.length && report.sha256 === sha256) return undefined
  return { answer: AnswerKind.Truncated, detail: `the worker got ${report.bytes ?? 0} of ${sent.body.length} bytes` }
}

function parseProblem (body: Buffer): ProblemBody | undefined {
  try {
    return JSON.parse(body.toString('utf8')) as ProblemBody
  } catch {
    return undefined
  }
}

function classifyProblem (body: Buffer, requestId: string): Pick<AttemptResult, 'answer' | 'detail'> {
  const problem = parseProblem(body)
  if (problem === undefined) return { answer: AnswerKind.Truncated, detail: 'the problem is no JSON' }
  const detail = `${problem.title ?? ''} (${problem.step ?? '?'} at ${problem.peer ?? '?'}): ${problem.detail ?? ''}`
  if (problem.requestId !== undefined && problem.requestId !== requestId) return { answer: AnswerKind.Mismatched, detail }
  return { answer: ANSWER_BY_OUTCOME[problem.outcome ?? ''] ?? AnswerKind.Failed, detail }
}
