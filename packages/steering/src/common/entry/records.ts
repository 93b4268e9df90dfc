/**
 * The records of which an entry VM builds its view of the deployment: the configuration, the
 * registrations of workers and entry VMs, the members of the fleet, evacuated failure domains,
 * quota shares, crash reports, quarantines and rate limits of workers. All come from the platform's store and have the store's revision.
 */
import type { CrashReports, Quarantine } from '../quarantine/crashReport.js'
import type { SteeringDocument } from './steeringDocument.js'
import type { StorePosition } from './storePosition.js'

/** State of a worker, as it reports it. */
export enum UpstreamState {
  Ready = 'ready',
  /** Announced to leave: it gets no new requests. */
  Draining = 'draining'
}

/** The registration of one worker, a process of an upstream. After each start a worker has a new id or a new start time. */
export interface UpstreamRegistration {
  readonly id: string
  /**
   * When the worker started, by its own wall clock, in whole milliseconds; undefined if it
   * does not report it. Only compared for equality with the previous one, since wall clocks
   * jump.
   */
  readonly startedAt?: number
  readonly service: string
  /** `host:port` */
  readonly address: string
  readonly domain: string
  readonly slots: number
  readonly state: UpstreamState
  /** Remaining cold start when the worker wrote the record, in milliseconds. */
  readonly coldMs: number
  /** How often this incarnation had registered when it wrote the record; undefined if it does not count. */
  readonly sequence?: number
}

/** The registration of one entry VM. */
export interface EntryNode {
  readonly name: string
  /** `host:port` of the listener for callers. */
  readonly address: string
  /** `host:port` of the listener for other entry VMs. */
  readonly peerAddress: string
  readonly domain: string
  /** Bandwidth of the VM's link in each direction, in megabits per second; undefined if unknown. */
  readonly linkMbps?: number | undefined
  /** The store's era in which the VM registered; undefined if it does not say. */
  readonly era?: number | undefined
  /** The version of the configuration that the VM had when it registered; undefined if it had none, or does not say. */
  readonly configurationVersion?: number | undefined
  /** `host:port` at which the VM receives the rows of other entry VMs in datagrams; undefined if it does not take part. */
  readonly exchangeAddress?: string | undefined
}

/** The holder of one share of the quotas; the store lets one VM at a time claim it. */
export interface ShareOwner {
  /** The share's name. */
  readonly share: string
  /** The holder's VM name. */
  readonly node: string
  /** Identifies the holder's process: another process of the same VM does not know which quota this one granted. */
  readonly life: string
  /** `host:port` of the holder's listener for other entry VMs. */
  readonly peerAddress: string
  /** The store's era in which the claim was made; undefined if the holder does not say. */
  readonly era?: number | undefined
}

/** An entry VM among which limits are divided; the record has no lease. */
export interface FleetMember {
  readonly name: string
  readonly domain: string
}

/** A worker's rate limit as entry VMs have observed it, for VMs that have not. */
export interface ObservedRateLimit {
  readonly workerId: string
  /** When the worker started, by its own wall clock, in whole milliseconds; undefined if it is not known. */
  readonly startedAt?: number | undefined
  /** Requests per second that it accepts from all entry VMs together. */
  readonly perSecond: number
}

/** The kinds of record. */
export enum RecordKind {
  Document = 'document',
  Upstream = 'upstream',
  Evacuation = 'evacuation',
  Node = 'node',
  Share = 'share',
  /** One entry VM's reports of workers that crashed. */
  CrashReports = 'crash-reports',
  Quarantine = 'quarantine',
  Member = 'member',
  RateLimit = 'rate-limit',
  /** Overwritten with an unreadable value: the key has no effect until it is readable again. */
  Unreadable = 'unreadable'
}

/** The configuration. */
export interface DocumentRecord {
  readonly kind: RecordKind.Document
  readonly key: string
  readonly revision: number
  readonly value: SteeringDocument
}

/** One record of the store. */
export type SteeringRecord =
  | DocumentRecord
  | { readonly kind: RecordKind.Upstream, readonly key: string, readonly revision: number, readonly value: UpstreamRegistration }
  | { readonly kind: RecordKind.Evacuation, readonly key: string, readonly revision: number, readonly value: string }
  | { readonly kind: RecordKind.Node, readonly key: string, readonly revision: number, readonly value: EntryNode }
  | { readonly kind: RecordKind.Share, readonly key: string, readonly revision: number, readonly value: ShareOwner }
  | { readonly kind: RecordKind.CrashReports, readonly key: string, readonly revision: number, readonly value: CrashReports }
  | { readonly kind: RecordKind.Quarantine, readonly key: string, readonly revision: number, readonly value: Quarantine }
  | { readonly kind: RecordKind.Member, readonly key: string, readonly revision: number, readonly value: FleetMember }
  | { readonly kind: RecordKind.RateLimit, readonly key: string, readonly revision: number, readonly value: ObservedRateLimit }
  /** `value` describes the error. */
  | { readonly kind: RecordKind.Unreadable, readonly key: string, readonly revision: number, readonly value: string }

/** A record that was deleted. */
export interface RemovedRecord {
  readonly key: string
  readonly revision: number
}

/** All records as of one position. */
export interface RecordSnapshot extends StorePosition {
  readonly records: readonly SteeringRecord[]
}

/** Changes up to a position. */
export interface RecordChanges extends StorePosition {
  readonly written: readonly SteeringRecord[]
  readonly removed: readonly RemovedRecord[]
}

/** One record that was written or removed. */
export interface RecordChange {
  /** The present record; undefined if it was removed. */
  readonly record: SteeringRecord | undefined
  /** The previous record; undefined if there was none. */
  readonly previous: SteeringRecord | undefined
}
