/**
 * Queues the requests of one place that wait for a slot, with separate queues for
 * short calls and for uploads. Requests that are not expected to start in time are
 * refused on arrival; admitted requests that exceed their maximum wait are refused
 * then.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, getRemainingMs } from '@umberspar/base/common/deadline'
import { RequestKind } from '@umberspar/steering/common/configuration/configurationSchema'
import { AdmissionError } from '@umberspar/steering/common/limits/admissionError'
import { type ByKind, computeKindLimits, computeGuaranteedSlots } from '@umberspar/steering/common/limits/kindLimits'
import { WaitEstimate } from '@umberspar/steering/common/limits/waitEstimate'
import PQueue from 'p-queue'

/** Limits on the waiting of requests. */
export interface AdmissionPolicy {
  /** Maximum wait of any request, whatever its deadline, in milliseconds. */
  readonly maxWaitMs: number
  /** Maximum ratio of a request's estimated wait to its maximum wait; the rest is a margin for estimates that are too low. */
  readonly maxEstimateRatio: number
  /** Overrides the configured maximum length of the queue. */
  readonly maxQueue?: number
}

/** The policy unless another one is given. */
export const DEFAULT_ADMISSION_POLICY: AdmissionPolicy = { maxWaitMs: 1000, maxEstimateRatio: 0.5 }

/** Retry-After if the wait can't be estimated. */
const DEFAULT_RETRY_AFTER_MS = 1000
const REQUEST_KINDS = Object.values(RequestKind)

/** The properties of a request that the queue uses. */
export interface QueuedRequest {
  /** 0 (served first) to 9 (served last). */
  readonly priority: number
  readonly kind: RequestKind
  readonly deadline: Deadline
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal
}

/** Provides the queue's limits. */
export interface QueueLimits {
  /** @returns number of slots that may be used now, including those in use */
  countSlots(): number
  /** @returns whether slots may be borrowed from a peer, so that requests may wait even without any slot */
  mayBorrow(): boolean
}

/** Starts requests by priority while slots are free. */
export class AdmissionQueue implements IClosable {
  private readonly queues: Readonly<Record<RequestKind, PQueue>> = { [RequestKind.Call]: new PQueue(), [RequestKind.Upload]: new PQueue() }
  private readonly inUse = createCounts()
  /** Waiting requests by kind and priority. */
  private readonly waitingByPriority: Record<RequestKind, Map<number, number>> = { [RequestKind.Call]: new Map(), [RequestKind.Upload]: new Map() }
  private readonly estimate = new WaitEstimate()
  private lastStarted = RequestKind.Upload
  private isUpdating = false
  /** Maximum number of waiting requests. */
  maxQueue = 0

  constructor (
    private readonly place: string,
    private readonly clock: IClock,
    private readonly limits: QueueLimits,
    private readonly policy: AdmissionPolicy = DEFAULT_ADMISSION_POLICY
  ) {
    this.updateLimits()
  }

  /** @returns number of waiting requests */
  get waiting (): number {
    return this.queues[RequestKind.Call].size + this.queues[RequestKind.Upload].size
  }

  /** @returns number of requests that hold a slot */
  get running (): number {
    return this.inUse[RequestKind.Call] + this.inUse[RequestKind.Upload]
  }

  /**
   * @param request an arriving request
   * @returns why it is refused; undefined if it is admitted
   */
  checkAdmission (request: QueuedRequest): AdmissionError | undefined {
    const slots = this.limits.countSlots()
    if (slots <= 0 && !this.limits.mayBorrow()) return this.createError('this entry VM has no slots in this place', DEFAULT_RETRY_AFTER_MS)
    if (slots > this.running && this.waiting === 0) return undefined
    const waitMs = slots <= 0 ? 0 : this.estimateWaitMs(request)
    if (this.waiting >= (this.policy.maxQueue ?? this.maxQueue)) return this.createError(`the queue is full with ${this.waiting} waiting requests`, waitMs)
    const meanHoldMs = this.estimate.getMeanHoldMs(request.kind)
    const remainingWaitMs = getRemainingMs(request.deadline, this.clock.now()) - meanHoldMs
    const { maxEstimateRatio, maxWaitMs } = this.policy
    if (waitMs <= maxEstimateRatio * Math.min(maxWaitMs, remainingWaitMs)) return undefined
    return this.createError('no slot is expected to become free in time', waitMs)
  }

  /**
   * Queues a request for a slot.
   * @param request a request that {@link checkAdmission} has admitted
   * @param useSlot called as soon as there is a slot; its promise settles when the slot is free again
   * @param refuse called instead if the wait ends without a slot
   */
  add (request: QueuedRequest, useSlot: () => Promise<void>, refuse: (error: AdmissionError) => void): void {
    const { kind, priority, signal } = request
    const waitController = new AbortController()
    const cancel = (): void => waitController.abort()
    const waitDeadline = Math.min(request.deadline, createDeadline(this.clock.now(), this.policy.maxWaitMs))
    const timer = this.clock.schedule(waitDeadline, cancel)
    signal.addEventListener('abort', cancel, { once: true })
    this.countWaiting(kind, priority, 1)
    const stopWaiting = (): void => {
      timer.close()
      signal.removeEventListener('abort', cancel)
      this.countWaiting(kind, priority, -1)
    }
    const runWithSlot = async (): Promise<void> => {
      // The request holds the slot from here on and must no longer be aborted: p-queue
      // treats an aborted task as finished, which would give the slot to a second request.
      stopWaiting()
      await this.runAndMeasure(kind, useSlot)
    }
    if (signal.aborted) cancel()
    this.queues[kind].add(runWithSlot, { priority: -priority, signal: waitController.signal }).catch(() => {
      stopWaiting()
      refuse(this.createError('no slot became free in time', this.estimateWaitMs(request)))
    })
    this.updateLimits()
  }

  /** Applies the current limits. */
  updateLimits (): void {
    // Raising a limit starts tasks, and each start calls this method again.
    if (this.isUpdating) return
    this.isUpdating = true
    for (const kind of REQUEST_KINDS) this.setLimit(kind, this.computeLimits()[kind])
    for (const kind of REQUEST_KINDS) this.setLimit(kind, this.computeLimits()[kind])
    this.isUpdating = false
  }

  /** Discards all waiting requests. */
  close (): void {
    for (const kind of REQUEST_KINDS) this.queues[kind].clear()
  }

  private async runAndMeasure (kind: RequestKind, useSlot: () => Promise<void>): Promise<void> {
    const startedAt = this.clock.now()
    this.inUse[kind]++
    this.lastStarted = kind
    try {
      const slotUse = useSlot()
      this.updateLimits()
      await slotUse
      this.estimate.observe(kind, this.clock.now() - startedAt)
    } finally {
      this.inUse[kind]--
      this.updateLimits()
    }
  }

  private estimateWaitMs (request: QueuedRequest): number {
    let ahead = 0
    for (const [priority, count] of this.waitingByPriority[request.kind]) {
      if (priority <= request.priority) ahead += count
    }
    const isBelowGuarantee = this.inUse[request.kind] < computeGuaranteedSlots(this.limits.countSlots(), request.kind)
    return this.estimate.estimateWaitMs({ kind: request.kind, ahead, inUse: this.inUse, isBelowGuarantee })
  }

  private computeLimits (): ByKind {
    const waiting = { [RequestKind.Call]: this.queues[RequestKind.Call].size, [RequestKind.Upload]: this.queues[RequestKind.Upload].size }
    return computeKindLimits({ slots: this.limits.countSlots(), inUse: this.inUse, waiting, lastStarted: this.lastStarted })
  }

  private setLimit (kind: RequestKind, limit: number): void {
    const queue = this.queues[kind]
    if (limit <= 0) {
      queue.pause()
      return
    }
    queue.concurrency = limit
    if (queue.isPaused) queue.start()
  }

  private countWaiting (kind: RequestKind, priority: number, change: number): void {
    const counts = this.waitingByPriority[kind]
    counts.set(priority, (counts.get(priority) ?? 0) + change)
  }

  private createError (message: string, waitMs: number): AdmissionError {
    return new AdmissionError(this.place, message, Number.isFinite(waitMs) ? waitMs : DEFAULT_RETRY_AFTER_MS)
  }
}

function createCounts (): Record<RequestKind, number> {
  return { [RequestKind.Call]: 0, [RequestKind.Upload]: 0 }
}
