/** Turns what worker stand-ins report into events of the history. */
import { ExecutionEnd, HistoryEventKind } from '../../common/history/historyEvent.js'
import type { HistoryRecorder } from '../../common/history/historyEvent.js'
import { ExecutionKind, StopReason } from '../standIns/upstream/executionEvent.js'
import type { ExecutionEvent } from '../standIns/upstream/executionEvent.js'

/** Records executions of all workers of a run. */
export class ExecutionRecorder {
  private lastId = 0
  /** Executions that have not ended, by worker and request; more than one only if a promise broke. */
  private readonly open = new Map<string, number[]>()

  /**
   * @param history where events go
   * @param findService the service that a worker belongs to
   */
  constructor (
    private readonly history: HistoryRecorder,
    private readonly findService: (workerId: string) => string
  ) {}

  /**
   * @param event a step in a request's life at a worker
   */
  handle (event: ExecutionEvent): void {
    HANDLERS[event.kind](this, event)
  }

  recordStart (event: ExecutionEvent): void {
    const executionId = ++this.lastId
    const name = getName(event)
    const { at, workerId, requestId, idempotencyKey } = event
    this.open.set(name, [...this.open.get(name) ?? [], executionId])
    const service = this.findService(workerId)
    this.history.record({ kind: HistoryEventKind.ExecutionStarted, at, executionId, workerId, requestId, service, idempotencyKey })
  }

  recordEnd (event: ExecutionEvent, end: ExecutionEnd): void {
    const name = getName(event)
    const [executionId, ...others] = this.open.get(name) ?? []
    // Given up before it had a slot: it did not run.
    if (executionId === undefined) return
    if (others.length > 0) this.open.set(name, others)
    else this.open.delete(name)
    this.history.record({ kind: HistoryEventKind.ExecutionEnded, at: event.at, executionId, workerId: event.workerId, end })
  }

  recordRefusal ({ at, workerId, requestId, reason }: ExecutionEvent): void {
    if (reason === StopReason.Draining) this.history.record({ kind: HistoryEventKind.Offered, at, workerId, requestId })
  }
}

function getName ({ workerId, requestId }: ExecutionEvent): string {
  return `${workerId}/${requestId}`
}

type ExecutionHandler = (recorder: ExecutionRecorder, event: ExecutionEvent) => void

const HANDLERS: Readonly<Record<ExecutionKind, ExecutionHandler>> = {
  [ExecutionKind.Started]: (recorder, event) => recorder.recordStart(event),
  [ExecutionKind.Finished]: (recorder, event) => recorder.recordEnd(event, ExecutionEnd.Answered),
  [ExecutionKind.Cancelled]: (recorder, event) => recorder.recordEnd(event, ExecutionEnd.Cancelled),
  [ExecutionKind.Refused]: (recorder, event) => recorder.recordRefusal(event)
}
