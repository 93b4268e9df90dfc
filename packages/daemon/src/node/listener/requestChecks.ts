/**
 * Refuses requests whose framing or target another program could interpret
 * differently (request smuggling), before they are routed. `RequestInput` already refuses
 * Content-Length together with Transfer-Encoding, repeated or malformed lengths, folded
 * fields, invalid chunks, and bare CR or LF, whatever the release of Node.js tolerates.
 */
import type { ListenerLimits } from '@umberspar/adapters/node/settings/listenerSettings'
import type { IncomingMessage } from 'node:http'

const ABSOLUTE_FORM = /^https?:\/\/[^/?#]*/i
/** The parser already refuses spaces, control characters and bytes above 0x7f. */
const FORBIDDEN_IN_PATH = /\\/
/** An escaped NUL, LF or CR, which an upstream could decode into its log or a header. */
const ESCAPED_CONTROL_CHARACTER = /%(0[0ad])/i
const RAW_ENTRIES_PER_FIELD = 2
const HTTP_VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1'])
const REFUSED_METHODS: ReadonlySet<string> = new Set(['TRACE', 'CONNECT'])
/** Java's HTTP client and curl offer this on every first request; RFC 9110 lets a server ignore it. */
const IGNORED_UPGRADES: ReadonlySet<string> = new Set(['h2c'])
const MAX_REQUEST_ID_LENGTH = 256

/** The status and the reason with which a request is refused. */
export interface RequestRefusal {
  readonly status: number
  readonly detail: string
}

type RequestCheck = (request: IncomingMessage, limits: ListenerLimits) => RequestRefusal | undefined

const CHECKS: readonly RequestCheck[] = [checkVersion, checkMethod, checkFieldCount, checkHost, checkEncoding, checkUpgrade, checkTarget, checkRequestId]

/**
 * Checks a request's headers and converts an absolute-form target to origin form.
 * @param request a request just received; its `url` may be changed
 * @param limits the listener's limits
 * @returns why the request is refused, or undefined if it is valid
 */
export function checkRequest (request: IncomingMessage, limits: ListenerLimits): RequestRefusal | undefined {
  for (const check of CHECKS) {
    const refusal = check(request, limits)
    if (refusal !== undefined) return refusal
  }
  return undefined
}

function checkVersion ({ httpVersion }: IncomingMessage): RequestRefusal | undefined {
  return HTTP_VERSIONS.has(httpVersion) ? undefined : { status: 505, detail: 'unsupported HTTP version, expected HTTP/1.1' }
}

function checkMethod ({ method }: IncomingMessage): RequestRefusal | undefined {
  return REFUSED_METHODS.has(method ?? '') ? { status: 405, detail: `method ${method} is not supported` } : undefined
}

/** Replaces Node.js's own limit, which silently drops excess fields, possibly an Idempotency-Key. */
function checkFieldCount ({ rawHeaders }: IncomingMessage, { maxHeaderFields }: ListenerLimits): RequestRefusal | undefined {
  const count = rawHeaders.length / RAW_ENTRIES_PER_FIELD
  return count > maxHeaderFields ? { status: 431, detail: `expected at most ${maxHeaderFields} header fields` } : undefined
}

function checkHost (request: IncomingMessage): RequestRefusal | undefined {
  const count = countFields(request, 'host')
  if (count > 1) return { status: 400, detail: 'more than one Host header field' }
  return count === 0 && request.httpVersion === '1.1' ? { status: 400, detail: 'missing Host header field' } : undefined
}

/**
 * Accepts only `chunked`, and only in HTTP/1.1. With `gzip, chunked` the body would be
 * forwarded without naming its gzip coding, and the upstream would process garbage.
 */
function checkEncoding (request: IncomingMessage): RequestRefusal | undefined {
  const encoding = request.headers['transfer-encoding']
  if (encoding === undefined) return undefined
  if (request.httpVersion !== '1.1') return { status: 400, detail: 'Transfer-Encoding requires HTTP/1.1' }
  const codings = encoding.split(',').map((coding) => coding.trim().toLowerCase())
  if (codings.at(-1) !== 'chunked') return { status: 400, detail: 'expected chunked as the last transfer coding' }
  return codings.length === 1 ? undefined : { status: 501, detail: 'expected chunked as the only transfer coding' }
}

function checkUpgrade ({ headers }: IncomingMessage): RequestRefusal | undefined {
  const { upgrade } = headers
  if (upgrade === undefined || IGNORED_UPGRADES.has(upgrade.trim().toLowerCase())) return undefined
  return { status: 501, detail: 'protocol upgrades are not supported' }
}

function checkTarget (request: IncomingMessage, { maxTargetBytes }: ListenerLimits): RequestRefusal | undefined {
  const target = (request.url ?? '').replace(ABSOLUTE_FORM, '')
  if (target.length > maxTargetBytes) return { status: 414, detail: `expected a request target of at most ${maxTargetBytes} bytes` }
  const originForm = target.startsWith('?') || target === '' ? `/${target}` : target
  if (originForm !== '*' && !originForm.startsWith('/')) return { status: 400, detail: 'expected a request target that begins with /' }
  const path = originForm.split('?', 1)[0] ?? ''
  if (originForm.includes('#') || FORBIDDEN_IN_PATH.test(path)) return { status: 400, detail: 'the request target contains # or \\' }
  if (ESCAPED_CONTROL_CHARACTER.test(path)) return { status: 400, detail: 'the path contains an escaped NUL, CR or LF' }
  if (!canDecode(path)) return { status: 400, detail: 'the path contains an invalid percent-encoding' }
  request.url = originForm
  return undefined
}

function checkRequestId ({ headers }: IncomingMessage): RequestRefusal | undefined {
  const requestId = headers['umberspar-request-id']
  if (requestId === undefined || String(requestId).length <= MAX_REQUEST_ID_LENGTH) return undefined
  return { status: 400, detail: `umberspar-request-id: expected at most ${MAX_REQUEST_ID_LENGTH} characters` }
}

/**
 * An undecodable path would be matched against the routes literally, while a lenient
 * upstream might decode it to another route. A request that must not be retried could
 * then be mistaken for an idempotent one.
 */
function canDecode (path: string): boolean {
  try {
    decodeURIComponent(path)
    return true
  } catch {
    return false
  }
}

function countFields ({ rawHeaders }: IncomingMessage, name: string): number {
  return rawHeaders.filter((text, index) => index % RAW_ENTRIES_PER_FIELD === 0 && text.toLowerCase() === name).length
}
