/** Counts and latencies of a run, per service. */
import { AnswerKind } from '../../common/history/historyEvent.js'
import { LatencyRecorder } from './latencyRecorder.js'
import type { LatencySummary } from './latencyRecorder.js'
import type { OperationResult } from './caller.js'

/** What a run says of one service. */
export interface ServiceSummary extends LatencySummary {
  readonly service: string
  readonly attempts: number
  /** How many operations ended in each way. */
  readonly answers: Readonly<Record<AnswerKind, number>>
}

class ServiceRecord {
  readonly latency = new LatencyRecorder()
  readonly answers = createAnswerCounts()
  attempts = 0
}

function createAnswerCounts (): Record<AnswerKind, number> {
  const kinds = Object.values(AnswerKind)
  return Object.fromEntries(kinds.map((kind) => [kind, 0])) as Record<AnswerKind, number>
}

/** Takes down how operations ended. */
export class LoadReport {
  private readonly records = new Map<string, ServiceRecord>()
  /** Details of answers other than whole, with their counts. */
  private readonly details = new Map<string, number>()

  /**
   * @param service the operation's service
   * @param result how it ended
   * @param spanMs from the intended start to the end
   */
  record (service: string, result: OperationResult, spanMs: number): void {
    const known = this.records.get(service) ?? new ServiceRecord()
    this.records.set(service, known)
    known.latency.record(spanMs)
    known.answers[result.last.answer] += 1
    known.attempts += result.attempts
    if (result.last.answer !== AnswerKind.Complete) this.recordDetail(service, result)
  }

  /** @returns one summary per service, in the order of their first operations */
  listSummaries (): ServiceSummary[] {
    return [...this.records].map(([service, { latency, answers, attempts }]) => ({
      service, attempts, answers: { ...answers }, ...latency.getSummary()
    }))
  }

  /**
   * @param limit how many to list
   * @returns the commonest details of operations that did not end whole, each with its count
   */
  listCommonDetails (limit: number): Array<{ readonly detail: string, readonly count: number }> {
    return [...this.details]
      .map(([detail, count]) => ({ detail, count }))
      .sort((one, other) => other.count - one.count)
      .slice(0, limit)
  }

  private recordDetail (service: string, { last }: OperationResult): void {
    const detail = `${service} ${last.answer}: ${last.detail}`
    this.details.set(detail, (this.details.get(detail) ?? 0) + 1)
  }
}
