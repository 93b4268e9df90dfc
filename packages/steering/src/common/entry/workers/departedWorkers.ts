/**
 * Keeps what workers announced, and what was sent to them, after their registrations are gone. A registration may lapse
 * during an outage of the store and come back, late and still marked as ready, for the
 * incarnation that has announced its shutdown.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { UpstreamRegistration } from '../records.js'
import type { WorkerAdvisory } from './workerAdvisory.js'
import type { WorkerRate } from './workerRate.js'

/** Longer than most outages of the store and most shutdowns last. */
const RETENTION_MS = 600_000

/** The last incarnation of a worker whose registration is gone. */
export interface DepartedWorker {
  /** When it started, by its own wall clock, in whole milliseconds; undefined if it is not known. */
  readonly startedAt: number | undefined
  readonly advisory: WorkerAdvisory
  readonly rate: WorkerRate
  readonly keptUntil: Deadline
}

/**
 * @param first the start time of a worker, undefined if it is not known
 * @param second the start time of a worker with the same id
 * @returns whether both may be the same incarnation
 */
export function isSameIncarnation (first: number | undefined, second: number | undefined): boolean {
  return first === undefined || second === undefined || first === second
}

/** The announcements of workers that are no longer registered, the last incarnation of each. */
export class DepartedWorkers {
  /** By the worker's id, the earliest departure first. */
  private readonly workers = new Map<string, DepartedWorker>()

  /**
   * @param worker the last registration
   * @param observed what the worker announced and was sent
   * @param now the current time
   */
  put ({ id, startedAt }: UpstreamRegistration, { advisory, rate }: Pick<DepartedWorker, 'advisory' | 'rate'>, now: Instant): void {
    this.removeExpired(now)
    this.workers.delete(id)
    this.workers.set(id, { startedAt, advisory, rate, keptUntil: createDeadline(now, RETENTION_MS) })
  }

  /**
   * @param worker a worker
   * @returns the same incarnation as it was when its registration was removed; undefined if it is not known
   */
  find ({ id, startedAt }: UpstreamRegistration): DepartedWorker | undefined {
    const departed = this.workers.get(id)
    return departed !== undefined && isSameIncarnation(departed.startedAt, startedAt) ? departed : undefined
  }

  private removeExpired (now: Instant): void {
    for (const [id, { keptUntil }] of this.workers) {
      if (!hasPassed(keptUntil, now)) return
      this.workers.delete(id)
    }
  }
}
