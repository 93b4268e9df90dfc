/** Which header fields end at an intermediary (RFC 9110, section 7.6.1). */

/** Headers as Node.js and undici hand them over. */
export type HeaderRecord = Record<string, string | string[] | undefined>

/** Fields that concern one connection, or the intermediary itself, in lower case. */
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
 * Fields that `Connection` cannot remove. A hostile caller that names
 * `Content-Length` there would change where the body ends, and one that names
 * `Idempotency-Key` or our own fields would strip the request of what keeps it
 * from running twice; such a name is passed over, so the field stays.
 */
const KEPT_HEADERS: ReadonlySet<string> = new Set(['content-length', 'host', 'idempotency-key'])
const KEPT_PREFIX = 'umberspar-'

function listConnectionOptions (headers: HeaderRecord): Set<string> {
  const options = new Set<string>()
  for (const [name, value] of Object.entries(headers)) {
    if (name.toLowerCase() !== 'connection' || value === undefined) continue
    for (const option of [value].flat().join(',').split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}

function isKept (name: string): boolean {
  return KEPT_HEADERS.has(name) || name.startsWith(KEPT_PREFIX)
}

/**
 * Copies headers without those that end here, including those that `Connection` names.
 * @param headers received headers, names in any case
 * @returns a new record with the end-to-end headers, names as received
 */
export function removeHopByHop (headers: HeaderRecord): Record<string, string | string[]> {
  const options = listConnectionOptions(headers)
  const remaining: Array<[string, string | string[]]> = []
  for (const [name, value] of Object.entries(headers)) {
    const key = name.toLowerCase()
    if (value === undefined || HOP_BY_HOP_HEADERS.has(key)) continue
    if (options.has(key) && !isKept(key)) continue
    remaining.push([name, value])
  }
  // fromEntries defines own properties, so that a field named __proto__ stays a field.
  return Object.fromEntries(remaining)
}
