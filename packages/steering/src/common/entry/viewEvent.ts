/** What changes in the view of an entry VM. */

/** What changed in the view, for logs and for owners of connections. */
export enum ViewChange {
  DocumentAdopted = 'document-adopted',
  UpstreamJoined = 'upstream-joined',
  UpstreamChanged = 'upstream-changed',
  UpstreamLeft = 'upstream-left',
  /** The worker started anew under the id that it had. */
  UpstreamRestarted = 'upstream-restarted',
  /** A registration was overwritten with something that cannot be read. */
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
  RequestReleased = 'request-released'
}

/** One change, with the record that made it. */
export interface ViewEvent {
  readonly change: ViewChange
  /** The worker's, domain's or node's name, or the configuration's version. */
  readonly subject: string
  readonly revision: number
  /** Why, where the change alone does not say. */
  readonly reason?: string
}

/** What a worker's registration changes. */
export type UpstreamChange = ViewChange.UpstreamJoined | ViewChange.UpstreamChanged | ViewChange.UpstreamRestarted
