/** Tracks the requests that each worker holds, in its slots and in its queue. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ArrivedEvent, ExecutionEndedEvent, ExecutionStartedEvent, LimitDeclaredEvent } from './historyEvent.js'

/** A request that a worker is running or has queued. */
export interface HeldExecution {
  readonly requestId: string
  readonly workerId: string
  readonly heldSince: Instant
  /** The node id of the entry VM that sent it; empty if the history does not record it. */
  readonly entryId: string
}

/** The limits and held requests of all workers in a run. */
export class WorkerTable {
  private readonly limitsByWorker = new Map<string, LimitDeclaredEvent>()
  private readonly heldById = new Map<number, HeldExecution>()
  private readonly heldByWorker = new Map<string, Set<HeldExecution>>()

  /** @param event the worker's limits from now on */
  setLimits (event: LimitDeclaredEvent): void {
    this.limitsByWorker.set(event.workerId, event)
  }

  /**
   * @param workerId the worker
   * @returns its limits; undefined if they were never declared
   */
  getLimits (workerId: string): LimitDeclaredEvent | undefined {
    return this.limitsByWorker.get(workerId)
  }

  /**
   * @param event a request arrived at a worker, or started to run there
   * @returns whether the execution was added; false for a start whose arrival was recorded before
   */
  addHeld (event: ArrivedEvent | ExecutionStartedEvent): boolean {
    if (this.heldById.has(event.executionId)) return false
    const { requestId, workerId, at } = event
    const held: HeldExecution = { requestId, workerId, heldSince: at, entryId: 'entryId' in event ? event.entryId : '' }
    this.heldById.set(event.executionId, held)
    const workerHeld = this.heldByWorker.get(workerId) ?? new Set()
    this.heldByWorker.set(workerId, workerHeld.add(held))
    return true
  }

  /**
   * @param event the end of an execution
   * @returns the removed request; undefined if the worker did not hold it
   */
  removeHeld ({ executionId }: ExecutionEndedEvent): HeldExecution | undefined {
    const held = this.heldById.get(executionId)
    if (held === undefined) return undefined
    this.heldById.delete(executionId)
    this.heldByWorker.get(held.workerId)?.delete(held)
    return held
  }

  /**
   * @param workerId the worker
   * @returns the requests that it holds, oldest first
   */
  listHeld (workerId: string): HeldExecution[] {
    return [...this.heldByWorker.get(workerId) ?? []]
  }
}
