/** What one entry VM knows of one worker, and how it judges workers. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'

/** How workers are judged. Spans in milliseconds. */
export interface WorkerPolicy {
  /** A worker that starts cold comes to full weight over this. */
  readonly warmUpSpanMs: number
  /** Failures in a row that eject a worker. */
  readonly failuresToEject: number
  /** How long the first ejection lasts; each further one in a row twice as long. */
  readonly ejectionSpanMs: number
  readonly longestEjectionSpanMs: number
}

/** Used where nothing else is configured. */
export const DEFAULT_WORKER_POLICY: WorkerPolicy = {
  warmUpSpanMs: 10_000,
  failuresToEject: 5,
  ejectionSpanMs: 5_000,
  longestEjectionSpanMs: 60_000
}

/** An instant before all others. */
export const LONG_PAST: Instant = -Infinity

/** What a worker said of its load. */
export interface LoadReport {
  /** 0 idle to 1 full; above 1 overloaded. */
  readonly utilization: number
  /** When the worker measured it, by our clock. */
  readonly takenAt: Instant
}

/** How long a worker takes to begin its answers, as we see it. */
export interface AnswerTime {
  /** Moving mean, in milliseconds. */
  readonly meanMs: number
  readonly updatedAt: Instant
}

/** One worker as this entry VM sees it. */
export interface WorkerState {
  readonly workerId: string
  /** `host:port`. */
  readonly address: string
  /** Our part of its slots. */
  readonly slots: number
  /** Our own requests at it. */
  readonly inFlight: number
  readonly load: LoadReport | undefined
  readonly answerTime: AnswerTime | undefined
  /** When the warm-up began and when it ends. */
  readonly warmUpFrom: Instant
  readonly warmUpUntil: Deadline
  /** When it began to call itself starting; undefined while it does not. */
  readonly startingSince: Instant | undefined
  readonly failuresInRow: number
  /** Moving mean over requests: 0 none fails, 1 all fail. */
  readonly failureRate: number
  /** Requests that went into `failureRate`. */
  readonly rated: number
  readonly ejectionsInRow: number
  /** Not chosen before this. */
  readonly ejectedUntil: Deadline
  /** When it last gave a whole answer. */
  readonly answeredAt: Instant
  readonly probeFailuresInRow: number
  /** Since when neither probe nor answer came; undefined while one does. */
  readonly unreachableSince: Instant | undefined
  /** The worker's own word that it drains, and when it was last heard. */
  readonly isDrainAnnounced: boolean
  readonly drainHeardAt: Instant
  /** The platform's word that its VM leaves. */
  readonly isVmLeaving: boolean
  /** Takes no new request, by its own or the platform's word. */
  readonly isDraining: boolean
}

/** The same, for its table. */
export type MutableWorkerState = { -readonly [Field in keyof WorkerState]: WorkerState[Field] }

/**
 * @param workerId the worker's id
 * @param address `host:port`
 * @param slots our part of its slots
 * @returns a worker of which nothing else is known: warm, idle and healthy
 */
export function createWorkerState (workerId: string, address: string, slots: number): MutableWorkerState {
  return {
    workerId,
    address,
    slots,
    inFlight: 0,
    load: undefined,
    answerTime: undefined,
    warmUpFrom: LONG_PAST,
    warmUpUntil: LONG_PAST,
    startingSince: undefined,
    failuresInRow: 0,
    failureRate: 0,
    rated: 0,
    ejectionsInRow: 0,
    ejectedUntil: LONG_PAST,
    answeredAt: LONG_PAST,
    probeFailuresInRow: 0,
    unreachableSince: undefined,
    isDrainAnnounced: false,
    drainHeardAt: LONG_PAST,
    isVmLeaving: false,
    isDraining: false
  }
}
