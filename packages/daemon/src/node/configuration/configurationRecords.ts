/** Schemas of the configuration's JSON records in the store. */
import { type StepError, toStepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { StoredValue } from '@umberspar/steering/common/ports/keyValueStore'
import { z } from 'zod'

const PEER = 'store'

/** The value of the head key. */
export const headSchema = z.object({ version: z.number().int().min(1), changeId: z.string(), digest: z.string() })
/** The value of a history key. */
export const historySchema = headSchema.extend({
  baseVersion: z.number().int().min(0),
  note: z.string(),
  atWallMs: z.number(),
  chunks: z.number().int().min(1)
})

/** The value of a pending key, which marks a body that is being written. */
export const pendingSchema = z.object({ version: z.number().int().min(1), changeId: z.string(), chunks: z.number().int().min(1) })
/** A body that is being written, or that was left behind by a writer that crashed. */
export type PendingBody = z.output<typeof pendingSchema>

/** A change that was accepted. */
export type HistoryEntry = z.output<typeof historySchema>

/**
 * Parses and validates a stored JSON value.
 * @param stored the stored value
 * @param schema the value's schema
 * @param step the step to name in an error
 * @returns the parsed value
 */
export function parseStored<T> (stored: StoredValue, schema: z.ZodType<T>, step: string): Result<T, StepError> {
  try {
    return new Ok(schema.parse(JSON.parse(new TextDecoder().decode(stored.value))))
  } catch (cause) {
    return new Err(toStepError(cause, step, PEER))
  }
}
