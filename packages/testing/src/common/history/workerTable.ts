/** What each worker holds at an instant: requests in its slots and in its queue. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ArrivedEvent, ExecutionEndedEvent, ExecutionStartedEvent, LimitDeclaredEvent } from './historyEvent.js'

/** A request that a worker holds. */
export interface HeldExecution {
  readonly requestId: string
  readonly workerId: string
  readonly since: Instant
  /** The node id of the entry VM that sent it; empty if the history does not say. */
  readonly entryId: string
}

/** The workers of a run. */
export class WorkerTable {
  private readonly limits = new Map<string, LimitDeclaredEvent>()
  private readonly heldById = new Map<number, HeldExecution>()
  private readonly heldByWorker = new Map<string, Set<HeldExecution>>()

  /** @param event what a worker bears from now on */
  setLimits (event: LimitDeclaredEvent): void {
    this.limits.set(event.workerId, event)
  }

  /**
   * @param workerId the worker
   * @returns what it bears; undefined if that was never declared
   */
  getLimits (workerId: string): LimitDeclaredEvent | undefined {
    return this.limits.get(workerId)
  }

  /**
   * @param event a request that reaches a worker
   * @returns whether it was new there: a start whose arrival is known is not
   */
  addHeld (event: ArrivedEvent | ExecutionStartedEvent): boolean {
    if (this.heldById.has(event.executionId)) return false
    const { requestId, workerId, at } = event
    const held: HeldExecution = { requestId, workerId, since: at, entryId: 'entryId' in event ? event.entryId : '' }
    this.heldById.set(event.executionId, held)
    const members = this.heldByWorker.get(workerId) ?? new Set()
    this.heldByWorker.set(workerId, members.add(held))
    return true
  }

  /**
   * @param event a worker no longer holds a request
   * @returns the request as it was held; undefined if it never was
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
   * @returns the requests it holds now, the oldest first
   */
  listHeld (workerId: string): HeldExecution[] {
    return [...this.heldByWorker.get(workerId) ?? []]
  }
}
