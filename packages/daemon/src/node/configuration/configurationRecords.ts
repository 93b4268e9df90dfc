/** The JSON records of the configuration in the store, checked when they are read. */
import { type StepError, toStepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { StoredValue } from '@umberspar/steering/common/ports/keyValueStore'
import { z } from 'zod'

const PEER = 'store'

/** The head's value. */
export const headSchema = z.object({ version: z.number().int().min(1), changeId: z.string(), digest: z.string() })
/** The value of a history entry. */
export const historySchema = headSchema.extend({
  baseVersion: z.number().int().min(0),
  note: z.string(),
  atWallMs: z.number(),
  chunks: z.number().int().min(1)
})

/** The value of a note of a body that is being written. */
export const pendingSchema = z.object({ version: z.number().int().min(1), changeId: z.string(), chunks: z.number().int().min(1) })
/** A body that is being written, or was when its writer died. */
export type PendingBody = z.output<typeof pendingSchema>

/** One accepted change. */
export type HistoryEntry = z.output<typeof historySchema>

/**
 * Reads a stored JSON value.
 * @param stored the value
 * @param schema what it must look like
 * @param step the step named in an error
 * @returns the parsed value
 */
export function parseStored<T> (stored: StoredValue, schema: z.ZodType<T>, step: string): Result<T, StepError> {
  try {
    return new Ok(schema.parse(JSON.parse(new TextDecoder().decode(stored.value))))
  } catch (cause) {
    return new Err(toStepError(cause, step, PEER))
  }
}
