/**
 * What an entry VM believes of the deployment: the configuration, the workers that
 * registered themselves, evacuated failure domains, and the other entry VMs. All
 * of it comes from the platform's store and carries the store's revision.
 */
import type { CrashReports, Quarantine } from '../quarantine/crashReport.js'
import type { SteeringDocument } from './steeringDocument.js'

/** What a worker says of itself. */
export enum UpstreamState {
  Ready = 'ready',
  /** Announced to leave: it gets no new work. */
  Draining = 'draining'
}

/** One worker, by its own registration; each start of a worker has a new id or a new start time. */
export interface UpstreamEntry {
  readonly id: string
  /**
   * When it started, by its own wall clock, in whole milliseconds; undefined if it
   * does not say. Only compared for being another than before: clocks jump.
   */
  readonly startedAt?: number
  readonly service: string
  /** `host:port` */
  readonly address: string
  readonly domain: string
  readonly slots: number
  readonly state: UpstreamState
  /** How much longer it stays cold from the moment it wrote this, in milliseconds. */
  readonly coldMs: number
}

/** One entry VM, by its own registration. */
export interface EntryNode {
  readonly name: string
  /** `host:port` of the callers' listener. */
  readonly address: string
  /** `host:port` of the listener for other entry VMs. */
  readonly peerAddress: string
  readonly domain: string
  /** What its link carries each way, in megabits a second; undefined if that is not known. */
  readonly linkMbps?: number | undefined
}

/** Who keeps one share of the quotas; the store lets one VM at a time claim it. */
export interface ShareKeeper {
  /** The share's name. */
  readonly share: string
  /** The keeping VM's name. */
  readonly node: string
  /** The keeping process: another one of the same VM knows nothing of what this one gave. */
  readonly life: string
  /** `host:port` of its listener for other entry VMs. */
  readonly peerAddress: string
}

/** The kinds of record. */
export enum RecordKind {
  Document = 'document',
  Upstream = 'upstream',
  Evacuation = 'evacuation',
  Node = 'node',
  Share = 'share',
  /** What one entry VM reports of workers that crashed. */
  CrashReports = 'crash-reports',
  Quarantine = 'quarantine',
  /** Overwritten with something that cannot be read: the key names nothing until it can be read again. */
  Unreadable = 'unreadable'
}

/** One record as it stands in the store. */
export type SteeringRecord =
  | { readonly kind: RecordKind.Document, readonly key: string, readonly revision: number, readonly value: SteeringDocument }
  | { readonly kind: RecordKind.Upstream, readonly key: string, readonly revision: number, readonly value: UpstreamEntry }
  | { readonly kind: RecordKind.Evacuation, readonly key: string, readonly revision: number, readonly value: string }
  | { readonly kind: RecordKind.Node, readonly key: string, readonly revision: number, readonly value: EntryNode }
  | { readonly kind: RecordKind.Share, readonly key: string, readonly revision: number, readonly value: ShareKeeper }
  | { readonly kind: RecordKind.CrashReports, readonly key: string, readonly revision: number, readonly value: CrashReports }
  | { readonly kind: RecordKind.Quarantine, readonly key: string, readonly revision: number, readonly value: Quarantine }
  /** `value` says what is wrong with it. */
  | { readonly kind: RecordKind.Unreadable, readonly key: string, readonly revision: number, readonly value: string }

/** A record that was deleted. */
export interface RemovedRecord {
  readonly key: string
  readonly revision: number
}

/** Everything, as of one revision. */
export interface RecordSnapshot {
  readonly revision: number
  readonly records: readonly SteeringRecord[]
}

/** What changed up to a revision. */
export interface RecordChanges {
  readonly revision: number
  readonly written: readonly SteeringRecord[]
  readonly removed: readonly RemovedRecord[]
}

/** One record of the view that was written or removed. */
export interface RecordChange {
  /** What stands there now; undefined if it is gone. */
  readonly record: SteeringRecord | undefined
  /** What stood there before. */
  readonly previous: SteeringRecord | undefined
}
