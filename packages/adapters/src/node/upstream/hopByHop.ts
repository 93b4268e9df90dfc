/** Headers that concern one connection only (RFC 9110, section 7.6.1) and are never passed on. */
import { HOP_BY_HOP_HEADERS } from '@umberspar/steering/common/request/headers'
import type { HeaderMap } from './attempt.js'

/** Trailers are not passed on; `Expect` was answered by our listener, and undici refuses it. */
const REMOVED_HEADERS: ReadonlySet<string> = new Set([...HOP_BY_HOP_HEADERS, 'trailer', 'expect'])

function listConnectionOptions (headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const values = Object.entries(headers).flatMap(([name, value]) => name.toLowerCase() === 'connection' ? value ?? [] : [])
  return values.flatMap((value) => value.split(',')).map((name) => name.trim().toLowerCase())
}

/**
 * @param headers names in any case; `undefined` values are dropped
 * @returns the headers that belong to the message itself, names in lower case
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
