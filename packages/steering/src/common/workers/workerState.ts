/** The state that one entry VM keeps about a worker, and the policy of warm-up and ejection. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'

/** How workers are warmed up and ejected; durations in milliseconds. */
export interface WorkerPolicy {
  /** How long a cold worker takes to reach its full weight. */
  readonly warmUpMs: number
  /** Consecutive failed requests that eject a worker. */
  readonly failuresToEject: number
  /** Each further ejection without a complete response in between lasts twice as long. */
  readonly firstEjectionMs: number
  readonly maxEjectionMs: number
}

export const DEFAULT_WORKER_POLICY: WorkerPolicy = {
  warmUpMs: 10_000,
  failuresToEject: 5,
  firstEjectionMs: 5_000,
  maxEjectionMs: 60_000
}

/** Earlier than every other instant. */
export const DISTANT_PAST: Instant = -Infinity

/** The load that a worker reported. */
export interface LoadReport {
  /** From 0 (idle) to 1 (full); above 1 if overloaded. */
  readonly utilization: number
  /** When the worker measured it, on this VM's clock. */
  readonly takenAt: Instant
}

/** How long a worker takes to start a response, as measured by this VM. */
export interface ResponseTime {
  /** Moving average in milliseconds. */
  readonly meanMs: number
  readonly updatedAt: Instant
}

/** The state of one worker as known to this entry VM. */
export interface WorkerState {
  readonly workerId: string
  /** `host:port` */
  readonly address: string
  /** The slots for concurrent requests at this worker that are assigned to this VM. */
  readonly slots: number
  /** This VM's requests in flight at the worker. */
  readonly inFlight: number
  readonly load: LoadReport | undefined
  readonly answerTime: ResponseTime | undefined
  readonly warmUpStartedAt: Instant
  readonly warmUpUntil: Deadline
  /** When its probes began to report that it is starting; undefined if the latest doesn't. */
  readonly startingSince: Instant | undefined
  readonly consecutiveFailures: number
  /** Moving average over requests, from 0 (none fails) to 1 (all fail). */
  readonly failureRate: number
  /** How many requests `failureRate` is based on. */
  readonly failureRateSamples: number
  /** Ejections since the last complete response. */
  readonly ejectionsInRow: number
  /** The worker gets no requests before this time. */
  readonly ejectedUntil: Deadline
  /** The worker asked this VM for no requests before this time; it has not failed. */
  readonly pausedUntil: Deadline
  /** When it last gave a complete response. */
  readonly lastResponseAt: Instant
  readonly consecutiveProbeFailures: number
  /** When probes began to fail without a recent complete response; undefined after a success of either. */
  readonly unreachableSince: Instant | undefined
  /** Whether the worker itself reports that it drains, and when it last reported this or the contrary. */
  readonly isDrainReported: boolean
  readonly drainReportedAt: Instant
  /** Whether the platform reports that the worker's VM is being removed. */
  readonly isVmBeingRemoved: boolean
  /** Whether it takes no new requests, for either of these reasons. */
  readonly isDraining: boolean
}

/** The writable form of {@link WorkerState}. */
export type MutableWorkerState = { -readonly [Field in keyof WorkerState]: WorkerState[Field] }

/**
 * @param workerId the worker's id
 * @param address `host:port`
 * @param slots the slots that are assigned to this VM
 * @returns the state of a worker that is warm, idle and healthy
 */
export function createWorkerState (workerId: string, address: string, slots: number): MutableWorkerState {
  return {
    workerId,
    address,
    slots,
    inFlight: 0,
    load: undefined,
    answerTime: undefined,
    warmUpStartedAt: DISTANT_PAST,
    warmUpUntil: DISTANT_PAST,
    startingSince: undefined,
    consecutiveFailures: 0,
    failureRate: 0,
    failureRateSamples: 0,
    ejectionsInRow: 0,
    ejectedUntil: DISTANT_PAST,
    pausedUntil: DISTANT_PAST,
    lastResponseAt: DISTANT_PAST,
    consecutiveProbeFailures: 0,
    unreachableSince: undefined,
    isDrainReported: false,
    drainReportedAt: DISTANT_PAST,
    isVmBeingRemoved: false,
    isDraining: false
  }
}
