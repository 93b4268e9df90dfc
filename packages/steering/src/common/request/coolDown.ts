/** The cool-down that an upstream asks for with `Retry-After` on a refusal. */
import { parseDecimalNumber } from './decimalNumber.js'

/** The status of a refusal that may ask for a cool-down. */
export const COOL_DOWN_STATUS = 503
export const COOL_DOWN_HEADER = 'retry-after'

const MS_PER_SECOND = 1_000
/** Limits the harm of a value in a wrong unit; an upstream that needs longer asks again. */
const MAX_COOL_DOWN_MS = 3_600_000

/**
 * Dates are ignored like other texts that are no number: wall clocks jump.
 * @param status the status of the upstream's response
 * @param values the values of its `Retry-After` fields
 * @returns the longest cool-down that they ask for, in milliseconds; undefined if they ask for none
 */
export function parseCoolDownMs (status: number, values: readonly string[]): number | undefined {
  if (status !== COOL_DOWN_STATUS) return undefined
  const spans = values.flatMap((value) => value.split(',')).map((value) => (parseDecimalNumber(value) ?? 0) * MS_PER_SECOND)
  const longestMs = Math.max(0, ...spans)
  return longestMs === 0 ? undefined : Math.min(MAX_COOL_DOWN_MS, longestMs)
}
