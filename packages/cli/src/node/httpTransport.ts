/** Makes HTTP calls to daemons with undici, and classifies each failure by whether the call may have had an effect. */
import { Agent, request } from 'undici'
import type { IClock } from '@umberspar/base/common/clock'
import { hasPassed } from '@umberspar/base/common/deadline'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { IClosable } from '@umberspar/base/common/closing'
import { ErrorCode } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import { OperatorError } from '../common/operatorError.js'
import { decodeProblem } from '../common/operatorMessages.js'
import type { OperatorProblem } from '../common/operatorMessages.js'
import type { ClientTls } from './clientTls.js'

/** Whether a call is safe to repeat. */
export enum CallKind {
  Read = 'read',
  /** May change the configuration, so it must not be repeated blindly. */
  Write = 'write'
}

/** A call to a daemon. */
export interface HttpCall {
  readonly kind: CallKind
  /** Names the call in errors, for example `read-configuration`. */
  readonly step: string
  /** `host:port` */
  readonly peer: string
  /** Path and query, beginning with `/`. */
  readonly path: string
  /** Sent as JSON; a call with a body is a POST. */
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  readonly deadline: Deadline
}

/** How long a TCP connection may take before the next daemon is tried. */
const CONNECT_TIMEOUT_MS = 3000
/** Larger responses are refused, so that a misbehaving peer can't exhaust the memory. */
const MAX_RESPONSE_BYTES = 256 * 1024 * 1024
const FIRST_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500

/** Codes of errors that occur before any byte of the request can have been sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT',
  // The daemon's certificate was not accepted, or the daemon does not use TLS.
  'DEPTH_ZERO_SELF_SIGNED_CERT', 'SELF_SIGNED_CERT_IN_CHAIN', 'UNABLE_TO_VERIFY_LEAF_SIGNATURE', 'UNABLE_TO_GET_ISSUER_CERT_LOCALLY',
  'CERT_HAS_EXPIRED', 'CERT_SIGNATURE_FAILURE', 'ERR_TLS_CERT_ALTNAME_INVALID', 'ERR_SSL_WRONG_VERSION_NUMBER'
])

const CODE_BY_STATUS: ReadonlyMap<number, ErrorCode> = new Map([
  [400, ErrorCode.Invalid],
  [401, ErrorCode.Refused],
  [403, ErrorCode.Refused],
  [404, ErrorCode.NotFound],
  [409, ErrorCode.Conflict],
  [422, ErrorCode.Invalid],
  [429, ErrorCode.Unavailable]
])

/** The error code for a lost response. A read can be repeated; for a write, the effect must be determined first. */
const LOST_RESPONSE_CODES: Readonly<Record<CallKind, ErrorCode>> = {
  [CallKind.Read]: ErrorCode.Unavailable,
  [CallKind.Write]: ErrorCode.EffectUnknown
}

/** The error code for a call that timed out after it was handed to the socket. */
const TIMEOUT_CODES: Readonly<Record<CallKind, ErrorCode>> = {
  [CallKind.Read]: ErrorCode.DeadlinePassed,
  [CallKind.Write]: ErrorCode.EffectUnknown
}

function getErrorCode (failure: unknown): string {
  if (!(failure instanceof Error)) return ''
  // A connection to a host name with several addresses fails with one error for each address.
  const inner: unknown = failure instanceof AggregateError ? failure.errors[0] : failure
  return inner instanceof Error && 'code' in inner ? String(inner.code) : ''
}

function classifyStatus (kind: CallKind, status: number, problem: OperatorProblem | undefined): ErrorCode {
  const mappedCode = CODE_BY_STATUS.get(status)
  if (mappedCode !== undefined) return mappedCode
  if (status < FIRST_SERVER_ERROR_STATUS) return ErrorCode.Refused
  // A 5xx status alone does not rule out that a write took effect; only an explicit `not-run` does.
  return problem?.outcome === 'not-run' ? ErrorCode.Unavailable : LOST_RESPONSE_CODES[kind]
}

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Makes HTTP calls and owns the connections to the daemons. */
export class HttpTransport implements IClosable {
  private readonly agent: Agent
  private readonly scheme: string

  /**
   * @param clock the source of time
   * @param tls CA and client certificate; plain text if omitted
   */
  constructor (
    private readonly clock: IClock,
    tls?: ClientTls
  ) {
    this.agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS, ...tls }, maxResponseSize: MAX_RESPONSE_BYTES })
    this.scheme = tls === undefined ? 'http' : 'https'
  }

  /**
   * @param call the call to make
   * @param decode returns undefined if expected fields are missing
   * @returns the decoded response. After the error `Unavailable` the call had no effect, after `EffectUnknown` it may have had one
   */
  async call<T> (call: HttpCall, decode: (value: unknown) => T | undefined): Promise<Result<T, OperatorError>> {
    if (hasPassed(call.deadline, this.clock.now())) {
      return Err(new OperatorError({ code: ErrorCode.DeadlinePassed, step: call.step, peer: call.peer, message: 'the deadline passed before the request was sent' }))
    }
    const abortController = new AbortController()
    const timer = this.clock.schedule(call.deadline, () => abortController.abort())
    try {
      const { status, text } = await this.send(call, abortController.signal)
      return this.decodeResponse(call, status, text, decode)
    } catch (failure) {
      return Err(this.classifyFailure(call, failure, abortController.signal.aborted))
    } finally {
      timer.close()
    }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async send (call: HttpCall, signal: AbortSignal): Promise<{ status: number, text: string }> {
    const hasBody = call.body !== undefined
    const response = await request(`${this.scheme}://${call.peer}${call.path}`, {
      dispatcher: this.agent,
      method: hasBody ? 'POST' : 'GET',
      headers: { accept: 'application/json', ...(hasBody ? { 'content-type': 'application/json' } : {}), ...call.headers },
      body: hasBody ? JSON.stringify(call.body) : null,
      signal
    })
    return { status: response.statusCode, text: await response.body.text() }
  }

  private decodeResponse<T> (call: HttpCall, status: number, text: string, decode: (value: unknown) => T | undefined): Result<T, OperatorError> {
    const { step, peer } = call
    const value = parseBody(text)
    if (status >= FIRST_ERROR_STATUS) {
      const problem = decodeProblem(value)
      const code = classifyStatus(call.kind, status, problem)
      const reason = [problem?.title, problem?.detail].filter((part) => part !== undefined && part !== '').join(': ')
      const message = reason === '' ? `the daemon responded with status ${status}` : reason
      return Err(new OperatorError({ code, step, peer, message }, problem))
    }
    const decoded = decode(value)
    if (decoded !== undefined) return Ok(decoded)
    const code = call.kind === CallKind.Write ? ErrorCode.EffectUnknown : ErrorCode.Internal
    return Err(new OperatorError({ code, step, peer, message: 'the response lacks fields that this client needs' }))
  }

  private classifyFailure (call: HttpCall, failure: unknown, isTimedOut: boolean): OperatorError {
    const { step, peer, kind } = call
    if (isTimedOut) {
      return new OperatorError({ code: TIMEOUT_CODES[kind], step, peer, message: 'no response before the deadline', cause: failure })
    }
    const errorCode = getErrorCode(failure)
    const reason = failure instanceof Error && failure.message !== '' ? failure.message : errorCode
    const code = NOT_SENT_CODES.has(errorCode) ? ErrorCode.Unavailable : LOST_RESPONSE_CODES[kind]
    return new OperatorError({ code, step, peer, message: reason, cause: failure })
  }
}
