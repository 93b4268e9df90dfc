/** Header fields as an alternating list of names and values, in the order received. */
import { HOP_BY_HOP_HEADERS } from '@umberspar/steering/common/request/headers'

/**
 * @param rawHeaders alternating names and values
 * @param name a field's name, in lower case
 * @returns the first value of the field; undefined if there is none
 */
export function getHeader (rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const candidate = rawHeaders[index]!
    if (candidate.length === name.length && candidate.toLowerCase() === name) return rawHeaders[index + 1]
  }
  return undefined
}

/**
 * @param rawHeaders alternating names and values
 * @param name a field's name, in lower case
 * @returns all values of the field, in the order received
 */
export function listHeaderValues (rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === name) values.push(rawHeaders[index + 1]!)
  }
  return values
}

/** Fields that apply to one connection only. Trailers are not forwarded, so they are not announced either. */
const CONNECTION_FIELDS: ReadonlySet<string> = new Set([...HOP_BY_HOP_HEADERS, 'trailer'])

/** Fields that `Connection` cannot remove: without them a message would have a different end, or reach a different host. */
const KEPT_FIELDS: ReadonlySet<string> = new Set(['content-length', 'host', 'cookie'])

function listConnectionOptions (rawHeaders: readonly string[]): readonly string[] {
  const value = getHeader(rawHeaders, 'connection')
  if (value === undefined || value === 'keep-alive' || value === 'close') return []
  return value.split(',').map((option) => option.trim().toLowerCase()).filter((option) => !KEPT_FIELDS.has(option))
}

/**
 * @param rawHeaders alternating names and values
 * @param removed further fields to remove, in lower case
 * @param kept fields that are kept even if `Connection` lists them, in lower case
 * @returns the fields to forward to the next hop, without `Content-Length`
 */
export function removeConnectionFields (rawHeaders: readonly string[], removed: ReadonlySet<string>, kept: ReadonlySet<string>): string[] {
  const options = listConnectionOptions(rawHeaders).filter((option) => !kept.has(option))
  const remaining: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (name === 'content-length' || CONNECTION_FIELDS.has(name) || removed.has(name) || options.includes(name)) continue
    remaining.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return remaining
}
