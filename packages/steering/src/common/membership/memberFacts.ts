/** What a node tells of itself in heartbeats and in reports that others relay. */
import type { Instant } from '@umberspar/base/common/clock'
import type { NodeState } from '../state/nodeState.js'

/** What a node says of itself; that it is suspected or gone only others can find. */
export type AnnouncedState = NodeState.Joining | NodeState.Live | NodeState.Leaving

/** A document (the configuration, one service's plan) and the version a node has of it. */
export interface DocumentVersion {
  readonly name: string
  readonly version: number
  /** xxHash64 of the body, in hexadecimal. */
  readonly digest: string
  readonly changeId: string
}

/** What one node carried lately of one service for one client region. */
export interface DemandReport {
  readonly service: string
  readonly clientRegion: string
  /** Mean number of requests held or waiting at a time. */
  readonly concurrency: number
  /** When the measurement ended, on the own clock. */
  readonly measuredAt: Instant
}
