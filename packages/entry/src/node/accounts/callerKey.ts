/**
 * Reads the key that a caller sends and computes its digest. Keys are stored and compared by their
 * digests only.
 *
 * The format is `Authorization: Bearer KEY` (RFC 6750): the scheme in any case, one or more spaces,
 * then the key without spaces. If the header occurs more than once there is no key, as a server
 * behind this process might read another occurrence.
 */
import { createHash } from 'node:crypto'

const HEADER_NAME = 'authorization'
/** Operators' keys are never longer; hashing a longer one would cost more than handling the request. */
const MAX_KEY_LENGTH = 1_024
const BEARER_PATTERN = /^bearer +(\S+)$/i

/**
 * @param rawHeaders the headers of a request, names and values in turn
 * @returns the key; undefined if there is no valid one
 */
export function readCallerKey (rawHeaders: readonly string[]): string | undefined {
  let value: string | undefined
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!
    if (name.length !== HEADER_NAME.length || name.toLowerCase() !== HEADER_NAME) continue
    if (value !== undefined) return undefined
    value = rawHeaders[index + 1]
  }
  const key = value === undefined ? undefined : BEARER_PATTERN.exec(value.trim())?.[1]
  return key === undefined || key.length > MAX_KEY_LENGTH ? undefined : key
}

/**
 * @param key a key
 * @returns its SHA-256 digest in base64
 */
export function computeKeyDigest (key: string): string {
  return createHash('sha256').update(key).digest('base64')
}
