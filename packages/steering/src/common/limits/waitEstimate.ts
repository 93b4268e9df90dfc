/**
 * Estimates how long a request would wait for a slot, from the mean time for
 * which earlier requests held their slots and from the queue ahead of it.
 */
import { RequestKind } from '../configuration/configurationSchema.js'
import type { ByKind } from './kindLimits.js'

/** Weight of the newest sample in the exponential moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.1

/** The requests ahead of a waiting request. */
export interface QueueAhead {
  readonly kind: RequestKind
  /** Number of requests that would start before it. */
  readonly ahead: number
  /** Slots in use. */
  readonly inUse: ByKind
  /** Whether its kind has fewer slots than it is guaranteed, so that it also gets slots released by the other kind. */
  readonly isBelowGuarantee: boolean
}

/** Moving averages of the time for which requests hold a slot, by kind. */
export class WaitEstimate {
  private readonly meanByKind = new Map<RequestKind, number>()

  /**
   * Adds a sample.
   * @param kind kind of a request that has ended
   * @param spanMs how long it held its slot, in milliseconds
   */
  observe (kind: RequestKind, spanMs: number): void {
    const mean = this.meanByKind.get(kind)
    this.meanByKind.set(kind, mean === undefined ? spanMs : mean + NEWEST_SAMPLE_WEIGHT * (spanMs - mean))
  }

  /**
   * @param kind kind of requests
   * @returns the mean time for which they hold a slot, in milliseconds; 0 before the first sample
   */
  getMeanHoldMs (kind: RequestKind): number {
    return this.meanByKind.get(kind) ?? 0
  }

  /**
   * Estimates the wait of a request while all slots are in use.
   * @param queue the requests ahead of it
   * @returns the expected time until enough slots are released, in milliseconds; Infinity if no slot that it could get is in use
   */
  estimateWaitMs (queue: QueueAhead): number {
    const kinds = queue.isBelowGuarantee ? Object.values(RequestKind) : [queue.kind]
    const releasesPerMs = kinds.reduce((sum, kind) => sum + this.computeReleaseRate(kind, queue.inUse[kind]), 0)
    return releasesPerMs === 0 ? Infinity : (queue.ahead + 1) / releasesPerMs
  }

  /** Computes how many slots a kind releases in a millisecond; Infinity as long as there is no sample. */
  private computeReleaseRate (kind: RequestKind, inUse: number): number {
    if (inUse === 0) return 0
    const meanMs = this.getMeanHoldMs(kind)
    return meanMs === 0 ? Infinity : inUse / meanMs
  }
}
