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
    const candidate = rawHeaders[index]!
    if (candidate.length === name.length && candidate.toLowerCase() === name) values.push(rawHeaders[index + 1]!)
  }
  return values
}

/** Fields that apply to one connection only. Trailers are not forwarded, so they are not announced either. */
const CONNECTION_FIELDS: ReadonlySet<string> = new Set([...HOP_BY_HOP_HEADERS, 'trailer'])

/** Fields that `Connection` cannot remove: without them a message would have a different end, or reach a different host. */
const KEPT_FIELDS: ReadonlySet<string> = new Set(['content-length', 'host', 'cookie'])

const NO_OPTIONS: ReadonlySet<string> = new Set()

/** @returns the options of all `Connection` fields that name fields to remove */
function readConnectionOptions (rawHeaders: readonly string[], kept: ReadonlySet<string>): ReadonlySet<string> {
  const values = listHeaderValues(rawHeaders, 'connection')
  if (values.every((value) => value === 'keep-alive' || value === 'close')) return NO_OPTIONS
  const options = values.flatMap((value) => value.split(',')).map((option) => option.trim().toLowerCase())
  return new Set(options.filter((option) => !KEPT_FIELDS.has(option) && !kept.has(option)))
}

/**
 * @param rawHeaders alternating names and values
 * @param removed further fields to remove, in lower case
 * @param kept fields that are kept even if `Connection` lists them, in lower case
 * @returns the fields to forward to the next hop, without `Content-Length`
 */
export function removeConnectionFields (rawHeaders: readonly string[], removed: ReadonlySet<string>, kept: ReadonlySet<string>): string[] {
  const options = readConnectionOptions(rawHeaders, kept)
  const remaining: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (name === 'content-length' || CONNECTION_FIELDS.has(name) || removed.has(name) || options.has(name)) continue
    remaining.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return remaining
}
