/** Headers that concern one connection only (RFC 9110, section 7.6.1) and are never passed on. */
import type { HeaderMap } from './attempt.js'

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

function listNominated (headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const values = Object.entries(headers).flatMap(([name, value]) => name.toLowerCase() === 'connection' ? value ?? [] : [])
  return values.flatMap((value) => value.split(',')).map((name) => name.trim().toLowerCase())
}

/**
 * @param headers names in any case; `undefined` values are dropped
 * @returns the headers that belong to the message itself, names in lower case
 */
export function removeHopByHop (headers: Readonly<Record<string, string | string[] | undefined>>): HeaderMap {
  const kept: HeaderMap = {}
  const nominated = new Set(listNominated(headers))
  for (const [name, value] of Object.entries(headers)) {
    const key = name.toLowerCase()
    if (value === undefined || HOP_BY_HOP.has(key) || nominated.has(key)) continue
    kept[key] = value
  }
  return kept
}
