/**
 * The requests of one place that wait for a slot, short calls and uploads in a
 * queue each. What would not start in time is refused on arrival; what was let
 * in and still does not start within its bound is refused then.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, getRemainingMs } from '@umberspar/base/common/deadline'
import { RequestKind } from '@umberspar/steering/common/configuration/configurationSchema'
import { AdmissionError } from '@umberspar/steering/common/limits/admissionError'
import { type ByKind, computeKindLimits, computeShare } from '@umberspar/steering/common/limits/kindLimits'
import { WaitEstimate } from '@umberspar/steering/common/limits/waitEstimate'
import PQueue from 'p-queue'

/** How long requests may wait. */
export interface AdmissionPolicy {
  /** No request waits longer, whatever its deadline, in milliseconds. */
  readonly longestWaitMs: number
  /** The part of the bound on its wait that a request's estimated wait may take; the rest is for estimates that are too low. */
  readonly estimatePart: number
  /** In place of the configured length of the queue. */
  readonly maxQueue?: number
}

/** Used where nothing else is given. */
export const DEFAULT_ADMISSION_POLICY: AdmissionPolicy = { longestWaitMs: 1000, estimatePart: 0.5 }

/** What is said of the wait where nothing is known, in milliseconds. */
const UNKNOWN_WAIT_MS = 1000
const KINDS = Object.values(RequestKind)

/** What the queue needs to know of a request. */
export interface QueuedRequest {
  /** 0 first, 9 last. */
  readonly priority: number
  readonly kind: RequestKind
  readonly deadline: Deadline
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal
}

/** Where the queue's limits come from. */
export interface QueueLimits {
  /** @returns slots that may be used now, taken ones included */
  countSlots(): number
  /** @returns whether a request without a slot may wait for one from a peer */
  mayBorrow(): boolean
}

/** Lets requests start by priority while slots are free. */
export class AdmissionQueue implements IClosable {
  private readonly queues: Readonly<Record<RequestKind, PQueue>> = { [RequestKind.Call]: new PQueue(), [RequestKind.Upload]: new PQueue() }
  private readonly inUse = createCounts()
  /** Waiting requests by kind and priority. */
  private readonly waitingBy: Record<RequestKind, Map<number, number>> = { [RequestKind.Call]: new Map(), [RequestKind.Upload]: new Map() }
  private readonly estimate = new WaitEstimate()
  private lastStarted = RequestKind.Upload
  private isUpdating = false
  /** How many requests may wait. */
  maxQueue = 0

  constructor (
    private readonly place: string,
    private readonly clock: IClock,
    private readonly limits: QueueLimits,
    private readonly policy: AdmissionPolicy = DEFAULT_ADMISSION_POLICY
  ) {
    this.updateLimits()
  }

  /** @returns requests that wait */
  get waiting (): number {
    return this.queues[RequestKind.Call].size + this.queues[RequestKind.Upload].size
  }

  /** @returns requests that hold a slot */
  get running (): number {
    return this.inUse[RequestKind.Call] + this.inUse[RequestKind.Upload]
  }

  /**
   * @param request a request that arrives
   * @returns why it can't be let in; undefined if it may wait
   */
  checkRoom (request: QueuedRequest): AdmissionError | undefined {
    const slots = this.limits.countSlots()
    if (slots <= 0 && !this.limits.mayBorrow()) return this.createError('this entry VM has no slot here', UNKNOWN_WAIT_MS)
    if (slots > this.running && this.waiting === 0) return undefined
    const waitMs = slots <= 0 ? 0 : this.estimateWaitMs(request)
    if (this.waiting >= (this.policy.maxQueue ?? this.maxQueue)) return this.createError(`${this.waiting} requests wait already`, waitMs)
    const meanMs = this.estimate.getMeanSpanMs(request.kind)
    const leftMs = getRemainingMs(request.deadline, this.clock.now()) - meanMs
    const { estimatePart, longestWaitMs } = this.policy
    if (waitMs <= estimatePart * Math.min(longestWaitMs, leftMs)) return undefined
    return this.createError('no slot is expected to come free in time', waitMs)
  }

  /**
   * Waits for a slot.
   * @param request a request that `checkRoom` let in
   * @param hold runs as soon as there is a slot and settles when the slot is free again
   * @param refuse called instead if the wait ended before
   */
  add (request: QueuedRequest, hold: () => Promise<void>, refuse: (error: AdmissionError) => void): void {
    const { kind, priority, signal } = request
    const waiting = new AbortController()
    const cancel = (): void => waiting.abort()
    const bound = Math.min(request.deadline, createDeadline(this.clock.now(), this.policy.longestWaitMs))
    const timer = this.clock.schedule(bound, cancel)
    signal.addEventListener('abort', cancel, { once: true })
    this.countWaiting(kind, priority, 1)
    const stopWaiting = (): void => {
      timer.close()
      signal.removeEventListener('abort', cancel)
      this.countWaiting(kind, priority, -1)
    }
    const runHeld = async (): Promise<void> => {
      // From here on the slot is held: p-queue frees a running task's place when
      // its signal is aborted, which would let a second request onto it.
      stopWaiting()
      await this.runCounted(kind, hold)
    }
    if (signal.aborted) cancel()
    this.queues[kind].add(runHeld, { priority: -priority, signal: waiting.signal }).catch(() => {
      stopWaiting()
      refuse(this.createError('no slot came free in time', this.estimateWaitMs(request)))
    })
    this.updateLimits()
  }

  /** Applies limits that have changed. */
  updateLimits (): void {
    // Raising a limit starts tasks, and each start asks for the limits again.
    if (this.isUpdating) return
    this.isUpdating = true
    for (const kind of KINDS) this.setLimit(kind, this.computeLimits()[kind])
    for (const kind of KINDS) this.setLimit(kind, this.computeLimits()[kind])
    this.isUpdating = false
  }

  /** Forgets whatever still waits. */
  close (): void {
    for (const kind of KINDS) this.queues[kind].clear()
  }

  private async runCounted (kind: RequestKind, hold: () => Promise<void>): Promise<void> {
    const startedAt = this.clock.now()
    this.inUse[kind]++
    this.lastStarted = kind
    try {
      const held = hold()
      this.updateLimits()
      await held
      this.estimate.observe(kind, this.clock.now() - startedAt)
    } finally {
      this.inUse[kind]--
      this.updateLimits()
    }
  }

  private estimateWaitMs (request: QueuedRequest): number {
    let ahead = 0
    for (const [priority, count] of this.waitingBy[request.kind]) {
      if (priority <= request.priority) ahead += count
    }
    const isOwed = this.inUse[request.kind] < computeShare(this.limits.countSlots(), request.kind)
    return this.estimate.estimateWaitMs({ kind: request.kind, ahead, inUse: this.inUse, isOwed })
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
    const counts = this.waitingBy[kind]
    counts.set(priority, (counts.get(priority) ?? 0) + change)
  }

  private createError (message: string, waitMs: number): AdmissionError {
    return new AdmissionError(this.place, message, Number.isFinite(waitMs) ? waitMs : UNKNOWN_WAIT_MS)
  }
}

function createCounts (): Record<RequestKind, number> {
  return { [RequestKind.Call]: 0, [RequestKind.Upload]: 0 }
}
