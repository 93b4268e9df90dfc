/**
 * The configuration in an entry VM's replica of the records.
 *
 * Configurations are ordered by their version, which the operators raise with each change, and not
 * by the store's revision: a store that came back from an older copy may hold an older one for good.
 */
import { type DocumentDelta, DocumentParts } from './documentParts.js'
import { type EraStart, isNewerDocument } from './eraStart.js'
import { type DocumentRecord, type RecordChange, RecordKind, type SteeringRecord } from './records.js'
import type { UnconfirmedRecords } from './unconfirmedRecords.js'

/** Merges the configurations that the store and peers send. */
export class DocumentReplica {
  /** The current configuration in parts, for building deltas. */
  private readonly parts = new DocumentParts()

  /**
   * @param recordsByKey all records of the replica
   * @param unconfirmed the records that the store has lost
   * @param eraStart what the present era of the store began with
   */
  constructor (
    private readonly recordsByKey: Map<string, SteeringRecord>,
    private readonly unconfirmed: UnconfirmedRecords,
    private readonly eraStart: EraStart
  ) {}

  /** @returns whether the configuration is newer than the one that the store holds */
  get isUnconfirmed (): boolean {
    return [...this.recordsByKey.values()].some(({ kind, key }) => kind === RecordKind.Document && this.unconfirmed.has(key))
  }

  /**
   * Forgets which parts changed when.
   * @param revision VMs that know less than this need the complete configuration
   */
  clear (revision: number): void {
    this.parts.clear(revision)
  }

  /** @param record the configuration that stays in force, with its new revision */
  keep (record: DocumentRecord): void {
    this.parts.putDocument(record.value, record.revision)
  }

  /**
   * @param record a configuration of the store or of a peer
   * @param knownRevision up to which everything that the store holds is known
   * @returns the change, if it replaces the known configuration
   */
  put (record: DocumentRecord, knownRevision: number): RecordChange[] {
    const known = this.get(record.key)
    if (known === undefined || (isNewerDocument(known, record) && record.revision > knownRevision)) {
      this.unconfirmed.delete(record.key)
      this.recordsByKey.set(record.key, record)
      this.parts.putDocument(record.value, record.revision)
      return [{ record, previous: known }]
    }
    if (isNewerDocument(known, record)) return this.putUnconfirmed(record, known, knownRevision)
    if (record.revision <= known.revision) return []
    if (isNewerDocument(record, known)) this.unconfirmed.put(record.key, Infinity)
    else if (record.revision > this.eraStart.revision && this.unconfirmed.delete(record.key)) this.setRevision(known, record.revision)
    return []
  }

  /**
   * Puts the configuration of a peer in force if it is newer, whatever the positions of its other records.
   * @param records the records of the peer
   * @param knownRevision up to which everything that the store holds is known
   * @returns the change, if it replaces the known configuration
   */
  putNewer (records: readonly SteeringRecord[], knownRevision: number): RecordChange[] {
    return records.flatMap((record) => {
      const known = this.get(record.key)
      return known !== undefined && record.kind === RecordKind.Document && isNewerDocument(known, record) ? this.putUnconfirmed(record, known, knownRevision) : []
    })
  }

  /**
   * @param delta changes of the configuration
   * @param knownRevision up to which everything is known
   * @returns whether they lead to a configuration that is newer than the known one
   */
  isNewer ({ key, revision, version }: DocumentDelta, knownRevision: number): boolean {
    const known = this.get(key)
    // A separate read of the operators' records may have brought a later configuration than the other records.
    return revision > Math.max(knownRevision, known?.revision ?? 0) && version > (known?.value.version ?? 0)
  }

  /** @returns the later configuration; undefined if the delta does not fit the known one */
  mergeDelta (delta: DocumentDelta): DocumentRecord | undefined {
    const value = this.parts.mergeDelta(delta)
    return value === undefined ? undefined : { kind: RecordKind.Document, key: delta.key, revision: delta.revision, value }
  }

  /**
   * @param delta the delta that led to a configuration
   * @param merged the configuration
   */
  markMerged (delta: DocumentDelta, { key, value }: DocumentRecord): void {
    if (this.get(key)?.value === value) this.parts.markChanged(delta)
  }

  /**
   * @param written records that changed after a revision
   * @param knownRevision the revision
   * @returns the changes of the configuration among them; undefined if there are none, or if a peer needs all of it
   */
  buildDeltaAfter (written: readonly SteeringRecord[], knownRevision: number): DocumentDelta | undefined {
    const record = written.find(({ kind }) => kind === RecordKind.Document)
    return record?.kind === RecordKind.Document ? this.parts.buildDeltaAfter(record.value, record, knownRevision) : undefined
  }

  private get (key: string): DocumentRecord | undefined {
    const record = this.recordsByKey.get(key)
    return record?.kind === RecordKind.Document ? record : undefined
  }

  /** Puts a configuration in force that the store has lost: it is not among all that the store holds. */
  private putUnconfirmed (record: DocumentRecord, known: DocumentRecord, knownRevision: number): RecordChange[] {
    this.unconfirmed.put(record.key, Infinity)
    return [{ record: this.setRevision(record, Math.max(knownRevision, known.revision)), previous: known }]
  }

  /** Sets the configuration with another revision; peers that know less need all of it. */
  private setRevision (record: DocumentRecord, revision: number): DocumentRecord {
    const changed = { ...record, revision }
    this.recordsByKey.set(record.key, changed)
    this.parts.clear(revision)
    this.parts.putDocument(record.value, revision)
    return changed
  }
}
