/** What the connections of one process share, so that no client takes all of it. */
import type { IClock } from '../../common/clock.js'
import type { IClosable } from '../../common/closing.js'
import { ConnectionLimit } from './connectionLimit.js'
import { ConnectionMemory } from './connectionMemory.js'
import { ConnectionTimeouts } from './connectionTimeouts.js'
import { InputScheduler } from './inputScheduler.js'

/** Why a connection was closed for the sake of others. */
export enum ClosedFor {
  /** All connections together held too much memory, and this one most. */
  Memory = 'memory',
  /** There were too many connections; it was idle, or there was no room for it. */
  Connections = 'connections',
  /** Its client read nothing of a response. */
  Stall = 'stall'
}

/** Limits on connections. */
export interface ConnectionResourcesOptions {
  readonly clock: IClock
  /** Limit on what all connections hold in memory together, in bytes. */
  readonly maxBytes: number
  /** Called for each connection that is closed for the sake of others. */
  readonly onClose?: (reason: ClosedFor) => void
}

/** The shared resources of the connections of one process. */
export class ConnectionResources implements IClosable {
  readonly scheduler: InputScheduler
  readonly timeouts: ConnectionTimeouts
  readonly memory: ConnectionMemory
  readonly onClose: (reason: ClosedFor) => void

  /** @param options the limits */
  constructor ({ clock, maxBytes, onClose = () => {} }: ConnectionResourcesOptions) {
    this.scheduler = new InputScheduler(clock)
    this.timeouts = new ConnectionTimeouts(clock)
    this.memory = new ConnectionMemory(maxBytes)
    this.onClose = onClose
  }

  /** @returns a limit on the open connections of some listeners */
  createLimit (maxConnections: number): ConnectionLimit {
    return new ConnectionLimit(maxConnections, () => { this.onClose(ClosedFor.Connections) })
  }

  close (): void {
    this.timeouts.close()
    this.scheduler.close()
  }
}
