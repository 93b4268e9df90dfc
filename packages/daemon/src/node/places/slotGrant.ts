/** Types for requesting and granting a worker's slot in a place. */
import type { Instant } from '@umberspar/base/common/clock'
import type { WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { WorkerTable } from '@umberspar/steering/common/workers/workerTable'
import type { QueuedRequest } from './admissionQueue.js'

/** Identifies a place: a service in a failure domain. */
export interface PlaceKey {
  readonly service: string
  readonly failureDomain: string
}

/** A request for a slot. */
export interface SlotRequest extends QueuedRequest {
  /** Ids of workers that have already been tried for this request. */
  readonly excluded: ReadonlySet<string>
}

/** A slot of one worker, held until released. */
export interface SlotGrant {
  readonly workerId: string
  readonly worker: WorkerConfiguration
  readonly table: WorkerTable
  /**
   * Releases the slot; further calls do nothing.
   * @param heldUntil when the slot may be used again: a worker that was told to
   * cancel may still run for a moment, and another request would exceed its slots
   */
  release(heldUntil?: Instant): void
}
