/** How a worker stand-in behaves without faults. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { RefusalConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { ServiceTimeOptions } from './serviceTimes.js'

/** How a worker behaves without faults. */
export interface WorkerOptions extends ServiceTimeOptions {
  readonly workerId: string
  /** Requests that run at a time. */
  readonly slots: number
  /** Requests that may wait for a slot; as many as slots if left out. */
  readonly maxQueue?: number
  /** Connections that are kept open at a time; more are closed at once. */
  readonly connections: number
  readonly clock: IClock
  readonly random: IRandomSource
  readonly refusal: RefusalConfiguration
  /** What the first request of a connection waits for opening it, in milliseconds. */
  readonly connectSpanMs: number
  /** How long a probe occupies a slot, in milliseconds; 0 for none. */
  readonly probeSpanMs: number
  /** How long the health is `starting` after a cold start, in milliseconds. */
  readonly startingSpanMs: number
  /** How long an idle connection is kept open, in milliseconds. */
  readonly keepAliveSpanMs: number
  /** One-way delay to an entry VM by its node id, empty if unknown, in milliseconds. */
  readonly getOneWayMs: (entryId: string) => number
}

/** Options of a worker that the caller does not name. */
export const DEFAULT_WORKER_OPTIONS = {
  refusal: { status: 503, header: 'umberspar-not-run', value: '1' },
  meanSpanMs: 10,
  sigma: 0.5,
  coldFactor: 4,
  warmUpSpanMs: 10_000,
  connectSpanMs: 1,
  probeSpanMs: 0,
  startingSpanMs: 0,
  keepAliveSpanMs: 60_000,
  getOneWayMs: (): number => 0
}

/** What must be said of a worker; the rest has defaults. */
export type WorkerOptionsInput = Partial<WorkerOptions> & Pick<WorkerOptions, 'workerId' | 'slots' | 'connections'>
