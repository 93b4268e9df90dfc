/**
 * The lines in which entry VMs tell each other of the records: one JSON object a
 * line, over an answer that stays open. A line tells where the teller stands, what
 * has changed, or both.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { PartKind } from '@umberspar/steering/common/entry/documentParts'
import type { RecordNews } from '@umberspar/steering/common/entry/recordNews'
import * as z from 'zod/mini'

/**
 * The path at which an entry VM tells others; `after` in the query is the revision that the asking VM knows.
 * The number rises with each form of the lines that an older program would read wrongly: VMs of
 * either then do not hear each other while a release is rolled out, and ask the store.
 */
export const RECORDS_PATH = '/v3/records'

/** What one line holds. */
export interface RecordLine {
  /**
   * The VMs that the records came over, the follower of the store first and the
   * teller last; undefined while the teller is not sure that its records are the newest.
   */
  readonly via?: readonly string[] | undefined
  /** The revision that the teller knows. */
  readonly revision: number
  /** How much longer the teller holds back what disappeared in an outage of the store, in milliseconds. */
  readonly holdMs: number
  readonly news?: RecordNews | undefined
  /** The teller's steady clock as it wrote the line. */
  readonly clockMs: number
  /** How long ago, at that moment, the teller's records were surely the newest, in milliseconds; undefined if they never were. */
  readonly proofAgeMs?: number | undefined
}

const revision = z.int().check(z.nonnegative())
const record = z.looseObject({ kind: z.string(), key: z.string(), revision })
const parts = z.array(z.looseObject({}))
const names = z.array(z.string())
const documentShape = z.object({
  key: z.string(),
  revision,
  version: z.int(),
  limits: z.looseObject({}),
  hasAccounts: z.boolean(),
  written: z.object({ [PartKind.Route]: parts, [PartKind.Service]: parts, [PartKind.Account]: parts }),
  removed: z.object({ [PartKind.Route]: names, [PartKind.Service]: names, [PartKind.Account]: names }),
  digest: z.string()
})
const lineShape = z.object({
  via: z.optional(z.array(z.string())),
  revision,
  holdMs: z.number().check(z.nonnegative()),
  clockMs: z.number(),
  proofAgeMs: z.optional(z.number().check(z.nonnegative())),
  news: z.optional(z.object({
    revision,
    isWhole: z.boolean(),
    gaps: z.array(z.object({ after: revision, until: revision })),
    written: z.array(record),
    removed: z.array(z.object({ key: z.string(), revision })),
    document: z.optional(documentShape)
  }))
})

/**
 * @param line what to tell
 * @returns its text, the line's end included
 */
export function formatRecordLine (line: RecordLine): string {
  return `${JSON.stringify(line)}\n`
}

/**
 * @param text one line
 * @param peer who sent it
 * @returns what it tells, or an error
 */
export function parseRecordLine (text: string, peer: string): Result<RecordLine, StepError> {
  try {
    // The outside is checked here; a record's own fields were checked by the VM that read it from the store.
    return Ok(lineShape.parse(JSON.parse(text)) as unknown as RecordLine)
  } catch (thrown) {
    return Err(new StepError({ code: ErrorCode.Invalid, step: 'read-peer-records', peer, message: (thrown as Error).message.slice(0, 200) }))
  }
}
