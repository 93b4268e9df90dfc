/** The size of what rows contain, so that each fits into one datagram. */
import type { ExchangeContent } from './exchangeRow.js'

/** Limit on the content of one row, in bytes of JSON; a datagram has 1,200. */
export const MAX_CONTENT_BYTES = 1_000

/**
 * @param content the content of a row
 * @returns its length as JSON in UTF-8
 */
export function countBytes (content: ExchangeContent): number {
  let bytes = 0
  // UTF-8 without Node.js APIs.
  for (const character of JSON.stringify(content)) {
    const code = character.codePointAt(0)!
    bytes += code < 0x80 ? 1 : code < 0x800 ? 2 : code < 0x10000 ? 3 : 4
  }
  return bytes
}
