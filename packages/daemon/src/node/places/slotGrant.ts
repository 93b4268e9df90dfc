/** What a request asks of a place, and what it gets. */
import type { Instant } from '@umberspar/base/common/clock'
import type { WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { WorkerTable } from '@umberspar/steering/common/workers/workerTable'
import type { QueuedRequest } from './admissionQueue.js'

/** Where the place is. */
export interface PlaceKey {
  readonly service: string
  readonly failureDomain: string
}

/** What a request needs of a place. */
export interface SlotRequest extends QueuedRequest {
  /** Workers that this request has tried already. */
  readonly excluded: ReadonlySet<string>
}

/** A slot of one worker, held until released. */
export interface SlotGrant {
  readonly workerId: string
  readonly worker: WorkerConfiguration
  readonly table: WorkerTable
  /**
   * Gives the slot back; a second call does nothing.
   * @param heldUntil keeps the slot until then: a worker that was told to cancel
   * may run on for a moment, and the next request would be one too many
   */
  release(heldUntil?: Instant): void
}
