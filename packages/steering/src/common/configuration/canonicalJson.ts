/** Canonical JSON, so that equal documents have equal digests on all nodes. */
import { computeHash64 } from '../hash/xxHash.js'

/** Computes digests of canonical JSON. */
export interface Digester {
  /**
   * @param text canonical JSON
   * @returns xxHash64, 16 hexadecimal digits
   */
  computeDigest(text: string): string
}

/**
 * Encodes a value as JSON without white space and with object keys sorted by
 * UTF-16 code units; fields that are undefined are omitted.
 * @param body a JSON value
 * @returns canonical JSON
 */
export function encodeCanonical (body: unknown): string {
  if (Array.isArray(body)) return `[${body.map(encodeElement).join(',')}]`
  if (typeof body !== 'object' || body === null) return JSON.stringify(body) ?? 'null'
  const record = body as Readonly<Record<string, unknown>>
  const fields: string[] = []
  for (const key of Object.keys(record).sort()) {
    if (record[key] !== undefined) fields.push(`${JSON.stringify(key)}:${encodeCanonical(record[key])}`)
  }
  return `{${fields.join(',')}}`
}

function encodeElement (element: unknown): string {
  return encodeCanonical(element)
}

/**
 * @param text canonical JSON
 * @returns xxHash64, 16 hexadecimal digits
 */
export function computeDigest (text: string): string {
  return computeHash64(text)
}

/**
 * Creates a digester for callers that take the hash function as a dependency.
 * @returns a digester that is ready for use
 */
export async function createDigester (): Promise<Digester> {
  return { computeDigest }
}
