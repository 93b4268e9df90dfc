/**
 * Decides what the older copy that a store came back from says about records that are known. An
 * entry may be missing, replaced or present again in the copy only because it is older, not because
 * its writer decided so. The writers write again what the store has lost.
 */
import { type DocumentRecord, RecordKind, type SteeringRecord, UpstreamState, type UpstreamRegistration } from './records.js'

/** Limit on remembered removals of registrations. */
const MAX_REMOVED_REGISTRATIONS = 4_096
/** Workers write their registrations again within about 2 s, and entry VMs as soon as they notice the era. */
const REGISTRATION_GRACE_MS = 2_500
/** For records that their writers write again, but not at once. */
export const REWRITE_GRACE_MS = 15_000

/** A member that others no longer count may go on sending; it writes its record again as soon as it notices the era. */
const MEMBER_GRACE_MS = 75_000

/** Lost records that a VM takes over from a peer that is behind it: too long in force, they cost only room. */
export const KINDS_KEPT_FOR_PEERS: ReadonlySet<RecordKind> = new Set([RecordKind.Evacuation, RecordKind.Quarantine])

/** How long a record that the copy lacks stays in force unless it is written again, by its kind, in milliseconds. */
const GRACE_MS_BY_KIND: Readonly<Record<RecordKind, number>> = {
  // A configuration is only ever replaced by a later version.
  [RecordKind.Document]: Infinity,
  [RecordKind.Upstream]: REGISTRATION_GRACE_MS,
  [RecordKind.Evacuation]: REWRITE_GRACE_MS,
  [RecordKind.Node]: REGISTRATION_GRACE_MS,
  [RecordKind.Share]: REGISTRATION_GRACE_MS,
  [RecordKind.CrashReports]: REWRITE_GRACE_MS,
  [RecordKind.Quarantine]: REWRITE_GRACE_MS,
  [RecordKind.Member]: MEMBER_GRACE_MS,
  [RecordKind.RateLimit]: REWRITE_GRACE_MS,
  [RecordKind.Unreadable]: 0
}

/**
 * @param record a record that the copy lacks
 * @returns how long it stays in force unless it is written again, in milliseconds
 */
export function getRewriteGraceMs (record: SteeringRecord): number {
  return GRACE_MS_BY_KIND[record.kind]
}

/** The removals that are known, and the revision at which the present era began. */
export class EraStart {
  private eraRevision = 0
  private readonly removedRegistrations = new Map<string, UpstreamRegistration>()

  /** @returns the revision of the copy; records with a later one were written in the present era */
  get revision (): number {
    return this.eraRevision
  }

  /** @param revision the revision of the copy that a new era begins with */
  start (revision: number): void {
    this.eraRevision = revision
  }

  /** @param key the key of a record that is in force from now on */
  recordWriting (key: string): void {
    this.removedRegistrations.delete(key)
  }

  /** @param record a record that was removed */
  recordRemoval (record: SteeringRecord): void {
    if (record.kind !== RecordKind.Upstream) return
    this.removedRegistrations.delete(record.key)
    this.removedRegistrations.set(record.key, record.value)
    if (this.removedRegistrations.size > MAX_REMOVED_REGISTRATIONS) this.removedRegistrations.delete(this.removedRegistrations.keys().next().value!)
  }

  /**
   * @param known a known record
   * @param copied the copy's record under the same key
   * @returns whether the copy's record is an earlier one of the same writer
   */
  isOlderCopy (known: SteeringRecord, copied: SteeringRecord): boolean {
    if (known.kind === RecordKind.Document) return copied.kind === RecordKind.Document && isNewerDocument(copied, known)
    return known.kind === RecordKind.Upstream && copied.kind === RecordKind.Upstream && isEarlierRegistration(copied.value, known.value)
  }

  /**
   * @param record a record of the store
   * @returns whether it is part of the copy, and this or a later registration of the worker is known to have been removed
   */
  isKnownAsRemoved (record: SteeringRecord): boolean {
    if (record.kind !== RecordKind.Upstream || record.revision > this.eraRevision) return false
    const removed = this.removedRegistrations.get(record.key)
    return removed !== undefined && isSameOrEarlierRegistration(record.value, removed)
  }
}

/**
 * @param known a configuration
 * @param other another one
 * @returns whether the other one is newer, by the order of the operators, which holds in all eras
 */
export function isNewerDocument (known: DocumentRecord, other: DocumentRecord): boolean {
  return other.value.version > known.value.version
}

function isEarlierRegistration (registration: UpstreamRegistration, other: UpstreamRegistration): boolean {
  if (registration.startedAt !== other.startedAt) return false
  // A worker that drains never becomes ready again without another start.
  if (registration.sequence === undefined || other.sequence === undefined) return other.state === UpstreamState.Draining
  return registration.sequence < other.sequence
}

function isSameOrEarlierRegistration (registration: UpstreamRegistration, other: UpstreamRegistration): boolean {
  return isEarlierRegistration(registration, other) || (registration.startedAt === other.startedAt && registration.sequence === other.sequence)
}
