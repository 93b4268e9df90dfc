/** Removal of the header fields that an intermediary must not forward (RFC 9110, section 7.6.1). */

/** Headers in the form that Node.js and undici provide. */
export type HeaderRecord = Record<string, string | string[] | undefined>

/** Fields that apply to a single connection or to the intermediary itself, in lower case. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'transfer-encoding',
  'upgrade'
])

/**
 * Fields that are kept even if `Connection` lists them. Otherwise a malicious
 * caller could change the length of the body by listing `Content-Length`, or
 * remove the protection against running a request twice by listing
 * `Idempotency-Key` or one of this system's own fields.
 */
const PROTECTED_HEADERS: ReadonlySet<string> = new Set(['content-length', 'host', 'idempotency-key'])
const PROTECTED_PREFIX = 'umberspar-'

function listConnectionOptions (headers: HeaderRecord): Set<string> {
  const options = new Set<string>()
  for (const [name, value] of Object.entries(headers)) {
    if (name.toLowerCase() !== 'connection' || value === undefined) continue
    for (const option of [value].flat().join(',').split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}

function isProtected (name: string): boolean {
  return PROTECTED_HEADERS.has(name) || name.startsWith(PROTECTED_PREFIX)
}

/**
 * Copies headers without the hop-by-hop fields, including those that `Connection` lists.
 * @param headers the received headers, with names in any case
 * @returns a new record with the end-to-end headers, with names as received
 */
export function removeHopByHop (headers: HeaderRecord): Record<string, string | string[]> {
  const connectionOptions = listConnectionOptions(headers)
  const endToEndHeaders: Array<[string, string | string[]]> = []
  for (const [name, value] of Object.entries(headers)) {
    const key = name.toLowerCase()
    if (value === undefined || HOP_BY_HOP_HEADERS.has(key)) continue
    if (connectionOptions.has(key) && !isProtected(key)) continue
    endToEndHeaders.push([name, value])
  }
  // fromEntries defines own properties, so a field named __proto__ stays an ordinary field.
  return Object.fromEntries(endToEndHeaders)
}
