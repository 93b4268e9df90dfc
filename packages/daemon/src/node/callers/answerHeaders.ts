/** Copies an upstream's header fields into the answer to a caller. */
import { removeHopByHop } from '@umberspar/steering/common/request/headers'
import { type ServerResponse, validateHeaderName, validateHeaderValue } from 'node:http'

/**
 * Sets the end-to-end fields of an upstream's answer. A field that HTTP does not
 * allow (a control character in its value) is left out: `setHeader` throws on it,
 * which used to end the request without an answer and leave its slot taken.
 * @param response the caller's response
 * @param headers the upstream's fields, decoded as UTF-8
 * @returns names of the fields left out
 */
export function setAnswerHeaders (response: ServerResponse, headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const refused: string[] = []
  for (const [name, value] of Object.entries(removeHopByHop(headers))) {
    const bytes = Array.isArray(value) ? value.map(toFieldBytes) : toFieldBytes(value)
    if (isValidField(name, bytes)) response.setHeader(name, bytes)
    else refused.push(name)
  }
  return refused
}

/** Node.js writes one byte per character; UTF-8 text has to be given as its bytes to arrive as it was. */
function toFieldBytes (value: string): string {
  return Buffer.from(value, 'utf8').toString('latin1')
}

function isValidField (name: string, value: string | string[]): boolean {
  try {
    validateHeaderName(name)
    for (const each of [value].flat()) validateHeaderValue(name, each)
    return true
  } catch {
    return false
  }
}
