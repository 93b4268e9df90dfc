/** Removes the headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1). */
import { HOP_BY_HOP_HEADERS } from '@umberspar/steering/common/request/headers'
import type { HeaderMap } from './attempt.js'

/** Trailers are not forwarded. `Expect` has already been handled by the listener, and undici rejects it. */
const REMOVED_HEADERS: ReadonlySet<string> = new Set([...HOP_BY_HOP_HEADERS, 'trailer', 'expect'])

/** Lists the header names in `Connection`, which are hop-by-hop as well. */
function listConnectionOptions (headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const values = Object.entries(headers).flatMap(([name, value]) => name.toLowerCase() === 'connection' ? value ?? [] : [])
  return values.flatMap((value) => value.split(',')).map((name) => name.trim().toLowerCase())
}

/**
 * @param headers headers with names in any case; `undefined` values are dropped
 * @returns the end-to-end headers, with names in lower case
 */
export function removeHopByHopHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): HeaderMap {
  const kept: HeaderMap = {}
  const connectionOptions = new Set(listConnectionOptions(headers))
  for (const [name, value] of Object.entries(headers)) {
    const lowerCaseName = name.toLowerCase()
    if (value === undefined || REMOVED_HEADERS.has(lowerCaseName) || connectionOptions.has(lowerCaseName)) continue
    kept[lowerCaseName] = value
  }
  return kept
}
