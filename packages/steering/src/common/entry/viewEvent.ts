/** Changes of an entry VM's view. */

/** The kinds of changes, for logs and for owners of connections. */
export enum ViewChange {
  DocumentAdopted = 'document-adopted',
  UpstreamJoined = 'upstream-joined',
  UpstreamChanged = 'upstream-changed',
  UpstreamLeft = 'upstream-left',
  /** The worker restarted under the same id. */
  UpstreamRestarted = 'upstream-restarted',
  /** A record was overwritten with an unreadable value. */
  RecordUnreadable = 'record-unreadable',
  DomainEvacuated = 'domain-evacuated',
  DomainTakenBack = 'domain-taken-back',
  NodeJoined = 'node-joined',
  NodeLeft = 'node-left',
  ShareClaimed = 'share-claimed',
  ShareFreed = 'share-freed',
  CrashesReported = 'crashes-reported',
  CrashReportsRemoved = 'crash-reports-removed',
  RequestQuarantined = 'request-quarantined',
  RequestReleased = 'request-released',
  MemberJoined = 'member-joined',
  MemberLeft = 'member-left',
  RateLimitReported = 'rate-limit-reported',
  RateLimitEnded = 'rate-limit-ended',
  /** The store has come back from an older copy. */
  EraBegan = 'era-began'
}

/** One change, with the revision of the record that caused it. */
export interface ViewEvent {
  readonly change: ViewChange
  /** The name of what changed, such as a worker, failure domain or entry VM, or the configuration's version. */
  readonly subject: string
  readonly revision: number
  /** Details that the kind of change does not show. */
  readonly reason?: string
}

/** The changes that a worker's registration may cause. */
export type UpstreamChange = ViewChange.UpstreamJoined | ViewChange.UpstreamChanged | ViewChange.UpstreamRestarted
