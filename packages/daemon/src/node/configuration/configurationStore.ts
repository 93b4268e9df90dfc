/**
 * The configuration's keys in the store. The body is written first, under the
 * change's own id, then the head by compare-and-swap: whoever reads a head finds
 * its whole body, and two racing writers never mix their chunks.
 */
import { ErrorCode, StepError, toStepError } from '@umberspar/base/common/errors'
import type { Deadline } from '@umberspar/base/common/deadline'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { IKeyValueStore, StoredValue } from '@umberspar/steering/common/ports/keyValueStore'
import { z } from 'zod'
import type { ConfigurationText } from './configurationKeeper.js'

/** Half of what the store takes as one value, so that keys and framing fit beside it. */
export const CHUNK_BYTES = 512 * 1024
/** Versions kept besides the one in force. */
export const HISTORY_LIMIT = 100
const VERSION_DIGITS = 12
const PEER = 'store'

const headSchema = z.object({ version: z.number().int().min(1), changeId: z.string(), digest: z.string() })
const historySchema = headSchema.extend({
  baseVersion: z.number().int().min(0),
  note: z.string(),
  atWallMs: z.number(),
  chunks: z.number().int().min(1)
})

/** One accepted change. */
export type HistoryEntry = z.output<typeof historySchema>

/** A head and the store's revision of its key. */
export interface StoredHead {
  readonly head: ConfigurationHead
  readonly modRevision: number
}

/** A change about to be written. */
export interface ConfigurationChange {
  readonly base: StoredHead | undefined
  readonly next: ConfigurationText
  readonly note: string
  readonly atWallMs: number
}

/** Reads and writes the configuration's keys. */
export class ConfigurationStore {
  private readonly encoder = new TextEncoder()

  constructor (
    private readonly store: IKeyValueStore,
    private readonly keyPrefix: string
  ) {}

  /** @returns the key whose change announces a new version */
  get headKey (): string {
    return `${this.keyPrefix}config/head`
  }

  /**
   * @param deadline when to give up
   * @returns the head, or undefined if no configuration was ever accepted
   */
  async readHead (deadline: Deadline): Promise<Result<StoredHead | undefined, StepError>> {
    const read = await this.store.get(this.headKey, deadline)
    if (!read.ok) return read
    if (read.val === undefined) return new Ok(undefined)
    const modRevision = read.val.modRevision
    const head = parseStored(read.val, headSchema, 'read-head')
    return head.ok ? new Ok({ head: head.val, modRevision }) : head
  }

  /**
   * @param head whose body
   * @param deadline when to give up
   * @returns the body's text
   */
  async readBody (head: ConfigurationHead, deadline: Deadline): Promise<Result<ConfigurationText, StepError>> {
    const prefix = this.getBodyPrefix(head)
    const listed = await this.store.list(prefix, deadline)
    if (!listed.ok) return listed
    const parts = listed.val.values
      .map((value) => ({ index: Number(value.key.slice(prefix.length)), bytes: value.value }))
      .sort((a, b) => a.index - b.index)
    if (parts.length === 0) {
      return new Err(new StepError({ code: ErrorCode.NotFound, step: 'read-body', peer: PEER, message: `version ${head.version} is not kept any more` }))
    }
    const text = Buffer.concat(parts.map((part) => part.bytes)).toString('utf8')
    return new Ok({ head, text })
  }

  /**
   * @param deadline when to give up
   * @returns the kept history, newest first
   */
  async listHistory (deadline: Deadline): Promise<Result<HistoryEntry[], StepError>> {
    const listed = await this.store.list(`${this.keyPrefix}config/history/`, deadline)
    if (!listed.ok) return listed
    const entries: HistoryEntry[] = []
    for (const value of listed.val.values) {
      const entry = parseStored(value, historySchema, 'read-history')
      if (!entry.ok) return entry
      entries.push(entry.val)
    }
    return new Ok(entries.sort((a, b) => b.version - a.version))
  }

  /**
   * Writes the body's chunks, then swaps the head.
   * @param change what to write and the head it replaces
   * @param deadline when to give up
   * @returns whether the swap took effect; `EffectUnknown` if its answer was lost
   */
  async write (change: ConfigurationChange, deadline: Deadline): Promise<Result<boolean, StepError>> {
    const { head, text } = change.next
    const bytes = this.encoder.encode(text)
    const chunks = Math.max(1, Math.ceil(bytes.length / CHUNK_BYTES))
    for (let index = 0; index < chunks; index++) {
      const part = bytes.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES)
      const written = await this.store.transact({
        conditions: [],
        writes: [{ kind: 'put', key: `${this.getBodyPrefix(head)}${index}`, value: part }]
      }, deadline)
      // A chunk whose answer was lost harms nothing: no head names it yet.
      if (!written.ok) return new Err(new StepError({ code: ErrorCode.Unavailable, step: 'write-body', peer: PEER, message: written.val.message, cause: written.val }))
    }
    const entry: HistoryEntry = { ...head, baseVersion: change.base?.head.version ?? 0, note: change.note, atWallMs: change.atWallMs, chunks }
    const swapped = await this.store.transact({
      conditions: [{ key: this.headKey, modRevision: change.base?.modRevision ?? 0 }],
      writes: [
        { kind: 'put', key: this.headKey, value: this.encodeJson(head) },
        { kind: 'put', key: this.getHistoryKey(head.version), value: this.encodeJson(entry) }
      ]
    }, deadline)
    return swapped.ok ? new Ok(swapped.val.isApplied) : swapped
  }

  /**
   * Removes history beyond the limit, bodies first.
   * @param deadline when to give up
   * @returns how many versions were removed
   */
  async removeOld (deadline: Deadline): Promise<Result<number, StepError>> {
    const history = await this.listHistory(deadline)
    if (!history.ok) return history
    const old = history.val.slice(HISTORY_LIMIT)
    for (const entry of old) {
      const bodyKeys = Array.from({ length: entry.chunks }, (_, index) => `${this.getBodyPrefix(entry)}${index}`)
      const keys = [...bodyKeys, this.getHistoryKey(entry.version)]
      const removed = await this.store.transact({ conditions: [], writes: keys.map((key) => ({ kind: 'delete' as const, key })) }, deadline)
      if (!removed.ok) return removed
    }
    return new Ok(old.length)
  }

  private getBodyPrefix (head: ConfigurationHead): string {
    return `${this.keyPrefix}config/body/${head.version}/${head.changeId}/`
  }

  private getHistoryKey (version: number): string {
    return `${this.keyPrefix}config/history/${String(version).padStart(VERSION_DIGITS, '0')}`
  }

  private encodeJson (value: unknown): Uint8Array {
    return this.encoder.encode(JSON.stringify(value))
  }
}

/**
 * Reads a stored JSON value.
 * @param stored the value
 * @param schema what it must look like
 * @param step the step named in an error
 * @returns the parsed value
 */
function parseStored<T> (stored: StoredValue, schema: z.ZodType<T>, step: string): Result<T, StepError> {
  try {
    return new Ok(schema.parse(JSON.parse(new TextDecoder().decode(stored.value))))
  } catch (cause) {
    return new Err(toStepError(cause, step, PEER))
  }
}
