/** The information that a node sends about itself in heartbeats, and that others relay in reports. */
import type { Instant } from '@umberspar/base/common/clock'
import type { NodeState } from '../state/nodeState.js'

/** The states that a node can announce for itself; only other nodes can detect that it is suspected or gone. */
export type AnnouncedState = NodeState.Joining | NodeState.Live | NodeState.Leaving

/** A document, such as the configuration or the plan of one service, and the version of it that a node has. */
export interface DocumentVersion {
  readonly name: string
  readonly version: number
  /** xxHash64 of the body in hexadecimal. */
  readonly digest: string
  readonly changeId: string
}

/** The recent demand at one node for one service from one client region. */
export interface DemandReport {
  readonly service: string
  readonly clientRegion: string
  /** Mean number of concurrent requests, in flight or queued. */
  readonly concurrency: number
  /** When the measurement ended, on the clock of the node that holds this report. */
  readonly measuredAt: Instant
}
