/** What a worker stand-in reports of the requests it gets, for history checks. */
import type { Instant } from '@umberspar/base/common/clock'

/** How far a request got. */
export enum ExecutionKind {
  /** It asks for a slot: from here on it counts against the worker's limit until it finished, was cancelled or refused. */
  Arrived = 'arrived',
  /** It is about to fail on purpose. */
  Faulted = 'faulted',
  /** It has a slot and runs: from here on it counts as having run. */
  Started = 'started',
  /** It ran to its end; the answer may still be lost. */
  Finished = 'finished',
  /** It was given up, before or after it started. */
  Cancelled = 'cancelled',
  /** It did not run and never will. */
  Refused = 'refused'
}

/** Why a request was refused or given up. */
export enum StopReason {
  /** The worker drains. */
  Draining = 'draining',
  /** All slots and the queue are full. */
  QueueFull = 'queue-full',
  /** The time left is shorter than the work. */
  DeadlineTooShort = 'deadline-too-short',
  /** The deadline passed. */
  DeadlinePassed = 'deadline-passed',
  /** The caller closed its connection. */
  CallerLeft = 'caller-left',
  /** A fault that was switched on. */
  Fault = 'fault'
}

/** One step in a request's life at a worker. */
export interface ExecutionEvent {
  readonly workerId: string
  /** Differs for each request that the worker gets, also when a request id comes again. */
  readonly exchangeId: number
  readonly requestId: string
  readonly method: string
  /** The path with its query as the worker got it. */
  readonly path: string
  readonly idempotencyKey: string | undefined
  /** The node id of the sending entry VM, empty if it named none. */
  readonly entryId: string
  readonly at: Instant
  readonly kind: ExecutionKind
  readonly reason?: StopReason
  /** Of a `faulted` event: which fault. */
  readonly fault?: string
}
