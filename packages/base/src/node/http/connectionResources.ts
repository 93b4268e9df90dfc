/** What the connections of one process share, so that no client takes all of it. */
import type { IClock } from '../../common/clock.js'
import type { IClosable } from '../../common/closing.js'
import { ConnectionMemory } from './connectionMemory.js'
import { ConnectionTimeouts } from './connectionTimeouts.js'
import { InputScheduler } from './inputScheduler.js'

/** Why a connection was closed for the sake of others. */
export enum ClosedFor {
  /** All connections together held too much memory, and this one most. */
  Memory = 'memory',
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

  close (): void {
    this.timeouts.close()
    this.scheduler.close()
  }
}
