/**
 * Reads and writes the configuration in the store. The body is written first, under
 * the change's id, then the head by compare-and-swap. So a reader of a head always
 * finds its complete body, and concurrent writers never mix their chunks. Every write
 * is conditional on the head that the change is based on, so that a delayed write that
 * arrives after another change has no effect.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { Deadline } from '@umberspar/base/common/deadline'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { IKeyValueStore, StoreCondition, StoreWrite } from '@umberspar/steering/common/ports/keyValueStore'
import { headSchema, type HistoryEntry, historySchema, parseStored, type PendingBody, pendingSchema } from './configurationRecords.js'
import type { SerializedConfiguration } from './configurationManager.js'

/** Half of the store's maximum value size, which leaves space for keys and framing. */
export const CHUNK_BYTES = 512 * 1024
/** Number of versions kept in the history. */
export const MAX_HISTORY_ENTRIES = 100
/** Corresponds to the maximum size of a document between peers, and is far below a transaction's limit of 128 operations. */
export const MAX_CHUNKS = 32
/** The store allows 128 operations in one transaction. */
const MAX_DELETES_PER_TRANSACTION = 100
const MAX_CHUNK_ATTEMPTS = 2
const VERSION_DIGITS = 12
const PEER = 'store'

/** A head and the revision of its key in the store. */
export interface StoredHead {
  readonly head: ConfigurationHead
  readonly modRevision: number
}

/** A change to be written. */
export interface ConfigurationChange {
  readonly base: StoredHead | undefined
  readonly next: SerializedConfiguration
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

  /** @returns the key that changes with every new version */
  get headKey (): string {
    return `${this.keyPrefix}config/head`
  }

  /**
   * @param deadline when to give up
   * @returns the head, or undefined if the store has no configuration
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
   * @param head the head of the version to read
   * @param deadline when to give up
   * @returns the head and the body's text
   */
  async readBody (head: ConfigurationHead, deadline: Deadline): Promise<Result<SerializedConfiguration, StepError>> {
    const prefix = this.getBodyPrefix(head)
    const listed = await this.store.list(prefix, deadline)
    if (!listed.ok) return listed
    const parts = listed.val.values
      .map((value) => ({ index: Number(value.key.slice(prefix.length)), bytes: value.value }))
      .sort((a, b) => a.index - b.index)
    if (parts.length === 0) {
      return new Err(new StepError({ code: ErrorCode.NotFound, step: 'read-body', peer: PEER, message: `version ${head.version} is no longer kept` }))
    }
    const text = Buffer.concat(parts.map((part) => part.bytes)).toString('utf8')
    return new Ok({ head, text })
  }

  /**
   * @param deadline when to give up
   * @returns the history, newest first
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
   * @returns the head that the change created, or undefined if the history has no such change
   */
  async findChange (changeId: string, deadline: Deadline): Promise<Result<ConfigurationHead | undefined, StepError>> {
    const history = await this.listHistory(deadline)
    if (!history.ok) return history
    const entry = history.val.find((candidate) => candidate.changeId === changeId)
    if (entry === undefined) return new Ok(undefined)
    return new Ok({ version: entry.version, changeId: entry.changeId, digest: entry.digest })
  }

  /**
   * Writes the body's chunks, then replaces the head by compare-and-swap.
   * @param change the change and the head that it replaces
   * @param deadline when to give up
   * @returns whether the swap was applied; `EffectUnknown` if its response was lost
   */
  async write (change: ConfigurationChange, deadline: Deadline): Promise<Result<boolean, StepError>> {
    const bytes = this.encoder.encode(change.next.text)
    const chunks = Math.max(1, Math.ceil(bytes.length / CHUNK_BYTES))
    if (chunks > MAX_CHUNKS) return new Err(new StepError({ code: ErrorCode.Invalid, step: 'write-body', peer: PEER, message: `the configuration has ${bytes.length} bytes, more than the maximum of ${MAX_CHUNKS * CHUNK_BYTES}` }))
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
   * Rewrites the head unchanged. This increases its revision, so that an earlier swap
   * whose response was lost can no longer be applied.
   * @param base the head as it was read
   * @param deadline when to give up
   * @returns whether the head was unchanged
   */
  async updateHeadRevision (base: StoredHead, deadline: Deadline): Promise<Result<boolean, StepError>> {
    const rewritten = await this.store.transact({
      conditions: [{ key: this.headKey, modRevision: base.modRevision }],
      writes: [{ kind: 'put', key: this.headKey, value: this.encodeJson(base.head) }]
    }, deadline)
    return rewritten.ok ? new Ok(rewritten.val.isApplied) : rewritten
  }

  /**
   * Removes history entries beyond the limit with their bodies.
   * @param deadline when to give up
   * @returns the number of versions removed
   */
  async removeExpiredHistory (deadline: Deadline): Promise<Result<number, StepError>> {
    const history = await this.listHistory(deadline)
    if (!history.ok) return history
    const expired = history.val.slice(MAX_HISTORY_ENTRIES)
    for (const entry of expired) {
      const removed = await this.deleteKeys([...this.listBodyKeys(entry, entry.chunks), this.getHistoryKey(entry.version)], deadline)
      if (!removed.ok) return removed
    }
    return new Ok(expired.length)
  }

  /**
   * Removes bodies whose writer crashed, or lost to another one, before it replaced
   * the head. A body of a version that the head has reached can no longer be written.
   * @param deadline when to give up
   * @returns the number of bodies removed
   */
  async removeOrphanedBodies (deadline: Deadline): Promise<Result<number, StepError>> {
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

  /** @returns a condition on the chunk as written, or undefined if the head has changed */
  private async writeChunk (change: ConfigurationChange, chunk: BodyChunk, deadline: Deadline): Promise<Result<StoreCondition | undefined, StepError>> {
    const { head } = change.next
    const key = `${this.getBodyPrefix(head)}${chunk.index}`
    const pending: PendingBody = { version: head.version, changeId: head.changeId, chunks: chunk.chunks }
    const writes: StoreWrite[] = [{ kind: 'put', key, value: chunk.part }]
    // A pending key is written with the first chunk. If the writer crashes before the
    // swap, the pending key tells others which body to remove.
    if (chunk.index === 0) writes.push({ kind: 'put', key: this.getPendingKey(head), value: this.encodeJson(pending) })
    let failure: StepError | undefined
    for (let attempt = 0; attempt < MAX_CHUNK_ATTEMPTS; attempt++) {
      const written = await this.store.transact({ conditions: [this.createHeadCondition(change.base)], writes }, deadline)
      if (written.ok) return new Ok(written.val.isApplied ? { key, modRevision: written.val.revision } : undefined)
      failure = written.val
      if (failure.code !== ErrorCode.EffectUnknown) break
    }
    // A chunk whose response was lost has no effect, because no head refers to it yet.
    return new Err(new StepError({ code: ErrorCode.Unavailable, step: 'write-body', peer: PEER, message: failure?.message ?? '', cause: failure }))
  }

  /**
   * Replaces the head on condition that the chunks are still those of this writer.
   * Another daemon that received the same change id, possibly with another patch,
   * writes to the same keys, and a head must never refer to a mixed body.
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
    for (let start = 0; start < keys.length; start += MAX_DELETES_PER_TRANSACTION) {
      const writes = keys.slice(start, start + MAX_DELETES_PER_TRANSACTION).map((key) => ({ kind: 'delete' as const, key }))
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
