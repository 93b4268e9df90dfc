/**
 * Decodes what workers announce in the heads of their responses: that they drain, and that
 * they want no requests for a while.
 */
import type { HeaderNames } from '@umberspar/steering/common/ports/callerProtocol'
import { COOL_DOWN_HEADER, COOL_DOWN_STATUS, parseCoolDownMs } from '@umberspar/steering/common/request/coolDown'
import type { ResponseHead } from './responseParser.js'
import { getHeader, listHeaderValues } from './rawHeaders.js'

/** The announcements of one response. */
export interface AdvisorySignals {
  /** Whether the worker drains and must get no new requests. */
  readonly isDraining: boolean
  /** How long the worker wants no requests from this VM, in milliseconds; undefined if it did not ask for that. */
  readonly coolDownMs: number | undefined
}

/** Values that deny the announcement. */
const FALSE_VALUES: ReadonlySet<string> = new Set(['', '0', 'false'])

/**
 * @param head the head of a worker's response
 * @param names the deployment's header names
 * @returns its announcements
 */
export function parseAdvisorySignals ({ status, rawHeaders }: ResponseHead, names: HeaderNames): AdvisorySignals {
  const isDraining = names.draining.some((name) => !FALSE_VALUES.has(getHeader(rawHeaders, name)?.trim().toLowerCase() ?? ''))
  return { isDraining, coolDownMs: status === COOL_DOWN_STATUS ? parseCoolDownMs(status, listHeaderValues(rawHeaders, COOL_DOWN_HEADER)) : undefined }
}
