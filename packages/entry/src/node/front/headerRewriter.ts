/** Reads the headers of callers' requests and rewrites headers in both directions. */
import type { IncomingMessage } from 'node:http'
import type { HeaderNames } from '@umberspar/steering/common/ports/callerProtocol'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { formatRelayOrigin, RELAY_FIELD, RELAY_PATH, type RelayOrigin } from '../../common/relayFields.js'
import { getHeader, removeConnectionFields } from '../upstream/rawHeaders.js'

const DIGITS = /^\d{1,9}$/
/** Fields of responses that are not passed on to callers. */
const RESERVED_RESPONSE_FIELDS: ReadonlySet<string> = new Set([RELAY_FIELD])

/** The caller of a request. */
export interface CallerIdentity {
  /** Whether this deployment identifies callers by keys, which are not forwarded to workers. */
  readonly hasKeys: boolean
  /** Name of the caller's client account, if it has one. */
  readonly account: string | undefined
}

/** Reads and rewrites headers by the deployment's header names. */
export class HeaderRewriter {
  /** Headers that this VM sets itself; those sent by callers must not reach a worker. */
  private readonly reservedFields: ReadonlySet<string>
  /** The reserved headers and the header with the caller's key, for deployments that use keys. */
  private readonly reservedFieldsAndKey: ReadonlySet<string>
  /** Headers that are forwarded even if the `Connection` header lists them as hop-by-hop. */
  private readonly preservedFields: ReadonlySet<string>
  private readonly affinityCookiePattern: RegExp

  /** @param names the deployment's header names */
  constructor (private readonly names: HeaderNames) {
    this.reservedFields = new Set([names.deadlineMs, names.expectedWorker, names.account, RELAY_FIELD])
    this.reservedFieldsAndKey = new Set([...this.reservedFields, 'authorization'])
    this.preservedFields = new Set([names.requestId, names.deadlineMs, names.seal, names.notRun])
    this.affinityCookiePattern = new RegExp(`(?:^|;)\\s*${names.affinityCookie}=([^;]*)`, 'i')
  }

  /** @returns the request id, which differs each time a caller sends a request */
  getRequestId (request: IncomingMessage): string | undefined {
    return getHeader(request.rawHeaders, this.names.requestId)
  }

  /** @returns how long the caller waits, in milliseconds; undefined if it doesn't state a valid time */
  getCallerTimeoutMs (request: IncomingMessage): number | undefined {
    const text = getHeader(request.rawHeaders, this.names.deadlineMs)
    return text !== undefined && DIGITS.test(text) ? Number(text) : undefined
  }

  /** @returns the affinity key of the request; undefined if the route isn't sticky or the cookie is missing */
  getAffinityKey (request: IncomingMessage, route: RoutePolicy): string | undefined {
    if (!route.isSticky) return undefined
    return this.affinityCookiePattern.exec(request.headers.cookie ?? '')?.[1]?.trim()
  }

  /**
   * @param request the request as received
   * @param bodyLength length of its body in bytes
   * @param worker id of the only worker that may run it
   * @param remainingMs how long the caller still waits, in milliseconds
   * @param caller the caller's identity
   * @returns the request head for the worker, including the final empty line
   */
  formatRequestHead (request: IncomingMessage, bodyLength: number, worker: string, remainingMs: number, { hasKeys, account }: CallerIdentity): string {
    const head = this.formatCommonHead(request, request.url ?? '', bodyLength, remainingMs, hasKeys ? this.reservedFieldsAndKey : this.reservedFields)
    const accountField = account === undefined ? '' : `${this.names.account}: ${account}\r\n`
    return `${head}${accountField}${this.names.expectedWorker}: ${worker}\r\n\r\n`
  }

  /**
   * @param request the request as received
   * @param bodyLength length of its body in bytes
   * @param remainingMs how long the caller still waits, in milliseconds
   * @param origin what the other entry VM must know about the request
   * @returns the request head for another entry VM, which checks the caller's key itself; including the final empty line
   */
  formatRelayHead (request: IncomingMessage, bodyLength: number, remainingMs: number, origin: RelayOrigin): string {
    const head = this.formatCommonHead(request, `${RELAY_PATH}${request.url}`, bodyLength, remainingMs, this.reservedFields)
    return `${head}${RELAY_FIELD}: ${formatRelayOrigin(origin)}\r\n\r\n`
  }

  private formatCommonHead (request: IncomingMessage, target: string, bodyLength: number, remainingMs: number, removedFields: ReadonlySet<string>): string {
    const fields = removeConnectionFields(request.rawHeaders, removedFields, this.preservedFields)
    let head = `${request.method} ${target} HTTP/1.1\r\n`
    for (let index = 0; index < fields.length; index += 2) head += `${fields[index]}: ${fields[index + 1]}\r\n`
    const hasBodyFraming = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
    if (hasBodyFraming) head += `Content-Length: ${bodyLength}\r\n`
    return `${head}${this.names.deadlineMs}: ${Math.max(1, Math.floor(remainingMs))}\r\n`
  }

  /**
   * @param rawHeaders headers of a worker's response, names and values in turn
   * @returns the headers to send to the caller, without `Content-Length`
   */
  listResponseFields (rawHeaders: readonly string[]): string[] {
    return removeConnectionFields(rawHeaders, RESERVED_RESPONSE_FIELDS, this.preservedFields)
  }
}
