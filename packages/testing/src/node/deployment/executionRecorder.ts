/** Turns what worker stand-ins report into events of the history. */
import { ExecutionEnd, HistoryEventKind } from '../../common/history/historyEvent.js'
import type { IHistorySink } from '../../common/history/historyEvent.js'
import { ExecutionKind, StopReason } from '../standIns/upstream/executionEvent.js'
import type { ExecutionEvent } from '../standIns/upstream/executionEvent.js'

/** A request that a worker holds, in its queue or in a slot. */
interface HeldRequest {
  readonly executionId: number
  hasStarted: boolean
}

/** Records what all workers of a run do. */
export class ExecutionRecorder {
  private lastId = 0
  /** By worker and exchange. */
  private readonly held = new Map<string, HeldRequest>()

  /**
   * @param history where events go
   * @param findService the service that a worker belongs to
   */
  constructor (
    private readonly history: IHistorySink,
    private readonly findService: (workerId: string) => string
  ) {}

  /**
   * @param event a step in a request's life at a worker
   */
  handle (event: ExecutionEvent): void {
    HANDLERS[event.kind](this, event)
  }

  recordArrival (event: ExecutionEvent): void {
    const executionId = ++this.lastId
    const { at, workerId, requestId, entryId } = event
    this.held.set(getName(event), { executionId, hasStarted: false })
    this.history.record({ kind: HistoryEventKind.Arrived, at, executionId, workerId, requestId, entryId })
  }

  recordStart (event: ExecutionEvent): void {
    const request = this.held.get(getName(event))
    if (request === undefined) return
    request.hasStarted = true
    const { at, workerId, requestId, idempotencyKey } = event
    const { executionId } = request
    const service = this.findService(workerId)
    this.history.record({ kind: HistoryEventKind.ExecutionStarted, at, executionId, workerId, requestId, service, idempotencyKey })
  }

  recordEnd (event: ExecutionEvent, end: ExecutionEnd): void {
    const name = getName(event)
    const request = this.held.get(name)
    // Given up before it asked for a slot.
    if (request === undefined) return
    this.held.delete(name)
    const { executionId, hasStarted } = request
    const { at, workerId } = event
    this.history.record({ kind: HistoryEventKind.ExecutionEnded, at, executionId, workerId, end: hasStarted ? end : ExecutionEnd.Abandoned })
  }

  recordRefusal (event: ExecutionEvent): void {
    const { at, workerId, requestId, reason } = event
    if (reason === StopReason.Draining) this.history.record({ kind: HistoryEventKind.RefusedWhileDraining, at, workerId, requestId })
    this.recordEnd(event, ExecutionEnd.Abandoned)
  }

  recordFault ({ at, workerId, requestId, fault }: ExecutionEvent): void {
    this.history.record({ kind: HistoryEventKind.FaultInjected, at, workerId, requestId, fault: fault ?? '' })
  }
}

function getName ({ workerId, exchangeId }: ExecutionEvent): string {
  return `${workerId}#${exchangeId}`
}

type ExecutionHandler = (recorder: ExecutionRecorder, event: ExecutionEvent) => void

const HANDLERS: Readonly<Record<ExecutionKind, ExecutionHandler>> = {
  [ExecutionKind.Arrived]: (recorder, event) => recorder.recordArrival(event),
  [ExecutionKind.Faulted]: (recorder, event) => recorder.recordFault(event),
  [ExecutionKind.Started]: (recorder, event) => recorder.recordStart(event),
  [ExecutionKind.Finished]: (recorder, event) => recorder.recordEnd(event, ExecutionEnd.Answered),
  [ExecutionKind.Cancelled]: (recorder, event) => recorder.recordEnd(event, ExecutionEnd.Cancelled),
  [ExecutionKind.Refused]: (recorder, event) => recorder.recordRefusal(event)
}
