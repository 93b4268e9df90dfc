/**
 * The configuration's keys in the store. The body is written first, under the
 * change's own id, then the head by compare-and-swap: whoever reads a head finds
 * its whole body, and two racing writers never mix their chunks. Every write is
 * conditional on the head that the change is made against, so that a write which
 * arrives late, after another change, has no effect.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { Deadline } from '@umberspar/base/common/deadline'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { IKeyValueStore, StoreCondition, StoreWrite } from '@umberspar/steering/common/ports/keyValueStore'
import { headSchema, type HistoryEntry, historySchema, parseStored, type PendingBody, pendingSchema } from './configurationRecords.js'
import type { ConfigurationText } from './configurationKeeper.js'

/** Half of what the store takes as one value, so that keys and framing fit beside it. */
export const CHUNK_BYTES = 512 * 1024
/** Versions kept besides the one in force. */
export const HISTORY_LIMIT = 100
/** As many as a document between peers may have bytes; far below a transaction's limit of 128 operations. */
export const MAX_CHUNKS = 32
/** Operations of one clean-up transaction; the store takes 128. */
const MAX_DELETES = 100
const CHUNK_ATTEMPTS = 2
const VERSION_DIGITS = 12
const PEER = 'store'

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

interface BodyChunk {
  readonly index: number
  readonly chunks: number
  readonly part: Uint8Array
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
   * @param changeId a change's id
   * @param deadline when to give up
   * @returns the head that the change made, or undefined if the history has none of that id
   */
  async findChange (changeId: string, deadline: Deadline): Promise<Result<ConfigurationHead | undefined, StepError>> {
    const history = await this.listHistory(deadline)
    if (!history.ok) return history
    const entry = history.val.find((one) => one.changeId === changeId)
    if (entry === undefined) return new Ok(undefined)
    return new Ok({ version: entry.version, changeId: entry.changeId, digest: entry.digest })
  }

  /**
   * Writes the body's chunks, then swaps the head.
   * @param change what to write and the head it replaces
   * @param deadline when to give up
   * @returns whether the swap took effect; `EffectUnknown` if its answer was lost
   */
  async write (change: ConfigurationChange, deadline: Deadline): Promise<Result<boolean, StepError>> {
    const bytes = this.encoder.encode(change.next.text)
    const chunks = Math.max(1, Math.ceil(bytes.length / CHUNK_BYTES))
    if (chunks > MAX_CHUNKS) return new Err(new StepError({ code: ErrorCode.Invalid, step: 'write-body', peer: PEER, message: `the configuration has ${bytes.length} bytes, more than ${MAX_CHUNKS * CHUNK_BYTES}` }))
    const written: StoreCondition[] = []
    for (let index = 0; index < chunks; index++) {
      const part = bytes.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES)
      const chunk = await this.writeChunk(change, { index, chunks, part }, deadline)
      if (!chunk.ok) return chunk
      if (chunk.val === undefined) return new Ok(false)
      written.push(chunk.val)
    }
    return await this.transactHead(change, written, deadline)
  }

  /**
   * Rewrites the head as it is. Its revision grows, so that a swap which was sent
   * earlier and whose answer was lost can no longer take effect.
   * @param base the head as it was read
   * @param deadline when to give up
   * @returns whether the head was still the same
   */
  async updateHeadRevision (base: StoredHead, deadline: Deadline): Promise<Result<boolean, StepError>> {
    const rewritten = await this.store.transact({
      conditions: [{ key: this.headKey, modRevision: base.modRevision }],
      writes: [{ kind: 'put', key: this.headKey, value: this.encodeJson(base.head) }]
    }, deadline)
    return rewritten.ok ? new Ok(rewritten.val.isApplied) : rewritten
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
      const removed = await this.deleteKeys([...this.listBodyKeys(entry, entry.chunks), this.getHistoryKey(entry.version)], deadline)
      if (!removed.ok) return removed
    }
    return new Ok(old.length)
  }

  /**
   * Removes bodies whose writer died, or lost the race, before it swapped the head.
   * A body for a version that the head has reached can't be written any more.
   * @param deadline when to give up
   * @returns how many bodies were removed
   */
  async removeOrphans (deadline: Deadline): Promise<Result<number, StepError>> {
    const listed = await this.store.list(this.pendingPrefix, deadline)
    if (!listed.ok) return listed
    const stored = await this.readHead(deadline)
    if (!stored.ok) return stored
    let removed = 0
    for (const value of listed.val.values) {
      const pending = parseStored(value, pendingSchema, 'read-pending')
      if (!pending.ok) return pending
      if (pending.val.version > (stored.val?.head.version ?? 0)) continue
      const keys = [...this.listBodyKeys(pending.val, pending.val.chunks), value.key]
      const deleted = await this.deleteKeys(keys, deadline)
      if (!deleted.ok) return deleted
      removed += 1
    }
    return new Ok(removed)
  }

  /** @returns the chunk's key and revision, or undefined if the head has changed */
  private async writeChunk (change: ConfigurationChange, chunk: BodyChunk, deadline: Deadline): Promise<Result<StoreCondition | undefined, StepError>> {
    const { head } = change.next
    const key = `${this.getBodyPrefix(head)}${chunk.index}`
    const pending: PendingBody = { version: head.version, changeId: head.changeId, chunks: chunk.chunks }
    const writes: StoreWrite[] = [{ kind: 'put', key, value: chunk.part }]
    // Before the first chunk stands a note of the body: if the writer dies before
    // the swap, the note tells the next one what to remove.
    if (chunk.index === 0) writes.push({ kind: 'put', key: this.getPendingKey(head), value: this.encodeJson(pending) })
    let failure: StepError | undefined
    for (let attempt = 0; attempt < CHUNK_ATTEMPTS; attempt++) {
      const written = await this.store.transact({ conditions: [this.createHeadCondition(change.base)], writes }, deadline)
      if (written.ok) return new Ok(written.val.isApplied ? { key, modRevision: written.val.revision } : undefined)
      failure = written.val
      if (failure.code !== ErrorCode.EffectUnknown) break
    }
    // A chunk whose answer was lost harms nothing: no head names it yet.
    return new Err(new StepError({ code: ErrorCode.Unavailable, step: 'write-body', peer: PEER, message: failure?.message ?? '', cause: failure }))
  }

  /**
   * The swap also asks for the chunks as this writer wrote them: another daemon
   * that was sent the same change id, perhaps with another patch, writes to the
   * same keys, and a head must never name a mixed body.
   */
  private async transactHead (change: ConfigurationChange, chunks: readonly StoreCondition[], deadline: Deadline): Promise<Result<boolean, StepError>> {
    const { base, next: { head }, note, atWallMs } = change
    const entry: HistoryEntry = { ...head, baseVersion: base?.head.version ?? 0, note, atWallMs, chunks: chunks.length }
    const swapped = await this.store.transact({
      conditions: [this.createHeadCondition(base), ...chunks],
      writes: [
        { kind: 'put', key: this.headKey, value: this.encodeJson(head) },
        { kind: 'put', key: this.getHistoryKey(head.version), value: this.encodeJson(entry) },
        { kind: 'delete', key: this.getPendingKey(head) }
      ]
    }, deadline)
    return swapped.ok ? new Ok(swapped.val.isApplied) : swapped
  }

  private async deleteKeys (keys: readonly string[], deadline: Deadline): Promise<Result<void, StepError>> {
    for (let start = 0; start < keys.length; start += MAX_DELETES) {
      const writes = keys.slice(start, start + MAX_DELETES).map((key) => ({ kind: 'delete' as const, key }))
      const deleted = await this.store.transact({ conditions: [], writes }, deadline)
      if (!deleted.ok) return deleted
    }
    return new Ok(undefined)
  }

  private createHeadCondition (base: StoredHead | undefined): StoreCondition {
    return { key: this.headKey, modRevision: base?.modRevision ?? 0 }
  }

  private listBodyKeys (head: Pick<ConfigurationHead, 'version' | 'changeId'>, chunks: number): string[] {
    return Array.from({ length: chunks }, (_, index) => `${this.getBodyPrefix(head)}${index}`)
  }

  private get pendingPrefix (): string {
    return `${this.keyPrefix}config/pending/`
  }

  private getPendingKey (head: ConfigurationHead): string {
    return `${this.pendingPrefix}${head.version}/${head.changeId}`
  }

  private getBodyPrefix (head: Pick<ConfigurationHead, 'version' | 'changeId'>): string {
    return `${this.keyPrefix}config/body/${head.version}/${head.changeId}/`
  }

  private getHistoryKey (version: number): string {
    return `${this.keyPrefix}config/history/${String(version).padStart(VERSION_DIGITS, '0')}`
  }

  private encodeJson (value: unknown): Uint8Array {
    return this.encoder.encode(JSON.stringify(value))
  }
}
