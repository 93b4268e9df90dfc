/**
 * Refuses requests whose framing or target another program could read in
 * another way, before any route sees them. Node.js's parser, in its strict mode,
 * has refused the rest: both Content-Length and Transfer-Encoding, repeated or
 * malformed lengths, folded fields, bad chunks, bare CR or LF.
 */
import type { ListenerLimits } from '@umberspar/adapters/node/settings/listenerSettings'
import type { IncomingMessage } from 'node:http'

const ABSOLUTE_FORM = /^https?:\/\/[^/?#]*/i
/** The parser has refused spaces, controls and bytes above 0x7f. */
const FORBIDDEN_IN_PATH = /\\/
/** A NUL or a line end that an upstream would decode into its log or a header. */
const HIDDEN_CONTROL = /%(0[0ad])/i
const FIELDS_PER_HEADER = 2
const HTTP_VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1'])
const REFUSED_METHODS: ReadonlySet<string> = new Set(['TRACE', 'CONNECT'])
/** Java's and curl's clients offer this on every first request; RFC 9110 lets a server pass it over. */
const IGNORED_UPGRADES: ReadonlySet<string> = new Set(['h2c'])
const MAX_REQUEST_ID = 256

/** Why a request is refused unread. */
export interface GateRefusal {
  readonly status: number
  readonly detail: string
}

type GateCheck = (request: IncomingMessage, limits: ListenerLimits) => GateRefusal | undefined

const CHECKS: readonly GateCheck[] = [checkVersion, checkMethod, checkFieldCount, checkHost, checkEncoding, checkUpgrade, checkTarget, checkRequestId]

/**
 * Checks a request's header, and brings an absolute-form target into origin form.
 * @param request a request just received; its `url` may change
 * @param limits of the listener
 * @returns why it is refused, or undefined
 */
export function checkRequest (request: IncomingMessage, limits: ListenerLimits): GateRefusal | undefined {
  for (const check of CHECKS) {
    const refusal = check(request, limits)
    if (refusal !== undefined) return refusal
  }
  return undefined
}

function checkVersion ({ httpVersion }: IncomingMessage): GateRefusal | undefined {
  return HTTP_VERSIONS.has(httpVersion) ? undefined : { status: 505, detail: 'expected HTTP/1.1' }
}

function checkMethod ({ method }: IncomingMessage): GateRefusal | undefined {
  return REFUSED_METHODS.has(method ?? '') ? { status: 405, detail: `${method} is not served` } : undefined
}

/** Node.js's own limit drops what is above it unseen, an Idempotency-Key perhaps; this one refuses. */
function checkFieldCount ({ rawHeaders }: IncomingMessage, { maxHeaderFields }: ListenerLimits): GateRefusal | undefined {
  const count = rawHeaders.length / FIELDS_PER_HEADER
  return count > maxHeaderFields ? { status: 431, detail: `expected at most ${maxHeaderFields} header fields` } : undefined
}

function checkHost (request: IncomingMessage): GateRefusal | undefined {
  const count = countFields(request, 'host')
  if (count > 1) return { status: 400, detail: 'Host stands more than once' }
  return count === 0 && request.httpVersion === '1.1' ? { status: 400, detail: 'Host is missing' } : undefined
}

/**
 * Only plain chunked framing is taken, and only in HTTP/1.1. `gzip, chunked`
 * would be sent on without its coding: the upstream would run garbage.
 */
function checkEncoding (request: IncomingMessage): GateRefusal | undefined {
  const encoding = request.headers['transfer-encoding']
  if (encoding === undefined) return undefined
  if (request.httpVersion !== '1.1') return { status: 400, detail: 'Transfer-Encoding needs HTTP/1.1' }
  const codings = encoding.split(',').map((coding) => coding.trim().toLowerCase())
  if (codings.at(-1) !== 'chunked') return { status: 400, detail: 'expected chunked as the last transfer coding' }
  return codings.length === 1 ? undefined : { status: 501, detail: 'expected chunked as the only transfer coding' }
}

function checkUpgrade ({ headers }: IncomingMessage): GateRefusal | undefined {
  const { upgrade } = headers
  if (upgrade === undefined || IGNORED_UPGRADES.has(upgrade.trim().toLowerCase())) return undefined
  return { status: 501, detail: 'no other protocol is spoken here' }
}

function checkTarget (request: IncomingMessage, { maxTargetBytes }: ListenerLimits): GateRefusal | undefined {
  const target = (request.url ?? '').replace(ABSOLUTE_FORM, '')
  if (target.length > maxTargetBytes) return { status: 414, detail: `expected a target of at most ${maxTargetBytes} bytes` }
  const whole = target.startsWith('?') || target === '' ? `/${target}` : target
  if (whole !== '*' && !whole.startsWith('/')) return { status: 400, detail: 'expected a target that begins with /' }
  const path = whole.split('?', 1)[0] ?? ''
  if (whole.includes('#') || FORBIDDEN_IN_PATH.test(path)) return { status: 400, detail: 'the target holds # or \\' }
  if (HIDDEN_CONTROL.test(path)) return { status: 400, detail: 'the path holds an escaped NUL, CR or LF' }
  if (!canDecode(path)) return { status: 400, detail: 'the path holds a broken percent-encoding' }
  request.url = whole
  return undefined
}

function checkRequestId ({ headers }: IncomingMessage): GateRefusal | undefined {
  const requestId = headers['umberspar-request-id']
  if (requestId === undefined || String(requestId).length <= MAX_REQUEST_ID) return undefined
  return { status: 400, detail: `umberspar-request-id: expected at most ${MAX_REQUEST_ID} characters` }
}

/**
 * A path that can't be decoded would be matched against the routes as it stands,
 * while an upstream that decodes leniently finds another route: a request that
 * must not be repeated could be taken for one that may.
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
  return rawHeaders.filter((text, index) => index % FIELDS_PER_HEADER === 0 && text.toLowerCase() === name).length
}
