/**
 * Estimates how long a request would wait for a slot: from the mean span for
 * which earlier requests of its kind held one, and the queue before it.
 */
import { RequestKind } from '../configuration/configurationSchema.js'
import type { ByKind } from './kindLimits.js'

/** The weight of the newest span in the running mean. */
const NEWEST_WEIGHT = 0.1

/** What stands before a request. */
export interface QueueAhead {
  readonly kind: RequestKind
  /** Requests that would start before it. */
  readonly ahead: number
  /** Slots that each kind holds. */
  readonly inUse: ByKind
  /** Whether its kind is owed slots that the other kind holds. */
  readonly isOwed: boolean
}

/** A running mean of holding spans by kind. */
export class WaitEstimate {
  private readonly means = new Map<RequestKind, number>()

  /**
   * @param kind what was held
   * @param spanMs how long a request held its slot, in milliseconds
   */
  observe (kind: RequestKind, spanMs: number): void {
    const mean = this.means.get(kind)
    this.means.set(kind, mean === undefined ? spanMs : mean + NEWEST_WEIGHT * (spanMs - mean))
  }

  /**
   * @param kind which requests
   * @returns the mean span that they hold a slot, in milliseconds; 0 before the first
   */
  getMeanSpanMs (kind: RequestKind): number {
    return this.means.get(kind) ?? 0
  }

  /**
   * @param queue what stands before the request; all slots are taken
   * @returns the expected wait until enough slots have come free, in milliseconds
   */
  estimateWaitMs (queue: QueueAhead): number {
    const kinds = queue.isOwed ? Object.values(RequestKind) : [queue.kind]
    const perMs = kinds.reduce((sum, kind) => sum + this.computeRate(kind, queue.inUse[kind]), 0)
    return perMs === 0 ? Infinity : (queue.ahead + 1) / perMs
  }

  /** Slots of a kind that come free in a millisecond; a kind that was never seen to end is taken to end at once. */
  private computeRate (kind: RequestKind, inUse: number): number {
    if (inUse === 0) return 0
    const meanMs = this.getMeanSpanMs(kind)
    return meanMs === 0 ? Infinity : inUse / meanMs
  }
}
