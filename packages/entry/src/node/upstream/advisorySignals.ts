/**
 * Decodes what workers announce in the heads of their responses: that they drain, and that
 * they want no requests for a while.
 */
import type { HeaderNames } from '@umberspar/steering/common/ports/callerProtocol'
import type { ResponseHead } from './responseParser.js'
import { getHeader, listHeaderValues } from './rawHeaders.js'

/** The announcements of one response. */
export interface AdvisorySignals {
  /** Whether the worker drains and must get no new requests. */
  readonly isDraining: boolean
  /** How long the worker wants no requests from this VM, in milliseconds; undefined if it did not ask for that. */
  readonly coolDownMs: number | undefined
}

const RETRY_AFTER_HEADER = 'retry-after'
const SERVICE_UNAVAILABLE_STATUS = 503
const DECIMAL_SECONDS = /^\d{1,9}(\.\d{1,9})?$/
/** Values that deny the announcement. */
const FALSE_VALUES: ReadonlySet<string> = new Set(['', '0', 'false'])
const MS_PER_SECOND = 1_000
/** A longer cool-down is taken for a mistake in the unit; the worker can ask again. */
const MAX_COOL_DOWN_MS = 3_600_000

/**
 * Dates are ignored like other texts that are no number: wall clocks jump.
 * @returns the longest valid value in milliseconds; undefined if there is none
 */
function parseCoolDown (texts: readonly string[]): number | undefined {
  const spans = texts.flatMap((text) => text.split(',')).map((text) => text.trim()).filter((text) => DECIMAL_SECONDS.test(text)).map((text) => Number(text) * MS_PER_SECOND)
  const longestMs = Math.max(0, ...spans)
  return longestMs === 0 ? undefined : Math.min(MAX_COOL_DOWN_MS, longestMs)
}

/**
 * @param head the head of a worker's response
 * @param names the deployment's header names
 * @returns its announcements
 */
export function parseAdvisorySignals ({ status, rawHeaders }: ResponseHead, names: HeaderNames): AdvisorySignals {
  const isDraining = names.draining.some((name) => !FALSE_VALUES.has(getHeader(rawHeaders, name)?.trim().toLowerCase() ?? ''))
  return { isDraining, coolDownMs: status === SERVICE_UNAVAILABLE_STATUS ? parseCoolDown(listHeaderValues(rawHeaders, RETRY_AFTER_HEADER)) : undefined }
}
