/**
 * The format in which entry VMs stream the records to each other: one JSON object per line, over an
 * HTTP response that stays open. A line holds the state of the sending VM, record changes, or both.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { PartKind } from '@umberspar/steering/common/entry/documentParts'
import type { RecordUpdate } from '@umberspar/steering/common/entry/recordUpdate'
import type { StorePosition } from '@umberspar/steering/common/entry/storePosition'
import * as z from 'zod/mini'

/**
 * The path at which an entry VM streams its records to others; the query parameters `era` and
 * `after` are the position that the receiving VM has. The version in the path is raised with each incompatible change
 * of the format: while a release is rolled out, VMs of different versions then fetch the records from
 * the store instead of from each other.
 */
export const RECORDS_PATH = '/v4/records'

/** The content of one line, with the position that the sending VM has. */
export interface RecordLine extends StorePosition {
  /**
   * The VMs that relayed the records, from the one that reads the store to the sending VM; undefined
   * while the sending VM isn't sure that its records are current.
   */
  readonly via?: readonly string[] | undefined
  /** How much longer the sending VM keeps records that disappeared during an outage of the store, in milliseconds. */
  readonly holdMs: number
  readonly news?: RecordUpdate | undefined
  /** The monotonic clock of the sending VM when it wrote the line. */
  readonly clockMs: number
  /** How long before that the sending VM's records were last proven current, in milliseconds; undefined if they never were. */
  readonly proofAgeMs?: number | undefined
  /** The version of the sending VM's configuration; undefined if it has none, or does not say. */
  readonly configurationVersion?: number | undefined
}

const revisionSchema = z.int().check(z.nonnegative())
const positionShape = { era: z.int().check(z.nonnegative()), revision: revisionSchema }
const recordSchema = z.looseObject({ kind: z.string(), key: z.string(), revision: revisionSchema })
const documentPartsSchema = z.array(z.looseObject({}))
const namesSchema = z.array(z.string())
const documentSchema = z.object({
  key: z.string(),
  revision: revisionSchema,
  version: z.int(),
  limits: z.looseObject({}),
  hasAccounts: z.boolean(),
  written: z.object({ [PartKind.Route]: documentPartsSchema, [PartKind.Service]: documentPartsSchema, [PartKind.Account]: documentPartsSchema }),
  removed: z.object({ [PartKind.Route]: namesSchema, [PartKind.Service]: namesSchema, [PartKind.Account]: namesSchema }),
  digest: z.string()
})
const recordLineSchema = z.object({
  via: z.optional(z.array(z.string())),
  ...positionShape,
  holdMs: z.number().check(z.nonnegative()),
  clockMs: z.number(),
  proofAgeMs: z.optional(z.number().check(z.nonnegative())),
  configurationVersion: z.optional(z.int()),
  news: z.optional(z.object({
    ...positionShape,
    isWhole: z.boolean(),
    gaps: z.array(z.object({ after: revisionSchema, until: revisionSchema })),
    written: z.array(recordSchema),
    removed: z.array(z.object({ key: z.string(), revision: revisionSchema })),
    unconfirmed: z.optional(z.array(z.object({ key: z.string(), remainingMs: z.number().check(z.nonnegative()) }))),
    document: z.optional(documentSchema)
  }))
})

/**
 * @param line the content of the line
 * @returns the text, including the line end
 */
export function formatRecordLine (line: RecordLine): string {
  return `${JSON.stringify(line)}\n`
}

/**
 * @param text the text of one line
 * @param peer the VM that sent it, for error messages
 * @returns the content, or an error if it is invalid
 */
export function parseRecordLine (text: string, peer: string): Result<RecordLine, StepError> {
  try {
    // Only the outer structure is validated here; the fields of records were validated by the VM that read them from the store.
    return Ok(recordLineSchema.parse(JSON.parse(text)) as unknown as RecordLine)
  } catch (thrown) {
    return Err(new StepError({ code: ErrorCode.Invalid, step: 'read-peer-records', peer, message: (thrown as Error).message.slice(0, 200) }))
  }
}
